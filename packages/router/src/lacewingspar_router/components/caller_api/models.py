"""Interface of the caller API component."""

from typing import Any, Protocol

from lacewingspar_router.application import ComponentKey


class CallerApi(Protocol):
    """Access to the requests of callers at this router."""

    @property
    def in_flight_count(self) -> int:
        """Return the number of requests without a complete response."""

    def request_path(self, request_id: str) -> dict[str, Any] | None:
        """Return the progress of a recent request as JSON, if retained."""

    async def async_abort_requests(self) -> int:
        """Cancel and log all requests in flight and return their number."""


CALLER_API: ComponentKey[CallerApi] = ComponentKey("caller_api")
