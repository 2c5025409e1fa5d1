"""Sample documents and requests in the format of the users' platform."""

from typing import Any

KEY = "key-of-alpha"
HOST = "calls.example"
SLOTS = 8
LIMITS: dict[str, Any] = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 100_000,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
    "tokensPerS": 150_000,
}


def route(prefix: str, kind: str, service: str, **changes: Any) -> Any:
    """Return a route of a configuration.

    Args:
        prefix: Path prefix.
        kind: Kind of the calls, such as `streaming`.
        service: Name of the service.
        **changes: Fields that replace the defaults.
    """
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": 3000,
        "targetLatencyMs": 300,
        "priority": 1,
        "maxAttempts": 2,
        "public": False,
        "resumable": False,
        "gapAimMs": 300,
    } | changes


def manifest(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with two services and one workspace.

    Args:
        version: Version of the configuration.
        **changes: Fields that replace the defaults.
    """
    engine = {
        "slots": SLOTS,
        "kvTokens": 100_000,
        "kvBytes": 1000,
        "linkMbps": 1000.0,
    }
    return {
        "version": version,
        "routes": [
            route("/stream/", "streaming", "engines", resumable=True),
            route("/stream-once/", "streaming", "engines"),
            route("/read/", "idempotent", "plain"),
            route("/write/", "non_idempotent", "plain"),
            route("/open/", "idempotent", "plain", public=True),
        ],
        "services": [
            {"name": "engines", "maxConnections": 100, "engine": engine},
            {"name": "plain", "maxConnections": 100},
        ],
        "limits": LIMITS,
        "tenants": [{"name": "alpha", "apiKeys": [KEY]}],
    } | changes


def upstream_entry(
    service: str, address: str, sequence: int, **changes: Any
) -> dict[str, Any]:
    """Return the record that an upstream publishes about itself."""
    return {
        "service": service,
        "address": address,
        "zone": "dc-a",
        "version": "v1",
        "slots": SLOTS,
        "state": "ready",
        "sequence": sequence,
        "born": 1,
        "coldRemainingMs": 0,
    } | changes


def request_bytes(
    path: str,
    request_id: str,
    deadline_ms: int,
    body: bytes = b"",
    *,
    method: str = "POST",
    key: str | None = KEY,
    host: str = HOST,
    **headers: str,
) -> bytes:
    """Return the bytes of a caller's request.

    Args:
        path: Path.
        request_id: Id of the request.
        deadline_ms: Time budget of the caller for the complete response.
        body: Body.
        method: Method.
        key: API key of the workspace, or None to send none.
        host: Host of the route.
        **headers: Further headers; `_` in a name becomes `-`.
    """
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"X-Attempt-Id: {request_id}",
        f"X-Time-Budget-Ms: {deadline_ms}",
        f"Content-Length: {len(body)}",
    ]
    if key is not None:
        lines.append(f"Authorization: Token {key}")
    lines += [f"{n.replace('_', '-')}: {v}" for n, v in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
