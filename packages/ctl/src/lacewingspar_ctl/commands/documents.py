"""Commands that check, show and compare service documents."""

from pathlib import Path
from typing import Annotated

import msgspec
import typer

from lacewingspar_core.documents import dump_document
from lacewingspar_ctl.differences import differences
from lacewingspar_ctl.errors import BadInputError
from lacewingspar_ctl.files import read_document
from lacewingspar_ctl.session import session_of

ServiceArgument = Annotated[str, typer.Argument(help="Name of the service.")]
FileArgument = Annotated[Path, typer.Argument(help="Service document.")]


def validate(context: typer.Context, file: FileArgument) -> None:
    """Check a service document without a router."""
    output = session_of(context).output
    document = read_document(file)
    if output.as_json:
        output.json({"outcome": "valid", "service": document.service})
    else:
        output.line(f"valid: document of service {document.service}")


def show(
    context: typer.Context,
    service: ServiceArgument,
    with_version: Annotated[
        bool, typer.Option(help="Also show the version.")
    ] = False,
) -> None:
    """Show the active document of a service."""
    session = session_of(context)
    with session.client() as client:
        response = client.service(service)
    if with_version and session.output.as_json:
        session.output.json(response)
        return
    if with_version:
        # Written as a comment, so that the output can be edited and published.
        session.output.line(f"// version {response.version}")
    session.output.json(response.document)


def history(context: typer.Context, service: ServiceArgument) -> None:
    """Show the edits of a service."""
    session = session_of(context)
    with session.client() as client:
        response = client.history(service)
    if session.output.as_json:
        session.output.json(response)
        return
    session.output.table(
        f"Edits of {service}",
        ("version", "edit id", "author", "accepted"),
        [
            (
                edit.version,
                edit.edit_id,
                edit.author,
                "yes" if edit.accepted else "no",
            )
            for edit in response.edits
        ],
    )


def diff(
    context: typer.Context, service: ServiceArgument, file: FileArgument
) -> None:
    """Compare the active document of a service with a file."""
    session = session_of(context)
    document = read_document(file)
    if document.service != service:
        message = f"{file} describes service {document.service}, not {service}"
        raise BadInputError("other_service", message)
    with session.client() as client:
        response = client.service(service)
    found = list(differences(response.document, dump_document(document)))
    if session.output.as_json:
        session.output.json(
            {
                "service": service,
                "version": response.version,
                "differences": msgspec.to_builtins(found),
            }
        )
        return
    if not found:
        session.output.line(f"no difference to version {response.version}")
        return
    session.output.table(
        f"Differences to version {response.version} of {service}",
        ("path", "active", "file"),
        [(item.path, item.old, item.new) for item in found],
    )
