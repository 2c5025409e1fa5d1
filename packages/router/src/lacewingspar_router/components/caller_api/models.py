"""Interface of the caller API component."""

from typing import Any, Protocol

from lacewingspar_router.application import ComponentKey


class CallerApi(Protocol):
    """Requests of callers at this router."""

    @property
    def in_flight_count(self) -> int:
        """Return the number of requests that have no complete answer yet."""

    def request_path(self, request_id: str) -> dict[str, Any] | None:
        """Return the path of a recent request as JSON values."""

    async def async_abort_requests(self) -> int:
        """End all requests in flight, log each and return their number."""


CALLER_API: ComponentKey[CallerApi] = ComponentKey("caller_api")
