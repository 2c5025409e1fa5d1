"""Messages that distribute configuration and upstream lists among routers.

Offsets are positions (`log_positions`), which include the era of the log.
"""

import msgspec

from lacewingspar_core.peer_message import PeerMessage


class StateNotice(PeerMessage, frozen=True, tag="state!"):
    """Announces which versions of the shared state the sender has.

    Attributes:
        configuration_version: Version of the active configuration.
        directory_offset: Offset up to which the sender knows the upstream list.
        changed_offset: Offset after the last record that changed the list.
        is_confirmed: Whether the sender has just read the log for its data
            centre.
        evacuation_offset: Offset of the sender's set of evacuated data centres;
            -1 if it is unknown, or the sender is of a version without it.
    """

    configuration_version: int
    directory_offset: int
    changed_offset: int
    is_confirmed: bool
    evacuation_offset: int = -1


class UpstreamLeaving(PeerMessage, frozen=True, tag="leaving"):
    """Tells that an upstream has announced its shutdown to the sender.

    Attributes:
        upstream_id: The upstream.
        born_ms: Start time of the incarnation that leaves, in milliseconds
            since the Unix epoch.
    """

    upstream_id: str
    born_ms: int


class StateRequest(PeerMessage, frozen=True, tag="state?"):
    """Requests shared state that is newer than the sender's."""

    configuration_version: int
    directory_offset: int
    evacuation_offset: int = -1


class DirectoryRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record of the upstream list.

    Attributes:
        key: Id of the upstream.
        value: Its entry as stored, or empty if it was removed.
        offset: Offset of the record.
    """

    key: str
    value: bytes
    offset: int


class StateReply(PeerMessage, frozen=True, tag="state"):
    """Shared state that is newer than that of the process that asked.

    Attributes:
        configuration_version: Version of the configuration.
        configuration: The configuration as stored, or empty if the receiver has
            it.
        directory_offset: Offset up to which the sender knows the upstream list.
        records: Newest records of the upstreams that changed after the
            receiver's offset.
        is_listing: Whether the records are the complete list, so that all other
            upstreams were removed.
        expiry_grace_ms: Time for which missing upstreams may still be listed
            again after a disruption of the log, as seen by the sender; 0 if
            they have left.
        evacuation_offset: Offset of the set of evacuated data centres, or -1 if
            the message contains none.
        evacuated_data_centres: All evacuated data centres.
        kept_data_centres: Data centres that stay evacuated for a time, though
            their records are missing since the log was restored.
    """

    configuration_version: int
    configuration: bytes
    directory_offset: int
    records: tuple[DirectoryRecord, ...]
    is_listing: bool
    expiry_grace_ms: int
    evacuation_offset: int = -1
    evacuated_data_centres: tuple[str, ...] = ()
    kept_data_centres: tuple[str, ...] = ()
