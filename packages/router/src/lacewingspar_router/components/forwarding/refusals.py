"""Refusals and failures that the router reports to callers."""

from http import HTTPStatus

from lacewingspar_core.pool_admission import REASON_OVERLOADED
from lacewingspar_core.prompt_quarantine import (
    PartRefusal,
)
from lacewingspar_router.components.forwarding import const
from lacewingspar_router.errors import RequestRefusedError, RunState

# Code of requests that failed because of an error that nobody expects.
INTERNAL_ERROR = "internal_error"
# Code of requests that a pool declined because of overload.
OVERLOADED = REASON_OVERLOADED
_NOT_READY = "not_ready"
_ROUTER_OVERLOADED = "router_overloaded"
_STOPPING = "stopping"
_OUTDATED = "outdated"
_NO_BODY_MEMORY = "no_body_memory"
# Codes of refusals after which another router can serve the request.
_ROUTER_REFUSAL_CODES = (
    _NOT_READY,
    _ROUTER_OVERLOADED,
    _STOPPING,
    _OUTDATED,
    _NO_BODY_MEMORY,
)


def is_router_refusal(status: int, body: bytes) -> bool:
    """Return whether a router refused a request that others can serve.

    Args:
        status: Status of the response.
        body: Body of the response; that of a refusal starts with its code.
    """
    return (
        status == HTTPStatus.SERVICE_UNAVAILABLE
        and refusal_code(body) in _ROUTER_REFUSAL_CODES
    )


def not_ready() -> RequestRefusedError:
    """Return the refusal of a router that has no configuration yet."""
    return RequestRefusedError(
        503,
        _NOT_READY,
        "this router has no configuration yet",
        retry_after_seconds=const.DEFAULT_RETRY_AFTER_SECONDS,
    )


def outdated() -> RequestRefusedError:
    """Return the refusal of a request accepted by a newer configuration."""
    return RequestRefusedError(
        503,
        _OUTDATED,
        "this router has not received the newest configuration yet",
        retry_after_seconds=const.DEFAULT_RETRY_AFTER_SECONDS,
    )


def unknown_route() -> RequestRefusedError:
    """Return the refusal of a path without a route."""
    return RequestRefusedError(
        404, "unknown_route", "no route matches this host and path"
    )


def unknown_key() -> RequestRefusedError:
    """Return the refusal of a caller without a valid key."""
    return RequestRefusedError(401, "unknown_key", "the key is invalid")


def bad_target() -> RequestRefusedError:
    """Return the refusal of a request target that is not a path."""
    return RequestRefusedError(
        400, "bad_target", "the request target must be an absolute path"
    )


def internal_error() -> RequestRefusedError:
    """Return the failure of a request because of a fault of this router."""
    return RequestRefusedError(
        500,
        INTERNAL_ERROR,
        "this router failed to handle the request",
        run=RunState.UNKNOWN,
    )


def bad_header(name: str, reason: str) -> RequestRefusedError:
    """Return the refusal of a request with a header that is invalid."""
    return RequestRefusedError(400, "bad_header", f"{name}: {reason}")


def quarantined(seconds: float) -> RequestRefusedError:
    """Return the refusal of a request that has crashed upstreams."""
    return RequestRefusedError(
        503,
        "quarantined",
        "the request has crashed upstreams",
        retry_after_seconds=seconds,
    )


def prompt_quarantined(refusal: PartRefusal) -> RequestRefusedError:
    """Return the refusal of a prompt with a part that has crashed upstreams."""
    return RequestRefusedError(
        503,
        "prompt_quarantined",
        f"part {refusal.part} of the prompt has crashed upstreams",
        retry_after_seconds=refusal.seconds,
    )


def router_overloaded(seconds: float) -> RequestRefusedError:
    """Return the refusal of a router that has reached its request limit."""
    return RequestRefusedError(
        503,
        _ROUTER_OVERLOADED,
        "this router has reached its limit of requests in flight",
        retry_after_seconds=seconds,
    )


def no_body_memory(seconds: float) -> RequestRefusedError:
    """Return the refusal of a request whose body finds no room."""
    return RequestRefusedError(
        503,
        _NO_BODY_MEMORY,
        "this router holds as many bytes of other bodies as it may",
        retry_after_seconds=seconds,
    )


def recently_declined(seconds: float) -> RequestRefusedError:
    """Return the refusal of a request like those a pool just declined."""
    return RequestRefusedError(
        503,
        "recently_declined",
        "the last request of this workspace on this route was just declined",
        retry_after_seconds=seconds,
    )


def refusal_code(body: bytes) -> str:
    """Return the code at the start of the body of a refusal."""
    return body.partition(b":")[0].decode("latin-1")


def deadline_passed(*, may_have_run: bool) -> RequestRefusedError:
    """Return the error for a request whose deadline passed."""
    if may_have_run:
        return RequestRefusedError(
            504,
            "deadline_passed",
            "the upstream did not respond in time",
            run=RunState.UNKNOWN,
        )
    return RequestRefusedError(
        503,
        "deadline_passed",
        "no upstream was free in time",
        retry_after_seconds=const.DEFAULT_RETRY_AFTER_SECONDS,
    )


def attempts_failed(reason: str, *, may_have_run: bool) -> RequestRefusedError:
    """Return the error for a request whose attempts all failed."""
    if may_have_run:
        return RequestRefusedError(
            502, reason, "the upstream failed", run=RunState.UNKNOWN
        )
    return RequestRefusedError(
        503,
        reason,
        "no upstream ran the request",
        retry_after_seconds=const.DEFAULT_RETRY_AFTER_SECONDS,
    )


def repeat_refused(refusal: RequestRefusedError) -> RequestRefusedError:
    """Return the error for a request that has failed and gets no repeat.

    Args:
        refusal: Why it is not sent again.
    """
    return RequestRefusedError(
        502,
        refusal.code,
        f"the upstream failed; {refusal.message}",
        retry_after_seconds=refusal.retry_after_seconds,
        run=RunState.UNKNOWN,
    )


def stopping() -> RequestRefusedError:
    """Return the refusal of a router that is shutting down."""
    return RequestRefusedError(
        503,
        _STOPPING,
        "this router is shutting down",
        retry_after_seconds=const.STOPPING_RETRY_AFTER_SECONDS,
    )


def stopped(*, may_have_run: bool) -> RequestRefusedError:
    """Return the error for a request that the shutdown has cut."""
    if may_have_run:
        return RequestRefusedError(
            502,
            _STOPPING,
            "this router shut down before the upstream responded",
            run=RunState.UNKNOWN,
        )
    return stopping()
