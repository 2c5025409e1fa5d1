"""Acquisition of slots with regard to the quarantine."""

import asyncio

from lacewingspar_router.application import Application
from lacewingspar_router.components.caller_api.const import (
    SUSPECT_RECHECK_SECONDS,
)
from lacewingspar_router.components.caller_api.refusals import (
    prompt_quarantined,
    quarantined,
    suspect_deadline_passed,
)
from lacewingspar_router.components.caller_api.requests import CallerRequest
from lacewingspar_router.components.caller_api.retrying import (
    Attempts,
    available_upstreams,
)
from lacewingspar_router.components.caller_api.slot_use import SlotUse
from lacewingspar_router.components.quarantine.errors import (
    NoUpstreamForSuspectError,
)
from lacewingspar_router.components.quarantine.models import (
    QUARANTINE,
    RequestIdentity,
)
from lacewingspar_router.components.scheduler.models import (
    SCHEDULER,
    SlotGrant,
    SlotRequest,
)
from lacewingspar_router.components.upstreams.models import UPSTREAMS


class SlotAcquirer:
    """Acquires slots for requests and isolates suspect requests.

    Args:
        application: The application that holds the other components.
    """

    def __init__(self, application: Application) -> None:
        self._quarantine = application.get(QUARANTINE)
        self._scheduler = application.get(SCHEDULER)
        self._upstreams = application.get(UPSTREAMS)
        self._limit_by_identity: dict[RequestIdentity, asyncio.Timeout] = {}
        self._quarantine.add_listener(self._end_quarantined_waits)

    def check(self, identity: RequestIdentity) -> None:
        """Check that a request is not in quarantine.

        Raises:
            RequestRefusedError: The request is in quarantine.
        """
        seconds = self._quarantine.remaining_quarantine_seconds(identity)
        if seconds > 0:
            raise quarantined(seconds)
        refusal = self._quarantine.prompt_refusal(identity)
        if refusal is not None:
            raise prompt_quarantined(refusal)

    async def async_acquire(
        self,
        request: CallerRequest,
        identity: RequestIdentity,
        attempts: Attempts,
        deadline_at: float,
    ) -> SlotUse:
        """Wait for a slot of an upstream that the request may use.

        Raises:
            RequestRefusedError: The request is refused; it was not sent.
        """
        await self._quarantine.async_wait_for_crash_checks(identity)
        while True:
            self.check(identity)
            grant = await self._async_grant(
                request, identity, attempts, deadline_at
            )
            if grant is None:
                continue
            use = SlotUse(self._scheduler, grant)
            try:
                # The request may have entered the quarantine during the wait.
                self.check(identity)
                use.run = await self._quarantine.async_begin(
                    identity, grant.upstream_id
                )
            finally:
                if use.run is None:
                    use.cancel()
            if use.run is not None:
                return use

    async def _async_grant(
        self,
        request: CallerRequest,
        identity: RequestIdentity,
        attempts: Attempts,
        deadline_at: float,
    ) -> SlotGrant | None:
        """Wait for a slot; return None if the request must be checked again."""
        excluded = frozenset(attempts.failed_upstreams)
        limit_seconds = None
        if self._quarantine.is_suspect(identity):
            excluded |= await self._async_busy_upstreams(
                request, identity, excluded, deadline_at
            )
            # Other upstreams may become free of suspects during the wait.
            limit_seconds = SUSPECT_RECHECK_SECONDS
        try:
            async with asyncio.timeout(limit_seconds) as limit:
                self._limit_by_identity[identity] = limit
                return await self._scheduler.async_acquire(
                    _slot_request(request, excluded, deadline_at)
                )
        except TimeoutError:
            return None
        finally:
            del self._limit_by_identity[identity]

    async def _async_busy_upstreams(
        self,
        request: CallerRequest,
        identity: RequestIdentity,
        failed: frozenset[str],
        deadline_at: float,
    ) -> frozenset[str]:
        """Wait until a suspect may run and return the excluded upstreams."""

        def usable() -> frozenset[str]:
            return available_upstreams(request, self._upstreams) - failed

        try:
            return await self._quarantine.async_wait_for_free_upstream(
                identity, usable, deadline_at
            )
        except NoUpstreamForSuspectError as error:
            raise suspect_deadline_passed() from error

    def _end_quarantined_waits(self) -> None:
        """End the slot waits of requests that are now in quarantine."""
        now = asyncio.get_running_loop().time()
        for identity, limit in self._limit_by_identity.items():
            is_refused = (
                self._quarantine.remaining_quarantine_seconds(identity) > 0
                or self._quarantine.prompt_refusal(identity) is not None
            )
            # An expired timeout cannot be rescheduled.
            if is_refused and not limit.expired():
                limit.reschedule(now)


def _slot_request(
    request: CallerRequest, excluded: frozenset[str], deadline_at: float
) -> SlotRequest:
    return SlotRequest(
        request_id=request.request_id,
        service=request.document.service,
        workspace=request.workspace.name,
        model=request.model,
        request_class=request.request_class,
        arrived_at=request.arrived_at,
        deadline_at=deadline_at,
        excluded_upstreams=excluded,
    )
