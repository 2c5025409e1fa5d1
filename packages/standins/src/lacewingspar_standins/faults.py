"""Fault injection through `POST /faults`."""

from collections.abc import Awaitable, Callable
from typing import Any, Generic, TypeVar

import msgspec

from lacewingspar_standins.asgi import (
    BadRequestError,
    Receive,
    Request,
    Scope,
    Send,
    decode_json,
)

PATH_FAULTS = "/faults"


class Faults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base of the fault sets; a POST changes only the fields it contains."""


F = TypeVar("F", bound=Faults)


def merge_faults(current: F, patch: dict[str, Any]) -> F:
    """Return the faults with the posted fields replaced.

    Raises:
        BadRequestError: A field is unknown or has the wrong type.
    """
    merged = {**msgspec.structs.asdict(current), **patch}
    try:
        return msgspec.convert(merged, type(current))
    except msgspec.ValidationError as error:
        raise BadRequestError(str(error)) from error


class StandIn(Generic[F]):
    """An ASGI application with a fault set and the route to change it.

    Subclasses implement `handle` and may override `faults_changed`.
    """

    def __init__(self, faults: F) -> None:
        self.faults = faults

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle a request."""
        request = Request(scope, receive, send)
        handler: Callable[[Request], Awaitable[None]] = (
            self._handle_faults if request.path == PATH_FAULTS else self.handle
        )
        try:
            await handler(request)
        except BadRequestError as error:
            await request.reply(400, {"error": str(error)})
        except ConnectionAbortedError:
            return

    async def handle(self, request: Request) -> None:
        """Respond to a request other than `/faults`."""
        raise NotImplementedError

    def faults_changed(self) -> None:
        """React to a change of the fault set."""

    async def _handle_faults(self, request: Request) -> None:
        if request.method == "POST":
            patch = decode_json(await request.body(), dict[str, Any])
            self.faults = merge_faults(self.faults, patch)
            self.faults_changed()
        await request.reply(200, self.faults)
