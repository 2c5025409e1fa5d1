"""Decodes the registrations of upstreams."""

import ipaddress

import msgspec
from returns.result import Failure, Result, Success

from lacewingspar_core.directory import UpstreamEntry, UpstreamState

_MAX_PORT = 65_535


class _Entry(msgspec.Struct, frozen=True, rename="camel"):
    service: str
    address: str
    # Data centre of the upstream.
    zone: str
    slots: int
    state: UpstreamState
    # Number of the registration; restarts with the upstream process.
    sequence: int
    # Start time of the upstream process, in milliseconds since the epoch.
    born: int = 0
    cold_remaining_ms: float = 0.0


_DECODER = msgspec.json.Decoder(_Entry)


def decode_upstream(
    upstream_id: str, data: bytes
) -> Result[UpstreamEntry, str]:
    """Decode an upstream entry, or return what is wrong with it."""
    try:
        entry = _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(str(error))
    if not _is_address(entry.address):
        return Failure("address is not an IP address and port")
    if entry.slots < 1:
        return Failure("slots must be at least 1")
    return Success(
        UpstreamEntry(
            upstream_id=upstream_id,
            service=entry.service,
            address=entry.address,
            data_centre=entry.zone,
            slots=entry.slots,
            state=entry.state,
            born_ms=entry.born,
            sequence=entry.sequence,
            warm_up_seconds=entry.cold_remaining_ms / 1000,
        )
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= _MAX_PORT
