"""Command that replays a recorded trace."""

from pathlib import Path
from typing import Annotated

import msgspec
import typer

from lacewingspar_core.errors import TraceError
from lacewingspar_core.replay import ReplayOutcome, read_trace, replay
from lacewingspar_ctl.errors import BadInputError, RefusedError
from lacewingspar_ctl.session import session_of


def replay_command(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(help="Trace as JSON lines.")],
    outcome: Annotated[
        Path | None,
        typer.Option(help="Expected outcome as JSON."),
    ] = None,
) -> None:
    """Replay a trace and compare decisions with the recorded ones."""
    output = session_of(context).output
    replayed = _replay_file(file)
    output.json(replayed)
    if replayed.mismatch is not None:
        raise RefusedError(
            "mismatch", f"the decision of step {replayed.mismatch.step} differs"
        )
    if outcome is not None and _read_outcome(outcome) != replayed:
        raise RefusedError("outcome", f"the outcome differs from {outcome}")


def _replay_file(file: Path) -> ReplayOutcome:
    try:
        with file.open("rb") as lines:
            header, steps = read_trace(lines)
    except OSError as error:
        raise BadInputError("unreadable", f"{file}: {error}") from error
    except TraceError as error:
        raise BadInputError("invalid_trace", f"{file}: {error}") from error
    return replay(header, steps)


def _read_outcome(file: Path) -> ReplayOutcome:
    try:
        return msgspec.json.decode(file.read_bytes(), type=ReplayOutcome)
    except (OSError, msgspec.MsgspecError) as error:
        raise BadInputError("invalid_outcome", f"{file}: {error}") from error
