"""Bytes exchanged with other routers by message type and distance."""

from lacewingspar_core.messages import AnyPeerMessage
from lacewingspar_router.components.telemetry.models import Telemetry

_SCOPE_NEAR = "near"
_SCOPE_FAR = "far"


class PeerTraffic:
    """Counts the bytes of messages in one direction.

    Messages within a data centre are near; traffic between data centres is
    slower and may be charged.
    """

    def __init__(self) -> None:
        self._size_by_key: dict[tuple[str, bool], int] = {}

    def add(self, message: AnyPeerMessage, size: int, *, is_near: bool) -> None:
        """Count a message of some bytes."""
        key = (type(message).__name__, is_near)
        self._size_by_key[key] = self._size_by_key.get(key, 0) + size

    def bytes_by_type(self, *, is_near: bool) -> dict[str, int]:
        """Return the bytes of near or far messages by message type."""
        return {
            name: size
            for (name, near), size in self._size_by_key.items()
            if near is is_near
        }

    def publish(self, telemetry: Telemetry, metric: str) -> None:
        """Set a gauge for each message type and distance."""
        for (name, is_near), size in self._size_by_key.items():
            scope = _SCOPE_NEAR if is_near else _SCOPE_FAR
            telemetry.gauge(metric, size, type=name, scope=scope)
