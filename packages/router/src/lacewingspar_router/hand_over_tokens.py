"""Tokens that prove that a request was handed over by a router of the fleet.

Each process makes a token and publishes it with its registration in the log
service, which routers reach and callers do not. A router that hands a request
over sends the token of the process that receives it. No message between
routers contains a token, as any process that reaches their port could ask for
it.
"""

import hmac
import secrets
from collections.abc import Callable, Iterable

from lacewingspar_core.identity import RouterInstance
from lacewingspar_router.application import ComponentKey

_TOKEN_BYTES = 16


class HandOverTokens:
    """Knows the token of this process and those of other processes.

    Attributes:
        own: Token of this process.
    """

    def __init__(self) -> None:
        self.own = secrets.token_hex(_TOKEN_BYTES)
        self._token_by_instance: dict[RouterInstance, str] = {}
        self._request_refresh: Callable[[], None] = lambda: None

    def is_own(self, token: bytes) -> bool:
        """Return whether a token is that of this process."""
        return hmac.compare_digest(token, self.own.encode())

    def token_of(self, instance: RouterInstance) -> str | None:
        """Return the token of another process, or None if it is unknown."""
        return self._token_by_instance.get(instance)

    def replace(self, tokens: Iterable[tuple[RouterInstance, str]]) -> None:
        """Replace the tokens of other processes by those now registered."""
        self._token_by_instance = {
            instance: token for instance, token in tokens if token
        }

    def set_refresh(self, request_refresh: Callable[[], None]) -> None:
        """Set the function that starts to read the registered tokens."""
        self._request_refresh = request_refresh

    def request_refresh(self) -> None:
        """Start to read the registered tokens, unless it was done just now."""
        self._request_refresh()


HAND_OVER_TOKENS: ComponentKey[HandOverTokens] = ComponentKey(
    "hand_over_tokens"
)
