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
        sender: Life of the sender.
        data_centre: Data centre of the sender.
        message: The message.
    """

    sender: RouterInstance
    data_centre: str
    message: AnyPeerMessage


class PeerNetwork(Protocol):
    """Messages between routers and the view of who is alive."""

    def send(self, router_id: str, message: AnyPeerMessage) -> int:
        """Send a message; it may be lost, repeated or reordered.

        Returns:
            Number of bytes that go over the network.
        """

    def add_seeds(self, seeds: Iterable[Seed]) -> None:
        """Contact further routers at once."""

    def set_applied_offset_source(self, read: Callable[[], int]) -> None:
        """Set the function whose value heartbeats carry as applied offset."""

    def set_busy_source(self, read: Callable[[], bool]) -> None:
        """Set the function that tells whether this router has no room."""

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
        """Call a function after every change of who is alive."""


PEERS: ComponentKey[PeerNetwork] = ComponentKey("peers")
