"""Refusals of the forwarding component."""

from lacewingspar_router.components.forwarding import const
from lacewingspar_router.errors import RequestRefusedError, RunState


def not_ready() -> RequestRefusedError:
    """Return the refusal of a router that knows no configuration yet."""
    return RequestRefusedError(
        503,
        "not_ready",
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
        "router_overloaded",
        "this router has more requests than it can forward",
        retry_after_seconds=seconds,
    )


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
        "stopping",
        "this router is shutting down",
        retry_after_seconds=const.NOT_READY_RETRY_SECONDS,
    )
