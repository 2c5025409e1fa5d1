"""Events that slot owners handle and actions that they return."""

from collections.abc import Mapping

import msgspec

from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.messages import AnyPeerMessage, Counters
from lacewingspar_core.slots import OwnedUpstream


class UpstreamsChanged(msgspec.Struct, frozen=True, tag=True):
    """The upstreams whose slots this router allocates have changed.

    Attributes:
        upstream_by_id: All owned upstreams.
        weight_by_workspace: Weights from the service document.
        routers: Live router instances. A new slot owner asks them to report
            the slots that they use.
    """

    upstream_by_id: Mapping[str, OwnedUpstream]
    weight_by_workspace: Mapping[str, float]
    routers: frozenset[RouterInstance]


class RouterGone(msgspec.Struct, frozen=True, tag=True):
    """A router instance has stopped or is unreachable."""

    instance: RouterInstance = msgspec.field(name="life")


class MessageReceived(msgspec.Struct, frozen=True, tag=True):
    """A peer message has arrived, from another router or from this one."""

    sender: RouterInstance
    message: AnyPeerMessage


class TimePassed(msgspec.Struct, frozen=True, tag=True):
    """Periodic tick that expires offers and leases."""


class CountersDue(msgspec.Struct, frozen=True, tag=True):
    """The counters are due to be sent to the service's other slot owners.

    Attributes:
        full: Whether to include unchanged counters.
    """

    full: bool


OwnerEvent = (
    UpstreamsChanged | RouterGone | MessageReceived | TimePassed | CountersDue
)


class Send(msgspec.Struct, frozen=True, tag=True):
    """Action: send a message to a router instance."""

    receiver: RouterInstance
    message: AnyPeerMessage


class Announce(msgspec.Struct, frozen=True, tag=True):
    """Action: send counters to all other slot owners of the service."""

    counters: Counters


OwnerAction = Send | Announce
