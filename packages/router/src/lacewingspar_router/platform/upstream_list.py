"""Decodes the registrations of upstreams."""

import ipaddress
import re
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from lacewingspar_core.decoding import DECODE_ERRORS
from lacewingspar_core.directory import UpstreamEntry, UpstreamState

_MAX_PORT = 65_535
_PORT = re.compile(r"[0-9]{1,5}")
# Ids of upstreams are sent in headers.
_HEADER_TOKEN = re.compile(r"[!-~]+")
# Range of whole numbers that messages between routers can hold.
_MAX_INTEGER = 2**63 - 1
_MAX_SLOTS = 1_000_000

_Integer = Annotated[int, msgspec.Meta(ge=-_MAX_INTEGER, le=_MAX_INTEGER)]


class _Entry(msgspec.Struct, frozen=True, rename="camel"):
    service: str
    address: str
    # Data centre of the upstream.
    zone: str
    # Version of its software. It is not used, but every upstream states it.
    version: int | str
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    state: UpstreamState
    # Number of the registration; restarts with the upstream process.
    sequence: _Integer
    # Start time of the upstream process, in milliseconds since the epoch.
    cold_remaining_ms: float
    born: _Integer = 0


_DECODER = msgspec.json.Decoder(_Entry)


def decode_upstream(
    upstream_id: str, data: bytes
) -> Result[UpstreamEntry, str]:
    """Decode an upstream entry, or return what is wrong with it."""
    try:
        entry = _DECODER.decode(data)
    except DECODE_ERRORS as error:
        return Failure(str(error))
    if not _HEADER_TOKEN.fullmatch(upstream_id):
        return Failure("id is not a word of printable ASCII characters")
    if not _is_address(entry.address):
        return Failure("address is not an IP address and port")
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
    return _PORT.fullmatch(port) is not None and 0 < int(port) <= _MAX_PORT
