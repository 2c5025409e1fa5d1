"""Events and actions of the slot owner."""

from collections.abc import Mapping
from dataclasses import dataclass

from lacewingspar_core.identity import RouterLife
from lacewingspar_core.messages import AnyPeerMessage
from lacewingspar_core.slots import OwnedUpstream


@dataclass(frozen=True, slots=True)
class UpstreamsChanged:
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


@dataclass(frozen=True, slots=True)
class RouterGone:
    """A router life has ended or cannot be reached."""

    life: RouterLife


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from another router or from this one."""

    sender: RouterLife
    message: AnyPeerMessage


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Time has passed; expires offers and leases."""


OwnerEvent = UpstreamsChanged | RouterGone | MessageReceived | TimePassed


@dataclass(frozen=True, slots=True)
class Send:
    """Action: send a message to a router life."""

    receiver: RouterLife
    message: AnyPeerMessage
