"""Configurations of the fault soak and random changes to them."""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Any

from lacewingspar_standins.deployed.documents import (
    KEY,
    LIMITS,
    manifest,
    route,
)

# Key that is in every other configuration.
CHANGING_KEY = "key-of-beta"
FLIP_PATHS = ("/flip-0/", "/flip-1/")
# Services between which each route moves.
SERVICES_BY_MOVING_PATH = {
    "/moved/": ("plain", "spare"),
    "/moved-stream/": ("engines", "spare-engines"),
}
EXTRA_PATHS = tuple(f"/extra-{number}/" for number in range(400))
_SERVICE_BY_FIXED_PATH = {
    "/stream/": "engines",
    "/stream-once/": "engines",
    "/read/": "plain",
    "/write/": "plain",
}
_KIND_BY_PATH = {
    "/stream/": "streaming",
    "/stream-once/": "streaming",
    "/moved-stream/": "streaming",
    "/write/": "non_idempotent",
}
# Few, so that requests wait while upstreams are slow or silent.
ENGINE_SLOTS = 4
# At least as long as any caller waits, or shorter than some callers wait.
_TIMEOUTS_MS = (8000, 3000)
# Most are so short that callers find connections that have just timed out.
_IDLE_TIMEOUTS_MS = (1000, 1500, 2500, 15_000)


@dataclass(frozen=True, slots=True)
class SoakConfiguration:
    """What a configuration allows.

    Attributes:
        service_by_path: Service of each route by its path prefix.
        keys: API keys.
        timeout_ms: Timeout of all routes.
        limits: Changes to the limits of callers.
    """

    service_by_path: Mapping[str, str]
    keys: frozenset[str] = frozenset({KEY})
    timeout_ms: int = _TIMEOUTS_MS[0]
    limits: Mapping[str, int] = field(
        default_factory=lambda: MappingProxyType({})
    )

    @property
    def idle_timeout_seconds(self) -> float:
        """Return the time after which routers close idle connections."""
        default_ms = int(LIMITS["idleTimeoutMs"])
        return self.limits.get("idleTimeoutMs", default_ms) / 1000

    def document(self, version: int) -> dict[str, Any]:
        """Return the document to publish."""
        default = manifest()
        engine = default["services"][0]["engine"] | {"slots": ENGINE_SLOTS}
        return default | {
            "version": version,
            "routes": [
                route(
                    path,
                    _KIND_BY_PATH.get(path, "idempotent"),
                    service,
                    timeoutMs=self.timeout_ms,
                    resumable=path in ("/stream/", "/moved-stream/"),
                )
                for path, service in self.service_by_path.items()
            ],
            "services": [
                {"name": "engines", "maxConnections": 100, "engine": engine},
                {
                    "name": "spare-engines",
                    "maxConnections": 100,
                    "engine": engine,
                },
                {"name": "plain", "maxConnections": 100},
                {"name": "spare", "maxConnections": 100},
            ],
            "limits": {**LIMITS, **self.limits},
            "tenants": [
                {"name": "alpha", "apiKeys": [KEY]},
                {"name": "beta", "apiKeys": sorted(self.keys - {KEY})},
            ],
        }


def first_configuration() -> SoakConfiguration:
    """Return the configuration of a new deployment."""
    moving = {
        path: services[0] for path, services in SERVICES_BY_MOVING_PATH.items()
    }
    return SoakConfiguration(
        {**_SERVICE_BY_FIXED_PATH, **moving, FLIP_PATHS[0]: "plain"}
    )


def changed_configuration(
    current: SoakConfiguration, generator: random.Random
) -> SoakConfiguration:
    """Return a configuration with one random change."""
    service_by_path = dict(current.service_by_path)
    match generator.choice(("flip", "flip", "move", "key", "time", "grow")):
        case "flip":
            old, new = FLIP_PATHS
            if old not in service_by_path:
                old, new = new, old
            service_by_path[new] = service_by_path.pop(old)
        case "move":
            path = generator.choice(sorted(SERVICES_BY_MOVING_PATH))
            first, second = SERVICES_BY_MOVING_PATH[path]
            is_first = service_by_path[path] == first
            service_by_path[path] = second if is_first else first
        case "key":
            return replace(current, keys=current.keys ^ {CHANGING_KEY})
        case "time":
            return replace(
                current,
                timeout_ms=generator.choice(_TIMEOUTS_MS),
                limits={"idleTimeoutMs": generator.choice(_IDLE_TIMEOUTS_MS)},
            )
        case "grow":
            if EXTRA_PATHS[0] in service_by_path:
                for path in EXTRA_PATHS:
                    del service_by_path[path]
            else:
                service_by_path |= dict.fromkeys(EXTRA_PATHS, "plain")
    return replace(current, service_by_path=service_by_path)
