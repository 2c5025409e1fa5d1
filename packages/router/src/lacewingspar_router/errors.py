"""Errors of the router daemon."""

from enum import StrEnum


class RouterError(Exception):
    """Base class of all errors raised by the router package."""


class SettingsError(RouterError):
    """The settings file is unreadable or invalid."""


class ComponentNotReadyError(RouterError):
    """A component cannot be set up yet; set-up is tried again."""


class ComponentSetupError(RouterError):
    """A component cannot be set up at all."""


class RunState(StrEnum):
    """What is known about the run of a request."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RequestRefusedError(RouterError):
    """A request gets its final answer without a complete upstream answer.

    Attributes:
        status: HTTP status code.
        code: Machine-readable reason.
        message: Reason for people.
        run: What is known about the run of the request.
        retry_after_seconds: When to come back, or None if a repeat of the
            same request cannot succeed.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        *,
        run: RunState = RunState.NOT_RUN,
        retry_after_seconds: float | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.run = run
        self.retry_after_seconds = retry_after_seconds
