"""Command that publishes a service document."""

import getpass
import shlex
import uuid
from pathlib import Path
from typing import Annotated

import typer

from lacewingspar_core.documents import dump_document
from lacewingspar_ctl.client import AdminClient
from lacewingspar_ctl.errors import (
    BadInputError,
    ExitCode,
    InvalidDocumentError,
)
from lacewingspar_ctl.files import read_document
from lacewingspar_ctl.output import Output
from lacewingspar_ctl.responses import (
    Accepted,
    Conflict,
    Invalid,
    PublishResult,
    Unknown,
)
from lacewingspar_ctl.session import ENV_AUTHOR, Session, session_of


def publish(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(help="Service document.")],
    base_version: Annotated[
        int | None,
        typer.Option(
            min=0,
            help="Version that the document is based on, 0 for a new service. "
            "By default the active version is read first, and edits made "
            "since the file was written are not detected.",
        ),
    ] = None,
    edit_id: Annotated[
        str | None,
        typer.Option(help="Id of the edit; use the same id to repeat it."),
    ] = None,
    author: Annotated[
        str | None,
        typer.Option(
            envvar=ENV_AUTHOR,
            help="Author of the edit; by default the login name.",
        ),
    ] = None,
) -> None:
    """Publish the document of a service."""
    session = session_of(context)
    document = read_document(file)
    author = author or _login_name()
    edit_id = edit_id or str(uuid.uuid4())
    with session.client() as client:
        if base_version is None:
            base_version = _read_version(client, document.service, session)
        # Printed first, so that an interrupted command can be repeated.
        session.output.notice(f"publishing as edit {edit_id}")
        result = client.publish(
            document.service,
            edit_id=edit_id,
            base_version=base_version,
            author=author,
            document=dump_document(document),
        )
    repeat = _repeat_command(session, file, base_version, edit_id, author)
    code = _report(session.output, document.service, result, repeat)
    raise typer.Exit(code)


def _read_version(client: AdminClient, service: str, session: Session) -> int:
    version = client.version(service)
    origin = "active now" if version else "the service is new"
    session.output.notice(f"base version is {version} ({origin})")
    return version


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError, ImportError) as error:
        message = f"no login name found, give --author or set {ENV_AUTHOR}"
        raise BadInputError("no_author", message) from error


def _repeat_command(
    session: Session, file: Path, base_version: int, edit_id: str, author: str
) -> str:
    """Return the command that repeats an edit, without the token."""
    return shlex.join(
        [
            "lacewingsparctl",
            f"--router={session.router}",
            "publish",
            f"--base-version={base_version}",
            f"--edit-id={edit_id}",
            f"--author={author}",
            "--",
            str(file),
        ]
    )


def _report(
    output: Output, service: str, result: PublishResult, repeat: str
) -> ExitCode:
    match result:
        case Accepted():
            return _report_accepted(output, service, result)
        case Conflict():
            return _report_conflict(output, service, result)
        case Unknown():
            return _report_unknown(output, service, result, repeat)
        case Invalid():
            raise InvalidDocumentError(result.problems)


def _report_accepted(
    output: Output, service: str, result: Accepted
) -> ExitCode:
    if output.as_json:
        output.json(
            {
                "outcome": "accepted",
                "service": service,
                "version": result.version,
            }
        )
    else:
        output.line(f"accepted: {service} is at version {result.version}")
    return ExitCode.DONE


def _report_conflict(
    output: Output, service: str, result: Conflict
) -> ExitCode:
    if output.as_json:
        output.json(
            {
                "outcome": "conflict",
                "service": service,
                "current_version": result.current_version,
                "other_edit_id": result.other_edit_id,
                "other_author": result.other_author,
            }
        )
    else:
        output.line(
            f"conflict: {service} is at version {result.current_version}, "
            f"made by {result.other_author} in edit {result.other_edit_id}; "
            "nothing was changed"
        )
    return ExitCode.CONFLICT


def _report_unknown(
    output: Output, service: str, result: Unknown, repeat: str
) -> ExitCode:
    if output.as_json:
        output.json(
            {
                "outcome": "unknown",
                "service": service,
                "edit_id": result.edit_id,
                "reason": result.reason,
                "repeat": repeat,
            }
        )
    else:
        output.line(f"unknown: edit {result.edit_id}: {result.reason}")
        output.line("It is safe to repeat the edit with the same file:")
        output.line(f"  {repeat}")
    return ExitCode.UNKNOWN_OUTCOME
