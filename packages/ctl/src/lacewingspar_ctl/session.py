"""Options that all commands share."""

from dataclasses import dataclass

import httpx
import typer

from lacewingspar_ctl.client import AdminClient
from lacewingspar_ctl.errors import BadInputError
from lacewingspar_ctl.output import Output

ENV_ROUTER = "LACEWINGSPAR_ROUTER"
ENV_TOKEN = "LACEWINGSPAR_TOKEN"
ENV_AUTHOR = "LACEWINGSPAR_AUTHOR"


@dataclass(frozen=True, slots=True)
class Session:
    """Options of one call of the command line.

    Attributes:
        router: Base URL of the router's administration address, if given.
        token: Administration token, if given.
        output: Where results go.
        transport: Replaces the network in tests.
    """

    router: str | None
    token: str | None
    output: Output
    transport: httpx.BaseTransport | None = None

    def client(self) -> AdminClient:
        """Return a client of the router.

        Raises:
            BadInputError: The router or the token is missing or malformed.
        """
        if not self.router:
            message = f"give --router or set {ENV_ROUTER}"
            raise BadInputError("no_router", message)
        if not self.token:
            message = f"give --token or set {ENV_TOKEN}"
            raise BadInputError("no_token", message)
        if not self.token.isascii() or not self.token.isprintable():
            message = "the token has characters that a header cannot carry"
            raise BadInputError("bad_token", message)
        try:
            return AdminClient(self.router, self.token, self.transport)
        except httpx.InvalidURL as error:
            raise BadInputError("bad_router_url", str(error)) from error


def session_of(context: typer.Context) -> Session:
    """Return the session of a command."""
    return context.ensure_object(Session)
