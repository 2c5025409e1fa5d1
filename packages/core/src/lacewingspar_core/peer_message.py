"""Base class of the messages between routers."""

import msgspec


class PeerMessage(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of all messages between routers."""
