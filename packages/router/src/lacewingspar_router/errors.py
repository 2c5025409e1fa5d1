"""Errors of the router daemon."""

from enum import StrEnum


class RouterError(Exception):
    """Base class of all errors raised by the router package."""


class SettingsError(RouterError):
    """The settings file is unreadable or invalid."""


class ComponentNotReadyError(RouterError):
    """A component cannot be set up yet; set-up is retried."""


class ComponentSetupError(RouterError):
    """A component cannot be set up; set-up is not retried."""


class RunState(StrEnum):
    """Whether an upstream has run a request."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RequestRefusedError(RouterError):
    """A request ends without a complete response of an upstream.

    Attributes:
        status: HTTP status code.
        code: Machine-readable reason.
        message: Human-readable reason.
        run: Whether an upstream has run the request.
        retry_after_seconds: Delay before a retry, or None if a retry of the
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
