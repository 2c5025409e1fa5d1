"""Interface of the peers component."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.membership import Seed
from lacewingspar_core.messages import (
    AnyPeerMessage,
    MemberRecord,
)
from lacewingspar_core.peer_message import PeerMessage
from lacewingspar_router.application import ComponentKey


@dataclass(frozen=True, slots=True)
class ReceivedMessage:
    """A message from another router, or from this one to itself.

    Attributes:
        sender: Router instance that sent the message.
        data_centre: Data centre of the sender.
        message: The message.
    """

    sender: RouterInstance
    data_centre: str
    message: AnyPeerMessage


class PeerNetwork(Protocol):
    """Sends messages between routers and tracks which are alive."""

    def send(self, router_id: str, message: AnyPeerMessage) -> int:
        """Send a message, which may be lost, repeated or reordered.

        Returns:
            Number of bytes sent over the network.
        """

    def send_to_instance(
        self, receiver: RouterInstance, message: AnyPeerMessage
    ) -> int:
        """Send a message that only one router instance may handle.

        Another process at its address drops it.

        Returns:
            Number of bytes sent over the network.
        """

    def add_seeds(self, seeds: Iterable[Seed]) -> None:
        """Add routers to contact and send heartbeats at once."""

    def announce_to(
        self, router_ids: Iterable[str], registered_count: int
    ) -> None:
        """Send this router's own record to some routers at once."""

    def set_applied_offset_source(self, read: Callable[[], int]) -> None:
        """Set the function that returns the applied offset for heartbeats."""

    def set_busy_source(self, read: Callable[[], bool]) -> None:
        """Set the function that returns whether this router is busy."""

    def subscribe(
        self,
        message_type: type[PeerMessage],
        handler: Callable[[ReceivedMessage], None],
    ) -> None:
        """Call a function for every received message of a type."""

    @property
    def alive_by_router_id(self) -> Mapping[str, MemberRecord]:
        """Return the routers that are alive, this one included."""

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function when the alive routers or their states change."""


PEERS: ComponentKey[PeerNetwork] = ComponentKey("peers")
