"""Interface of the routing component and of its source."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from lacewingspar_core.directory import UpstreamDirectory, UpstreamEntry
from lacewingspar_core.routing import RouteTable, RoutingConfiguration
from lacewingspar_router.application import ComponentKey


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic.

    Attributes:
        key: Its key.
        value: Its value, empty if the key was dropped.
        offset: Its offset.
    """

    key: str
    value: bytes
    offset: int


@dataclass(frozen=True, slots=True)
class TopicListing:
    """The newest record of each key.

    Attributes:
        record_by_key: The records.
        end: Offset of the first record that may be missing.
    """

    record_by_key: Mapping[str, KeyedRecord]
    end: int


@dataclass(frozen=True, slots=True)
class TopicRecords:
    """Consecutive records.

    Attributes:
        records: The records, which may be none.
        next_offset: Offset to read from next.
    """

    records: Sequence[KeyedRecord]
    next_offset: int


class KeyedTopic(Protocol):
    """A log in which the newest record of each key is kept."""

    name: str

    async def async_newest(self) -> TopicListing:
        """Return the newest record of each key.

        Raises:
            TopicUnavailableError: The log cannot be read now.
        """

    async def async_read(
        self, from_offset: int, wait_seconds: float
    ) -> TopicRecords:
        """Return the records from an offset on, waiting for the first.

        Raises:
            TopicUnavailableError: The log cannot be read now.
            TopicTruncatedError: Records after the offset were dropped.
        """

    async def async_append(self, key: str, value: bytes) -> None:
        """Append a record; the write is repeatable.

        Raises:
            TopicUnavailableError: The record may or may not be appended.
        """


@dataclass(frozen=True, slots=True)
class RoutingSource:
    """Where the shared state of the fleet is kept, and how to read it.

    Attributes:
        configuration: Topic of the operators' configuration.
        configuration_key: Its key there.
        upstreams: Topic in which upstreams register.
        members: Topic in which routers register.
        decode_configuration: Decodes a configuration.
        decode_upstream: Decodes the entry of an upstream by its id.
    """

    configuration: KeyedTopic
    configuration_key: str
    upstreams: KeyedTopic
    members: KeyedTopic
    decode_configuration: Callable[[bytes], Result[RoutingConfiguration, str]]
    decode_upstream: Callable[[str, bytes], Result[UpstreamEntry, str]]


class RoutingView(Protocol):
    """Configuration and upstreams as this router knows them."""

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """Return the configuration in force, or None before the first."""

    @property
    def table(self) -> RouteTable:
        """Return the index of the routes in force."""

    @property
    def directory(self) -> UpstreamDirectory:
        """Return the upstreams."""

    @property
    def directory_age_seconds(self) -> float:
        """Return the time since the list of upstreams was last confirmed."""

    @property
    def is_ready(self) -> bool:
        """Return whether configuration and upstreams are known."""

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function after every change."""


ROUTING_SOURCE: ComponentKey[RoutingSource] = ComponentKey("routing_source")
ROUTING: ComponentKey[RoutingView] = ComponentKey("routing")
