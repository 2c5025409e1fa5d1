"""Settings of a router, read from JSON with comments."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import pyjson5
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass as schema_dataclass

from lacewingspar_core.memory_budget import budget_of_memory
from lacewingspar_core.names import Name
from lacewingspar_router.errors import SettingsError
from lacewingspar_router.http1.body_memory import DEFAULT_MAX_BYTES

_STRICT = ConfigDict(extra="forbid")

HostPort = Annotated[str, Field(pattern=r"^[^\s:/]+:\d{1,5}$")]
HttpUrl = Annotated[str, Field(pattern=r"^https?://[^\s]+$")]


@schema_dataclass(frozen=True, slots=True, config=_STRICT)
class PeerSettings:
    """A router to contact at the start.

    Attributes:
        router_id: Name of the router.
        data_centre: Data centre of the router.
        address: Host and port of its peer socket.
    """

    router_id: Name
    data_centre: Name
    address: HostPort


@schema_dataclass(frozen=True, slots=True, config=_STRICT)
class PlatformSettings:
    """Settings for the users' platform.

    If present, the router uses the interfaces of the users' platform for
    callers, upstreams, operators and the log service.

    Attributes:
        metrics_address: Host and port of the metrics page.
        seed_hosts: Hosts, or `host:port`, that may run routers; the port is
            ignored.
        stop_grace_seconds: Time between the stop signal and the kill of the
            process.
        retry_ratio: Retries allowed per request, across the fleet.
        retry_window_seconds: Window over which retries are counted.
        retry_allowance: Retries allowed per window in addition to the ratio.
        max_upstream_wait_seconds: Longest time for which an upstream is left
            alone because of the `Retry-After` of its response.
        descriptor_limit: Maximum number of open file descriptors.
        max_held_body_bytes: Most bytes that are held for the bodies of requests
            together.
        memory_limit_megabytes: Memory of the VM, from which the budget for
            what callers make the router hold is derived, or null for a budget
            of `max_held_body_bytes`.
        processor_share: Share of a processor that the router may use.
        processor_speed: Speed of that processor, relative to a common one.
        cold_rate_factor: Permitted rate of a cold upstream as a multiple of the
            configured one, or null for no limit.
        cold_rate_allowance: Permitted requests per second of a cold upstream in
            addition to that, or null for no limit.
        leaves_full_data_centre_fast: Whether requests leave a full data centre
            faster, at the price of more bytes between data centres.
        uses_reported_load: Whether the load that upstreams report counts even
            if they do not report how slow they are.
    """

    metrics_address: HostPort
    seed_hosts: tuple[str, ...] = ()
    stop_grace_seconds: Annotated[float, Field(gt=0, le=600)] = 8.0
    retry_ratio: Annotated[float, Field(ge=0, le=10)] = 0.2
    retry_window_seconds: Annotated[float, Field(gt=0, le=600)] = 10.0
    retry_allowance: Annotated[float, Field(ge=0, le=100_000)] = 20.0
    max_upstream_wait_seconds: Annotated[float, Field(gt=0, le=86_400)] = 300.0
    descriptor_limit: Annotated[int, Field(ge=256, le=10_000_000)] = 1024
    max_held_body_bytes: Annotated[int, Field(ge=1024 * 1024, le=1024**4)] = (
        DEFAULT_MAX_BYTES
    )
    memory_limit_megabytes: Annotated[int, Field(ge=64, le=1024**2)] | None = (
        None
    )
    processor_share: Annotated[float, Field(gt=0, le=1024)] = 1.0
    processor_speed: Annotated[float, Field(gt=0, le=1024)] = 1.0
    cold_rate_factor: Annotated[float, Field(gt=0, le=1000)] | None = None
    cold_rate_allowance: Annotated[float, Field(ge=0, le=100_000)] | None = None
    uses_reported_load: bool = False
    leaves_full_data_centre_fast: bool = False

    @property
    def memory_budget_bytes(self) -> int:
        """Return the budget for what callers make the router hold."""
        if self.memory_limit_megabytes is None:
            return self.max_held_body_bytes
        return budget_of_memory(self.memory_limit_megabytes)

    @property
    def capacity(self) -> float:
        """Return the available processing power, in common processors."""
        return self.processor_share * self.processor_speed


@schema_dataclass(frozen=True, slots=True, config=_STRICT)
class Settings:
    """Settings of one router.

    Attributes:
        router_id: Name of this router, unique in the fleet.
        data_centre: Data centre of this router.
        caller_address: Host and port for callers.
        admin_address: Host and port for operators, the platform's load
            balancer and metrics.
        peer_address: Host and port for other routers.
        admin_token_sha256: SHA-256 hash of the administration token.
        log_service_url: Base URL of the platform's log service.
        vm_list_url: Base URL of the platform's VM list.
        peers: Routers to contact at the start.
        address_map: Replacements for the `host:port` of outgoing connections,
            for networks that translate addresses.
        drain_limit_seconds: Maximum time for which a graceful shutdown waits
            for requests in flight.
        log_level: Minimum level of log lines.
        trace_file: File to which spans are appended as JSON lines.
        trace_url: OTLP/HTTP URL to which spans are sent.
        event_record_file: File to which events and decisions are appended for
            replay.
        platform: Settings for the users' platform, or null to use the
            project's own interfaces.
    """

    router_id: Name
    data_centre: Name
    caller_address: HostPort
    admin_address: HostPort
    peer_address: HostPort
    admin_token_sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    log_service_url: HttpUrl
    vm_list_url: HttpUrl
    peers: tuple[PeerSettings, ...] = ()
    address_map: dict[HostPort, HostPort] = Field(default_factory=dict)
    drain_limit_seconds: Annotated[float, Field(ge=0, le=86_400)] = 600.0
    log_level: Annotated[
        str, Field(pattern=r"^(debug|info|warning|error)$")
    ] = "info"
    trace_file: str | None = None
    trace_url: HttpUrl | None = None
    event_record_file: str | None = None
    platform: PlatformSettings | None = None


_ADAPTER = TypeAdapter(Settings)


def load_settings(path: Path) -> Settings:
    """Read settings from a file of JSON with comments.

    Raises:
        SettingsError: The file is unreadable or invalid; the message lists
            every problem.
    """
    try:
        value: Any = pyjson5.decode(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"cannot read {path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path} is not UTF-8: {error}") from error
    except pyjson5.Json5Exception as error:
        raise SettingsError(f"{path} is not valid JSON: {error}") from error
    try:
        return _ADAPTER.validate_python(value)
    except ValidationError as error:
        lines = [
            f"{'.'.join(str(part) for part in item['loc'])}: {item['msg']}"
            for item in error.errors()
        ]
        raise SettingsError("\n".join(lines)) from error
