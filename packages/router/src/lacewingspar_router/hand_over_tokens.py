"""Tokens that prove that a request was handed over by a router of the fleet.

Each process makes a token and publishes it with its registration in the log
service, which routers reach and callers do not. A router that hands a request
over sends the token of the process that receives it. No message between
routers contains a token, as any process that reaches their port could ask for
it, and the address in such a message is not used, as it could be that of any
process.
"""

import hmac
import secrets
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lacewingspar_core.identity import RouterInstance
from lacewingspar_router.application import ComponentKey

_TOKEN_BYTES = 16


@dataclass(frozen=True, slots=True)
class HandOverTarget:
    """Where and how a process takes requests from other routers.

    Attributes:
        address: Address for callers as `host:port`.
        token: Token of the process.
    """

    address: str
    token: str


class HandOverTokens:
    """Knows the token of this process and the targets of other processes.

    Attributes:
        own: Token of this process.
    """

    def __init__(self) -> None:
        self.own = secrets.token_hex(_TOKEN_BYTES)
        self._target_by_instance: dict[RouterInstance, HandOverTarget] = {}
        self._request_refresh: Callable[[], None] = lambda: None

    @property
    def registered_count(self) -> int:
        """Return the number of processes with a known target."""
        return len(self._target_by_instance)

    def is_own(self, token: bytes) -> bool:
        """Return whether a token is that of this process."""
        return hmac.compare_digest(token, self.own.encode())

    def target_of(self, instance: RouterInstance) -> HandOverTarget | None:
        """Return the target of another process, or None if it is unknown."""
        return self._target_by_instance.get(instance)

    def replace(
        self, targets: Iterable[tuple[RouterInstance, HandOverTarget]]
    ) -> None:
        """Replace the targets of other processes by those now registered."""
        self._target_by_instance = {
            instance: target
            for instance, target in targets
            if target.address and target.token
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
