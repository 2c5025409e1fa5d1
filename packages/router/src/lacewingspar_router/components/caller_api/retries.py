"""Decision whether a failed attempt is repeated."""

from enum import StrEnum

from lacewingspar_router.errors import RunState


class Repeatability(StrEnum):
    """When a request may be sent again."""

    IDEMPOTENT = "idempotent"
    IF_NOT_RUN = "if_not_run"
    NEVER = "never"


def may_retry(
    repeatability: Repeatability,
    run: RunState,
    *,
    attempts_made: int,
    attempts_allowed: int,
) -> bool:
    """Return whether a request may be sent to another upstream.

    Args:
        repeatability: What the request allows.
        run: What is known about the run of the failed attempt.
        attempts_made: Attempts so far, the failed one included.
        attempts_allowed: Largest number of attempts.
    """
    if attempts_made >= attempts_allowed:
        return False
    match repeatability:
        case Repeatability.IDEMPOTENT:
            return True
        case Repeatability.IF_NOT_RUN:
            return run is RunState.NOT_RUN
        case Repeatability.NEVER:
            return False
