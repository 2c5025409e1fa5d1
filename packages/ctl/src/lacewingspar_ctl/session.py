"""Options that all commands share."""

import re
from dataclasses import dataclass

import httpx
import typer

from lacewingspar_ctl.client import AdminClient
from lacewingspar_ctl.errors import BadInputError
from lacewingspar_ctl.output import Output

ENV_ROUTER = "LACEWINGSPAR_ROUTER"
ENV_TOKEN = "LACEWINGSPAR_TOKEN"
ENV_AUTHOR = "LACEWINGSPAR_AUTHOR"

# Scheme, host name or address, port; an administration address has no path.
_ROUTER_URL = re.compile(
    r"https?://(\[[0-9A-Fa-f:.]+\]|[\w.-]+)(:(?P<port>\d{1,5}))?/?", re.ASCII
)
_MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class Session:
    """Options of one invocation of the command line.

    Attributes:
        router: Base URL of the router's administration address, if given.
        token: Administration token, if given.
        output: Output for results and errors.
        transport: Transport that replaces the network in tests.
    """

    router: str | None
    token: str | None
    output: Output
    transport: httpx.BaseTransport | None = None

    def client(self) -> AdminClient:
        """Return a client for the router.

        Raises:
            BadInputError: The router or the token is missing or malformed.
        """
        if not self.router:
            message = f"give --router or set {ENV_ROUTER}"
            raise BadInputError("no_router", message)
        if not self.token:
            message = f"give --token or set {ENV_TOKEN}"
            raise BadInputError("no_token", message)
        if not _is_router_url(self.router):
            message = (
                f"{self.router!r} is not a URL such as http://10.0.0.1:7001"
            )
            raise BadInputError("bad_router_url", message)
        if not self.token.isascii() or not self.token.isprintable():
            message = "the token has characters that a header cannot contain"
            raise BadInputError("bad_token", message)
        return AdminClient(self.router, self.token, self.transport)


def _is_router_url(text: str) -> bool:
    match = _ROUTER_URL.fullmatch(text)
    return match is not None and int(match["port"] or 0) <= _MAX_PORT


def session_of(context: typer.Context) -> Session:
    """Return the session from the context of a command."""
    return context.ensure_object(Session)
