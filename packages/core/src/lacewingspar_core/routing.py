"""Routes, services and workspaces in force, and the choice of a route."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

import xxhash


class RouteKind(StrEnum):
    """What kind of answer a route gives and how often a call may run."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class RouteTarget:
    """A service that gets a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its share relative to the route's other targets.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How requests below one path of one host are handled.

    Attributes:
        name: Name of the route.
        host: Host name in lower case.
        path_prefix: Path that begins and ends with a slash.
        kind: Kind of answer.
        targets: Services that serve the route.
        timeout_seconds: Longest time from arrival to the end of the answer.
        aim_seconds: Time from arrival to the first part of the answer within
            which it is most useful to the caller.
        priority: Rank; 0 is the most urgent.
        attempt_limit: Largest number of upstreams that one request is sent to.
        is_public: Whether callers need no key.
        is_resumable: Whether another upstream may go on with a stream.
        pause_aim_seconds: Longest pause between two events of a stream that
            is still in time.
        patience_seconds: Time from arrival after which callers give up a
            request whose answer has not begun; infinite where they wait for the
            whole of it.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    targets: tuple[RouteTarget, ...]
    timeout_seconds: float
    aim_seconds: float
    priority: int
    attempt_limit: int
    is_public: bool
    is_resumable: bool
    pause_aim_seconds: float
    patience_seconds: float = math.inf

    @property
    def may_run_again(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """What the operators say about the model engines of a service.

    Attributes:
        slots: Requests that an engine runs at once.
        memory_tokens: Tokens that fit into the memory of an engine.
        token_bytes: Size of one token in that memory, in bytes.
        link_bytes_per_second: Rate of transfers between two engines.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    link_bytes_per_second: float


@dataclass(frozen=True, slots=True)
class UpstreamService:
    """A pool of upstreams.

    Attributes:
        name: Name of the service.
        engine: Profile of its model engines; None for a plain service.
    """

    name: str
    engine: EngineProfile | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what callers send.

    Attributes:
        header_bytes: Largest size of a request's head.
        body_bytes: Largest size of a request's body.
        header_timeout_seconds: Longest time to send the head.
        idle_timeout_seconds: Time after which an idle connection is closed.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """All that operators have published, as one consistent version.

    Attributes:
        version: Version; a later one has a higher number.
        routes: All routes.
        service_by_name: All services.
        workspace_by_key: Workspace that holds each key.
        limits: Limits on what callers send.
        engine_tokens_per_second: Tokens that all model engines together read
            and write in a second, as the operators estimate; 0 if unknown.
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
        """Return the index of some routes."""
        table = cls()
        for route in routes:
            by_prefix = table._routes_by_host.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route
        return table

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

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
    """Return the service for a request, by a hash of its id.

    The same request goes to the same service at every router.
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
