"""Waits of streams whose continuation was declined."""

import asyncio

import structlog

from lacewingspar_core.continuation_pacing import ContinuationPacer
from lacewingspar_core.pool_admission import (
    REASON_NO_UPSTREAM,
    REASON_OVERLOADED,
)
from lacewingspar_router.application import Application
from lacewingspar_router.components.forwarding import const
from lacewingspar_router.components.forwarding.request_recorder import (
    CallProgress,
)
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.errors import RequestRefusedError

_LOGGER = structlog.get_logger(__name__)

# Refusals that may be over a moment later.
_PASSING_REFUSALS = frozenset({REASON_NO_UPSTREAM, REASON_OVERLOADED})


class Continuations:
    """Decides when a pool is asked again to let a started stream go on.

    Args:
        app: The application.
    """

    def __init__(self, app: Application) -> None:
        self._app = app
        self._peers = app.get(PEERS)
        self._telemetry = app.get(TELEMETRY)
        self._pacer_by_service: dict[str, ContinuationPacer] = {}

    async def async_wait(
        self, progress: CallProgress, refusal: RequestRefusedError
    ) -> bool:
        """Wait until a pool may be asked again for the rest of a stream.

        Args:
            progress: The request and its state.
            refusal: Why its continuation was declined.

        Returns:
            Whether to ask again; otherwise the request ends.
        """
        is_started = progress.caller_response.exchange.is_started
        if not is_started or refusal.code not in _PASSING_REFUSALS:
            return False
        call = progress.call
        now = self._app.now()
        pacer = self._pacer_by_service.setdefault(
            call.service, ContinuationPacer()
        )
        time_left = call.deadline_at - now - const.MIN_RETRY_TIME_LEFT_SECONDS
        seconds = pacer.try_schedule(
            progress.asked_again,
            time_left,
            len(self._peers.alive_by_router_id),
            now,
        )
        self._telemetry.count(
            "declined_continuations_total",
            service=call.service,
            outcome="given_up" if seconds is None else "asked_again",
        )
        if seconds is None:
            return False
        _LOGGER.info(
            "continuation declined; asking again",
            request_id=call.metadata.request_id,
            service=call.service,
            reason=refusal.code,
            asked=progress.asked_again,
            wait_ms=round(seconds * 1000),
        )
        progress.asked_again += 1
        await asyncio.sleep(seconds)
        return True
