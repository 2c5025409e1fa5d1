"""Interfaces of the routing component and its source."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from lacewingspar_core.directory import UpstreamDirectory, UpstreamEntry
from lacewingspar_core.routing import RouteTable, RoutingConfiguration
from lacewingspar_core.upstream_notices import UpstreamNotice
from lacewingspar_router.application import ComponentKey


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """Record of a keyed topic.

    Attributes:
        key: Key of the record.
        value: Encoded value, or empty if the key was removed.
        offset: Position in the topic (`lacewingspar_core.log_positions`).
    """

    key: str
    value: bytes
    offset: int


@dataclass(frozen=True, slots=True)
class TopicListing:
    """The newest record of each key.

    Attributes:
        record_by_key: Newest record of each key.
        end_offset: Position from which to continue reading.
    """

    record_by_key: Mapping[str, KeyedRecord]
    end_offset: int


@dataclass(frozen=True, slots=True)
class TopicRecords:
    """Consecutive records.

    Attributes:
        records: Records in order; may be empty.
        next_offset: Position of the next read.
    """

    records: Sequence[KeyedRecord]
    next_offset: int


class KeyedTopic(Protocol):
    """Log that retains at least the newest record of each key."""

    name: str

    async def async_read_newest(self) -> TopicListing:
        """Return the newest record of each key.

        Raises:
            TopicUnavailableError: The log service is unavailable.
        """

    async def async_read(
        self, from_offset: int, wait_seconds: float
    ) -> TopicRecords:
        """Return the records from an offset on, waiting for the first.

        Args:
            from_offset: Position of the first record to return.
            wait_seconds: Longest time to wait if there is none yet.

        Raises:
            TopicUnavailableError: The log service is unavailable.
            TopicTruncatedError: Records after the offset were dropped.
            TopicRestoredError: The log was restored to an older state.
        """

    async def async_append(self, key: str, value: bytes) -> int:
        """Append a record and return the era of the log; safe to retry.

        Raises:
            TopicUnavailableError: The log service is unavailable. The record
                may have been appended.
        """


@dataclass(frozen=True, slots=True)
class RoutingSource:
    """Topics that hold the shared state of the fleet, and their decoders.

    Attributes:
        configuration: Topic of the operators: their configuration, and the
            data centres to evacuate.
        configuration_key: Key of the configuration in that topic.
        upstreams: Topic in which upstreams register.
        routers: Topic in which routers register.
        decode_configuration: Decodes a configuration, or returns the error.
        decode_evacuation: Returns the data centre to which a key of the
            operators' topic refers, or None if it is another key.
        decode_upstream: Decodes the entry of an upstream id, or returns the
            error.
    """

    configuration: KeyedTopic
    configuration_key: str
    upstreams: KeyedTopic
    routers: KeyedTopic
    decode_configuration: Callable[[bytes], Result[RoutingConfiguration, str]]
    decode_evacuation: Callable[[str], str | None]
    decode_upstream: Callable[[str, bytes], Result[UpstreamEntry, str]]


class RoutingView(Protocol):
    """Read access to the configuration and upstreams of this router."""

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """Return the active configuration, or None before the first."""

    @property
    def table(self) -> RouteTable:
        """Return the route table of the active configuration."""

    @property
    def directory(self) -> UpstreamDirectory:
        """Return the directory of upstreams."""

    @property
    def directory_age_seconds(self) -> float:
        """Return the time since the directory was last known to be current."""

    @property
    def is_ready(self) -> bool:
        """Return whether configuration and upstreams have been loaded."""

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function that is called after every change."""


class UpstreamAvailability(Protocol):
    """Which upstreams may get requests of this router, as they announced."""

    def record(self, upstream: UpstreamEntry, notice: UpstreamNotice) -> None:
        """Record a notice in a response to this router.

        Args:
            upstream: Entry of the upstream at the time of the request.
            notice: The notice.
        """

    def withheld(self) -> frozenset[str]:
        """Return the upstreams that must not get a request now."""

    def try_begin(self, upstream_id: str, number: int) -> bool:
        """Return whether a request may be sent to an upstream now.

        Args:
            upstream_id: The upstream.
            number: Number of the request, unique for this router process.
        """

    def end_probe(self, upstream_id: str, number: int) -> None:
        """Record the end of a request that may have been a probe."""

    def seconds_until_return(self, service: str) -> float | None:
        """Return how long all upstreams of a service want no requests.

        Returns:
            Time in seconds until the first one returns, or None if there is one
            that accepts requests, or none that asked to wait.
        """


ROUTING_SOURCE: ComponentKey[RoutingSource] = ComponentKey("routing_source")
ROUTING: ComponentKey[RoutingView] = ComponentKey("routing")
UPSTREAM_AVAILABILITY: ComponentKey[UpstreamAvailability] = ComponentKey(
    "upstream_availability"
)
