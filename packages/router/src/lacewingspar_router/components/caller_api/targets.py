"""Targets of requests."""

import re
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

from lacewingspar_core.documents import ServiceDocument, ServiceKind
from lacewingspar_router.components.caller_api.const import (
    PATH_CHAT,
    PATH_MODELS,
    PATH_SERVICES,
)
from lacewingspar_router.components.caller_api.requests import Repeatability
from lacewingspar_router.errors import RequestRefusedError

_REPEATABLE_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
_SLASHES = re.compile(r"/{2,}")


@dataclass(frozen=True, slots=True)
class Target:
    """Target of a request line.

    Attributes:
        method: HTTP method.
        service: Name of the service, or None if it depends on the model.
        path: Path at the upstream in the caller's spelling, without query.
        target: Path at the upstream with query string.
    """

    method: str
    service: str | None
    path: str
    target: str

    @property
    def is_model_list(self) -> bool:
        """Return whether the caller requests the list of models."""
        return self.service is None and self.path == PATH_MODELS

    @property
    def has_model(self) -> bool:
        """Return whether the body of a model service's call names a model."""
        return self.path == PATH_CHAT and self.method == "POST"


def read_target(scope: Any) -> Target:
    """Parse the target of a request.

    Raises:
        RequestRefusedError: The path is unknown or does not allow the method.
    """
    method = str(scope["method"])
    raw = bytes(scope.get("raw_path") or b"")
    path = raw.decode("latin-1") or str(scope["path"])
    query = scope["query_string"].decode("latin-1")
    if path.startswith(PATH_SERVICES):
        service, _, rest = path[len(PATH_SERVICES) :].partition("/")
        return _target(method, unquote(service), f"/{rest}", query)
    allowed = {PATH_CHAT: "POST", PATH_MODELS: "GET"}.get(path)
    if allowed is None:
        raise RequestRefusedError(
            404, "unknown_path", "there is nothing at this path"
        )
    if method != allowed:
        raise RequestRefusedError(
            405, "method_not_allowed", f"{path} allows {allowed} only"
        )
    return _target(method, None, path, query)


def repeatability_of(
    document: ServiceDocument, target: Target
) -> Repeatability:
    """Return when a call without idempotency key may be sent again."""
    path = _SLASHES.sub("/", unquote(target.path))
    for route in document.non_idempotent:
        if route.method == target.method and path.startswith(route.path_prefix):
            return Repeatability.NEVER
    if document.kind is ServiceKind.MODEL:
        return Repeatability.IDEMPOTENT
    if target.method in _REPEATABLE_METHODS:
        return Repeatability.IDEMPOTENT
    return Repeatability.IF_NOT_RUN


def _target(method: str, service: str | None, path: str, query: str) -> Target:
    # Upstreams resolve dot segments in different ways, so a path with dot
    # segments could reach a non-idempotent route without matching its prefix.
    if any(part in (".", "..") for part in unquote(path).split("/")):
        raise RequestRefusedError(
            400, "bad_path", "the path must not have dot segments"
        )
    return Target(method, service, path, f"{path}?{query}" if query else path)
