"""Active routing configuration, and route and target selection."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

import xxhash


class RouteKind(StrEnum):
    """Response type of a route and whether its requests are idempotent."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class RouteTarget:
    """A service that receives a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Share of the requests relative to the route's other targets.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Handling of the requests to one host whose paths share a prefix.

    Attributes:
        name: Name of the route.
        host: Host name in lower case.
        path_prefix: Path that begins and ends with a slash.
        kind: Response type and idempotency.
        targets: Services that serve the route.
        timeout_seconds: Maximum time from the arrival of a request to the end
            of its response.
        latency_target_seconds: Latency target, from the arrival of a request to
            the first chunk of its response.
        priority: Priority of the requests; 0 is the most urgent.
        attempt_limit: Maximum number of times that one request is sent.
        is_public: Whether callers need no API key.
        is_resumable: Whether another upstream can resume an interrupted stream.
        event_gap_target_seconds: Target for the gap between two events of a
            stream.
        first_chunk_timeout_seconds: First-chunk timeout of the callers, from
            the arrival of a request; infinite if callers wait for the whole
            response.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    targets: tuple[RouteTarget, ...]
    timeout_seconds: float
    latency_target_seconds: float
    priority: int
    attempt_limit: int
    is_public: bool
    is_resumable: bool
    event_gap_target_seconds: float
    first_chunk_timeout_seconds: float = math.inf

    @property
    def may_run_again(self) -> bool:
        """Return whether a request may safely run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Capacity of each model engine of a service, as configured.

    Attributes:
        slots: Maximum number of concurrent requests of an engine.
        memory_tokens: Tokens that fit into the KV cache of an engine.
        token_bytes: Size of one token in the KV cache, in bytes.
        link_bytes_per_second: Bandwidth between two engines.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    link_bytes_per_second: float


@dataclass(frozen=True, slots=True)
class UpstreamService:
    """A named service that is served by a pool of upstreams.

    Attributes:
        name: Name of the service.
        engine: Capacity of its model engines, or None for a service without
            models.
        cold_start_seconds: Time for which an upstream is cold after its start,
            or 0 if its upstreams need no limit.
        cold_requests_per_second: Requests that a cold upstream can handle per
            second, or 0 for no limit.
    """

    name: str
    engine: EngineProfile | None
    cold_start_seconds: float = 0.0
    cold_requests_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    Attributes:
        header_bytes: Maximum size of the request headers.
        body_bytes: Maximum size of a request body.
        header_timeout_seconds: Maximum time to receive the request headers.
        idle_timeout_seconds: Time after which an idle connection is closed.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One consistent version of the configuration published by operators.

    Attributes:
        version: Version number, which increases with every publication.
        routes: All routes.
        service_by_name: All services.
        workspace_by_key: Workspace to which each API key belongs.
        limits: Limits on the requests and connections of callers.
        engine_tokens_per_second: Estimated tokens that all model engines
            together read and generate in a second; 0 if unknown.
    """

    version: int
    routes: tuple[Route, ...]
    service_by_name: Mapping[str, UpstreamService]
    workspace_by_key: Mapping[str, str]
    limits: CallerLimits = CallerLimits()
    engine_tokens_per_second: float = 0.0


@dataclass(slots=True)
class RouteTable:
    """Index of the routes of one configuration by host and path prefix."""

    _routes_by_host: dict[str, dict[str, Route]] = field(default_factory=dict)

    @classmethod
    def of(cls, routes: Iterable[Route]) -> "RouteTable":
        """Build the index of the given routes."""
        table = cls()
        for route in routes:
            by_prefix = table._routes_by_host.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route
        return table

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path.

        Args:
            host: Host name in lower case, without a port.
            path: Path without a query string.
        """
        by_prefix = self._routes_by_host.get(host)
        if by_prefix is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None


def choose_target(route: Route, request_id: str) -> str:
    """Return the target service of a request, chosen by a hash of its id.

    Every router chooses the same service for the same request.
    """
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    point = xxhash.xxh32_intdigest(request_id.encode()) / 2**32 * total
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service
