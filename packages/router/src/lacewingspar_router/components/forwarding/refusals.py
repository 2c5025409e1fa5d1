"""Refusals of the forwarding component."""

from http import HTTPStatus

from lacewingspar_core.pool_admission import REASON_OVERLOADED
from lacewingspar_router.components.forwarding import const
from lacewingspar_router.errors import RequestRefusedError, RunState

# Code of the pools for more demand than upstreams.
OVERLOADED = REASON_OVERLOADED
_NOT_READY = "not_ready"
_ROUTER_OVERLOADED = "router_overloaded"
_STOPPING = "stopping"
# Refusals by which a router leaves a request to others.
_CODES_OF_ROUTERS = (_NOT_READY, _ROUTER_OVERLOADED, _STOPPING)


def is_of_router(status: int, body: bytes) -> bool:
    """Return whether an answer is the refusal of a router without room.

    Args:
        status: Status of the answer.
        body: Its body, which begins with the code of a refusal.
    """
    return (
        status == HTTPStatus.SERVICE_UNAVAILABLE
        and code_of(body) in _CODES_OF_ROUTERS
    )


def not_ready() -> RequestRefusedError:
    """Return the refusal of a router that knows no configuration yet."""
    return RequestRefusedError(
        503,
        _NOT_READY,
        "this router has no configuration yet",
        retry_after_seconds=const.NOT_READY_RETRY_SECONDS,
    )


def unknown_route() -> RequestRefusedError:
    """Return the refusal of a path without a route."""
    return RequestRefusedError(404, "unknown_route", "no route has this path")


def unknown_key() -> RequestRefusedError:
    """Return the refusal of a caller without a valid key."""
    return RequestRefusedError(401, "unknown_key", "the key is not valid")


def bad_target() -> RequestRefusedError:
    """Return the refusal of a request target that is not a path."""
    return RequestRefusedError(
        400, "bad_target", "the request target must be an absolute path"
    )


def quarantined(seconds: float) -> RequestRefusedError:
    """Return the refusal of a request that has crashed upstreams."""
    return RequestRefusedError(
        503,
        "quarantined",
        "the request has crashed upstreams",
        retry_after_seconds=seconds,
    )


def router_overloaded(seconds: float) -> RequestRefusedError:
    """Return the refusal of a router whose processor is used up."""
    return RequestRefusedError(
        503,
        _ROUTER_OVERLOADED,
        "this router has more requests than it can forward",
        retry_after_seconds=seconds,
    )


def recently_declined(seconds: float) -> RequestRefusedError:
    """Return the refusal of a request that the pool would decline again."""
    return RequestRefusedError(
        503,
        "recently_declined",
        "requests of this workspace and route were declined a moment ago",
        retry_after_seconds=seconds,
    )


def code_of(body: bytes) -> str:
    """Return the code of a refusal, with which its body begins."""
    return body.partition(b":")[0].decode("latin-1")


def deadline_passed(*, may_have_run: bool) -> RequestRefusedError:
    """Return the answer to a request whose time is over."""
    if may_have_run:
        return RequestRefusedError(
            504,
            "deadline_passed",
            "the upstream has not answered in time",
            run=RunState.UNKNOWN,
        )
    return RequestRefusedError(
        503,
        "deadline_passed",
        "no upstream was free in time",
        retry_after_seconds=const.NOT_READY_RETRY_SECONDS,
    )


def attempts_failed(reason: str, *, may_have_run: bool) -> RequestRefusedError:
    """Return the answer to a request that no upstream has served."""
    if may_have_run:
        return RequestRefusedError(
            502, reason, "the upstream has failed", run=RunState.UNKNOWN
        )
    return RequestRefusedError(
        503,
        reason,
        "no upstream has run the request",
        retry_after_seconds=const.NOT_READY_RETRY_SECONDS,
    )


def stopping() -> RequestRefusedError:
    """Return the refusal of a router that is about to stop."""
    return RequestRefusedError(
        503,
        _STOPPING,
        "this router is shutting down",
        retry_after_seconds=const.NOT_READY_RETRY_SECONDS,
    )
