"""Errors of the upstreams component."""

from lacewingspar_router.errors import RouterError, RunState


class UpstreamError(RouterError):
    """A call to an upstream failed.

    Attributes:
        run: `NOT_RUN` only if the upstream certainly did not start the call.
    """

    def __init__(self, message: str, *, run: RunState) -> None:
        super().__init__(message)
        self.run = run


class UpstreamConnectError(UpstreamError):
    """No connection could be opened; the call was not sent."""


class UpstreamRefusedError(UpstreamError):
    """The upstream refused the call before running it."""


class UpstreamBrokenError(UpstreamError):
    """The connection broke or timed out, or the response was incomplete."""


class UpstreamMismatchError(UpstreamError):
    """The response has the id of another request."""


class UpstreamInvalidCallError(UpstreamError):
    """The call is not valid HTTP/1.1; it was not sent."""
