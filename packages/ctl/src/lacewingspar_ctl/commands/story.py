"""Command that shows what happened to a request, from routers' logs."""

import json
from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import typer

from lacewingspar_ctl.errors import BadInputError
from lacewingspar_ctl.session import session_of

# A state change this long before a request may explain its outcome: a router
# keeps using a list of upstreams that it cannot confirm for at most this time.
DEFAULT_BEFORE_SECONDS = 5.0
# Fields that name a router or an upstream in the lines of a request.
_NAMING_FIELDS = ("router", "owner", "upstream", "fetch_from")
# Fields that every line has; they are shown in columns of their own.
_COMMON_FIELDS = frozenset({"timestamp", "router", "event", "level"})


class _Line(NamedTuple):
    """A line of a router's log."""

    at: datetime
    fields: dict[str, Any]


def story(
    context: typer.Context,
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    files: Annotated[
        list[Path], typer.Argument(help="Logs of one or more routers.")
    ],
    before: Annotated[
        float,
        typer.Option(
            min=0.0,
            help="Also show what the involved routers logged about each other "
            "and the upstreams in this many seconds before the request.",
        ),
    ] = DEFAULT_BEFORE_SECONDS,
) -> None:
    """Print the log lines about one request in chronological order."""
    output = session_of(context).output
    lines = sorted(_read(files), key=lambda line: line.at)
    request_lines = [
        line for line in lines if line.fields.get("request_id") == request_id
    ]
    if not request_lines:
        raise BadInputError(
            "unknown_request", f"no log line has the request id {request_id}"
        )
    shown_positions = sorted({*_positions(lines, request_lines, before)})
    shown_fields = [lines[position].fields for position in shown_positions]
    if output.as_json:
        output.json(shown_fields)
        return
    output.table(
        f"Request {request_id}",
        ("time", "router", "event", "details"),
        [
            (
                fields["timestamp"],
                fields.get("router", ""),
                fields.get("event", ""),
                _details(fields),
            )
            for fields in shown_fields
        ],
    )


def _positions(
    lines: list[_Line], request_lines: list[_Line], before: float
) -> Iterator[int]:
    """Yield the positions of a request's lines and of related lines."""
    request_id = request_lines[0].fields["request_id"]
    names = {
        line.fields[field]
        for line in request_lines
        for field in _NAMING_FIELDS
        if line.fields.get(field)
    }
    routers = {line.fields.get("router") for line in request_lines} | names
    since, until = (
        request_lines[0].at - timedelta(seconds=before),
        request_lines[-1].at,
    )
    for position, (at, fields) in enumerate(lines):
        if "request_id" in fields:
            if fields["request_id"] == request_id:
                yield position
            continue
        is_state_change_of_participant = fields.get("router") in routers and (
            # Omits lines about routers and upstreams that were not involved.
            not _subjects(fields) or _subjects(fields) & names
        )
        if since <= at <= until and is_state_change_of_participant:
            yield position


def _subjects(fields: dict[str, Any]) -> set[Any]:
    """Return the routers and upstreams that a line is about."""
    values = (fields.get("upstream"), fields.get("router_id"))
    return {value for value in values if value}


def _details(fields: dict[str, Any]) -> str:
    return " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in _COMMON_FIELDS and value not in ("", None)
    )


def _read(files: Iterable[Path]) -> Iterator[_Line]:
    """Yield the log lines in JSON; text before them is skipped.

    Raises:
        BadInputError: A file cannot be read.
    """
    for file in files:
        try:
            text = file.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise BadInputError("unreadable", f"{file}: {error}") from error
        for line in text.splitlines():
            parsed = _parse(line)
            if parsed is not None:
                yield parsed


def _parse(line: str) -> _Line | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(line[start:])
        return _Line(datetime.fromisoformat(fields["timestamp"]), fields)
    except (ValueError, TypeError, KeyError):
        # Other programs may write to the same output.
        return None
