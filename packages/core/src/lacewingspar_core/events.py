"""Events and actions of the slot owner."""

from collections.abc import Mapping

import msgspec

from lacewingspar_core.identity import RouterLife
from lacewingspar_core.messages import AnyPeerMessage, Counters
from lacewingspar_core.slots import OwnedUpstream


class UpstreamsChanged(msgspec.Struct, frozen=True, tag=True):
    """The upstreams whose slots this router hands out have changed.

    Attributes:
        upstream_by_id: All owned upstreams.
        weight_by_workspace: Weights from the service document.
        routers: Lives of the routers that are alive, which a new owner asks
            for the uses that it inherits.
    """

    upstream_by_id: Mapping[str, OwnedUpstream]
    weight_by_workspace: Mapping[str, float]
    routers: frozenset[RouterLife]


class RouterGone(msgspec.Struct, frozen=True, tag=True):
    """A router life has ended or cannot be reached."""

    life: RouterLife


class MessageReceived(msgspec.Struct, frozen=True, tag=True):
    """A message from another router or from this one."""

    sender: RouterLife
    message: AnyPeerMessage


class TimePassed(msgspec.Struct, frozen=True, tag=True):
    """Time has passed; expires offers and leases."""


class CountersDue(msgspec.Struct, frozen=True, tag=True):
    """The other owners of the service should get the counters.

    Attributes:
        full: Whether to send all counters, changed or not.
    """

    full: bool


OwnerEvent = (
    UpstreamsChanged | RouterGone | MessageReceived | TimePassed | CountersDue
)


class Send(msgspec.Struct, frozen=True, tag=True):
    """Action: send a message to a router life."""

    receiver: RouterLife
    message: AnyPeerMessage


class Announce(msgspec.Struct, frozen=True, tag=True):
    """Action: send counters to all other owners of the service."""

    counters: Counters


OwnerAction = Send | Announce
