"""Commands that show a router, drain it or release prompts on all."""

from typing import Annotated

import typer

from lacewingspar_ctl.session import session_of


def status(context: typer.Context) -> None:
    """Show the status of the router."""
    session = session_of(context)
    with session.client() as client:
        session.output.value("Status", client.status())


def accounts(context: typer.Context) -> None:
    """Show the amount of service that each workspace received."""
    session = session_of(context)
    with session.client() as client:
        session.output.value("Accounts", client.accounts())


def drain(context: typer.Context) -> None:
    """Start a graceful shutdown of the router."""
    session = session_of(context)
    with session.client() as client:
        response = client.drain()
    if session.output.as_json:
        session.output.json(response)
    else:
        session.output.line(f"drain started at {session.router}")


def requests(
    context: typer.Context,
    request_id: Annotated[
        str, typer.Argument(metavar="ID", help="Value of X-Request-Id.")
    ],
) -> None:
    """Show what the router knows about a request."""
    session = session_of(context)
    with session.client() as client:
        session.output.value(
            f"Request {request_id}", client.request(request_id)
        )


def quarantine(context: typer.Context) -> None:
    """Show the prompt parts that have crashed upstreams."""
    session = session_of(context)
    with session.client() as client:
        session.output.value("Quarantine", client.quarantine())


def release(
    context: typer.Context,
    service: Annotated[str, typer.Argument(metavar="SERVICE")],
    part: Annotated[
        str, typer.Argument(metavar="PART", help="ID of the prompt part.")
    ],
) -> None:
    """Send requests with a prompt part again, on all routers."""
    session = session_of(context)
    with session.client() as client:
        session.output.value("Released", client.release(service, part))
