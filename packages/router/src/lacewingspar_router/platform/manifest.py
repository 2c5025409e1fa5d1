"""Decodes the operators' configuration."""

import math
from enum import StrEnum

import msgspec
from returns.result import Failure, Result, Success

from lacewingspar_core.decoding import DECODE_ERRORS
from lacewingspar_core.routing import (
    CallerLimits,
    EngineProfile,
    Route,
    RouteKind,
    RouteTarget,
    RoutingConfiguration,
    UpstreamService,
)

_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1_000_000
# Defaults of routes without limits suit the longest requests.
_DEFAULT_TIMEOUT_MS = 60_000.0
_DEFAULT_TARGET_LATENCY_MS = 1000.0
_DEFAULT_LIMITS = CallerLimits()
# Callers abandon a stream that sends no event for the longest of: a minimum, a
# multiple of the latency target, and a multiple of the event gap target. This
# also applies before the first event. Source: the platform's page on requests.
_MIN_FIRST_CHUNK_TIMEOUT_SECONDS = 2.0
_FIRST_CHUNK_TIMEOUT_PER_LATENCY_TARGET = 4.0
_FIRST_CHUNK_TIMEOUT_PER_EVENT_GAP = 8.0


class _Kind(StrEnum):
    """Kinds of routes in the platform's configuration."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


_ROUTE_KIND_BY_NAME = {
    _Kind.IDEMPOTENT: RouteKind.IDEMPOTENT,
    _Kind.NON_IDEMPOTENT: RouteKind.NON_IDEMPOTENT,
    _Kind.STREAMING: RouteKind.STREAM,
}


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    host: str
    path_prefix: str
    kind: _Kind
    service: str = ""
    traffic_split: tuple[_Split, ...] = ()
    timeout_ms: float = _DEFAULT_TIMEOUT_MS
    target_latency_ms: float = _DEFAULT_TARGET_LATENCY_MS
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = _DEFAULT_TARGET_LATENCY_MS


class _Engine(msgspec.Struct, frozen=True, rename="camel"):
    slots: int
    kv_tokens: int
    # KV cache size of one token, in bytes.
    kv_bytes: float = 0.0
    # Bandwidth between two engines, in megabits per second.
    link_mbps: float = 0.0


class _Service(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    engine: _Engine | None = None
    # Time for which an upstream is cold, and its requests per second meanwhile.
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: int = _DEFAULT_LIMITS.header_bytes
    max_body_bytes: int = _DEFAULT_LIMITS.body_bytes
    header_timeout_ms: float = _DEFAULT_LIMITS.header_timeout_seconds * 1000
    idle_timeout_ms: float = _DEFAULT_LIMITS.idle_timeout_seconds * 1000
    # Token throughput of all engines together; an output token counts twice.
    tokens_per_s: float = 0.0


class _Tenant(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    api_keys: tuple[str, ...] = ()


class _Manifest(msgspec.Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


_DECODER = msgspec.json.Decoder(_Manifest)


def decode_configuration(data: bytes) -> Result[RoutingConfiguration, str]:
    """Decode a configuration, or return what is wrong with it."""
    try:
        manifest = _DECODER.decode(data)
    except DECODE_ERRORS as error:
        return Failure(str(error))
    limits = manifest.limits
    return Success(
        RoutingConfiguration(
            version=manifest.version,
            routes=tuple(_build_route(item) for item in manifest.routes),
            service_by_name={
                item.name: _build_service(item) for item in manifest.services
            },
            workspace_by_key={
                key: tenant.name
                for tenant in manifest.tenants
                for key in tenant.api_keys
            },
            limits=CallerLimits(
                header_bytes=limits.max_header_bytes,
                body_bytes=limits.max_body_bytes,
                header_timeout_seconds=limits.header_timeout_ms / 1000,
                idle_timeout_seconds=limits.idle_timeout_ms / 1000,
            ),
            engine_tokens_per_second=limits.tokens_per_s,
        )
    )


def _build_route(item: _Route) -> Route:
    targets = tuple(
        RouteTarget(split.service, split.weight) for split in item.traffic_split
    )
    kind = _ROUTE_KIND_BY_NAME[item.kind]
    return Route(
        name=item.name,
        host=item.host.lower(),
        path_prefix=item.path_prefix,
        kind=kind,
        targets=targets or (RouteTarget(item.service, 1.0),),
        timeout_seconds=item.timeout_ms / 1000,
        latency_target_seconds=item.target_latency_ms / 1000,
        priority=item.priority,
        attempt_limit=item.max_attempts,
        is_public=item.public,
        is_resumable=item.resumable,
        event_gap_target_seconds=item.gap_aim_ms / 1000,
        first_chunk_timeout_seconds=(
            _first_chunk_timeout(item) if kind is RouteKind.STREAM else math.inf
        ),
    )


def _first_chunk_timeout(item: _Route) -> float:
    return max(
        _MIN_FIRST_CHUNK_TIMEOUT_SECONDS,
        _FIRST_CHUNK_TIMEOUT_PER_LATENCY_TARGET * item.target_latency_ms / 1000,
        _FIRST_CHUNK_TIMEOUT_PER_EVENT_GAP * item.gap_aim_ms / 1000,
    )


def _build_service(item: _Service) -> UpstreamService:
    engine = item.engine
    profile = None
    if engine is not None:
        megabits = engine.link_mbps * _BITS_PER_MEGABIT
        profile = EngineProfile(
            slots=engine.slots,
            memory_tokens=engine.kv_tokens,
            token_bytes=int(engine.kv_bytes),
            link_bytes_per_second=megabits / _BITS_PER_BYTE,
        )
    return UpstreamService(
        item.name, profile, item.cold_start_s, item.cold_per_s
    )
