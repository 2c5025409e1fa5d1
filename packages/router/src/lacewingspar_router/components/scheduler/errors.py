"""Errors of the scheduler component."""

from lacewingspar_core.queueing import Refusal
from lacewingspar_router.errors import RequestRefusedError

_STATUS_AND_MESSAGE_BY_CODE = {
    "queue_full": (429, "the workspace's queue at this router is full"),
    "deadline_unreachable": (503, "the deadline cannot be met"),
    "deadline_passed": (504, "the deadline passed while waiting for a slot"),
    "unknown_service": (404, "the service does not exist"),
}


def refused_error(refusal: Refusal) -> RequestRefusedError:
    """Return the error of a request that the queue has refused."""
    status, message = _STATUS_AND_MESSAGE_BY_CODE[refusal.code]
    return RequestRefusedError(
        status,
        refusal.code,
        message,
        retry_after_seconds=refusal.retry_after_seconds,
    )
