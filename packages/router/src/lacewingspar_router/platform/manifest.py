"""Decodes the operators' configuration."""

import math
from enum import StrEnum

import msgspec
from returns.result import Failure, Result, Success

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
# Where a route names no limits, those of the longest requests apply.
_DEFAULT_TIMEOUT_MS = 60_000.0
_DEFAULT_AIM_MS = 1000.0
_DEFAULT_LIMITS = CallerLimits()
# Callers give a stream up, also before its first event, after the longest of
# these: a time, so many times the aim, and so many times the longest pause in
# time. Source: the platform's page on requests.
_LEAST_PATIENCE_SECONDS = 2.0
_PATIENCE_PER_AIM = 4.0
_PATIENCE_PER_PAUSE = 8.0


class _Kind(StrEnum):
    """Kinds of routes as the platform spells them."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


_KIND_BY_WORD = {
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
    target_latency_ms: float = _DEFAULT_AIM_MS
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = _DEFAULT_AIM_MS


class _Engine(msgspec.Struct, frozen=True, rename="camel"):
    slots: int
    kv_tokens: int
    # Bytes of one token in an engine's memory.
    kv_bytes: float = 0.0
    # Rate of copies between two engines, in megabits a second.
    link_mbps: float = 0.0


class _Service(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: int = _DEFAULT_LIMITS.header_bytes
    max_body_bytes: int = _DEFAULT_LIMITS.body_bytes
    header_timeout_ms: float = _DEFAULT_LIMITS.header_timeout_seconds * 1000
    idle_timeout_ms: float = _DEFAULT_LIMITS.idle_timeout_seconds * 1000
    # What all engines together read and write; a written token counts twice.
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
    """Return the configuration that some bytes hold, or what is wrong."""
    try:
        manifest = _DECODER.decode(data)
    except msgspec.MsgspecError as error:
        return Failure(str(error))
    limits = manifest.limits
    return Success(
        RoutingConfiguration(
            version=manifest.version,
            routes=tuple(_route(item) for item in manifest.routes),
            service_by_name={
                item.name: _service(item) for item in manifest.services
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


def _route(item: _Route) -> Route:
    targets = tuple(
        RouteTarget(split.service, split.weight) for split in item.traffic_split
    )
    kind = _KIND_BY_WORD[item.kind]
    return Route(
        name=item.name,
        host=item.host.lower(),
        path_prefix=item.path_prefix,
        kind=kind,
        targets=targets or (RouteTarget(item.service, 1.0),),
        timeout_seconds=item.timeout_ms / 1000,
        aim_seconds=item.target_latency_ms / 1000,
        priority=item.priority,
        attempt_limit=item.max_attempts,
        is_public=item.public,
        is_resumable=item.resumable,
        pause_aim_seconds=item.gap_aim_ms / 1000,
        patience_seconds=(
            _stream_patience(item) if kind is RouteKind.STREAM else math.inf
        ),
    )


def _stream_patience(item: _Route) -> float:
    return max(
        _LEAST_PATIENCE_SECONDS,
        _PATIENCE_PER_AIM * item.target_latency_ms / 1000,
        _PATIENCE_PER_PAUSE * item.gap_aim_ms / 1000,
    )


def _service(item: _Service) -> UpstreamService:
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
    return UpstreamService(item.name, profile)
