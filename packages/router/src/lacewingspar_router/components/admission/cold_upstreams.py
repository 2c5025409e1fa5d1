"""Limits on the requests of this router to cold upstreams."""

import structlog

from lacewingspar_core.admission_messages import UpstreamsCold
from lacewingspar_core.cold_pacing import (
    LAST_OWNER_RANK,
    SEND_PERMIT_SECONDS,
    ColdLimit,
    ColdPace,
    ColdUpstreams,
    FleetView,
    cold_limit,
)
from lacewingspar_core.pools import Pool
from lacewingspar_router.application import Application
from lacewingspar_router.components.admission.models import Grant
from lacewingspar_router.components.admission.pools import OwnerSelector
from lacewingspar_router.components.peers.models import PEERS, ReceivedMessage
from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.hand_over_tokens import HAND_OVER_TOKENS

_LOGGER = structlog.get_logger(__name__)


class ColdUpstreamLimits:
    """Limits for the pools that this router owns, and for its own sends.

    Args:
        app: The application.
        owner_selector: Tells whether this router should own a pool.
    """

    def __init__(self, app: Application, owner_selector: OwnerSelector) -> None:
        self._owner_selector = owner_selector
        assert app.settings.platform is not None
        self._app = app
        self._settings = app.settings.platform
        self._routing = app.get(ROUTING)
        self._peers = app.get(PEERS)
        self._telemetry = app.get(TELEMETRY)
        self._seed_count = len(set(self._settings.seed_hosts))
        self.upstreams = ColdUpstreams()
        self._fleet = FleetView()
        self._pace_by_id: dict[str, ColdPace] = {}
        self._permitted_at_by_number: dict[int, float] = {}
        self._logged_cold: frozenset[str] = frozenset()
        self._peers.subscribe(UpstreamsCold, self._on_news)

    @property
    def is_enabled(self) -> bool:
        """Return whether cold upstreams may be limited."""
        return self._settings.cold_rate_factor is not None

    def owner_limit(self, pool: Pool) -> ColdLimit | None:
        """Return the limit for grants to cold upstreams, or None."""
        if self._limit(pool.service) is None:
            return None
        rank = self._owner_selector.own_rank(pool, LAST_OWNER_RANK)
        limit = self._limit(pool.service, rank)
        if limit is None:
            return None
        return limit.scaled(self._fleet.share(self._app.now()))

    def refresh(self) -> bool:
        """Apply the known entries and routers; return whether limits changed.

        Must be called at least ten times a second.
        """
        if not self.is_enabled:
            return False
        now = self._app.now()
        entry_by_id = self._routing.directory.entry_by_id
        self.upstreams.observe(entry_by_id, now)
        for upstream_id in self._pace_by_id.keys() - entry_by_id.keys():
            del self._pace_by_id[upstream_id]
        self._tell_peers(now)
        self._report_cold(now)
        share = self._fleet.share(now)
        registered = self._app.get(HAND_OVER_TOKENS).registered_count
        self._fleet.expect(max(registered, self._seed_count), now)
        self._fleet.record(len(self._peers.alive_by_router_id), now)
        return self._fleet.share(now) != share

    def try_send(self, grant: Grant) -> bool:
        """Return whether a granted request may be sent at once.

        A request that is sent long after it was permitted needs permission
        again, as the requests of that time may be sent together.
        """
        limit = self._limit(grant.service)
        if limit is None:
            return True
        now = self._app.now()
        permitted_at = self._permitted_at_by_number.get(grant.number)
        if (
            permitted_at is not None
            and now - permitted_at <= SEND_PERMIT_SECONDS
        ):
            return True
        limit = limit.for_sending
        pace = self._pace_by_id.setdefault(grant.upstream_id, ColdPace())
        state = self.upstreams.state(grant.upstream_id)
        if state.is_cold(now) and pace.wait_seconds(limit, now):
            self._telemetry.count(
                "cold_sends_withheld_total", service=grant.service
            )
            return False
        pace.record(limit, now)
        self._permitted_at_by_number[grant.number] = now
        return True

    def record_response(self, grant: Grant) -> None:
        """Record that an upstream responded to a request of this router."""
        limit = self._limit(grant.service)
        permitted_at = self._permitted_at_by_number.get(grant.number)
        if limit is not None and permitted_at is not None:
            self.upstreams.state(grant.upstream_id).record_response(
                limit, permitted_at, self._app.now()
            )

    def end(self, grant: Grant, *, is_unreachable: bool) -> None:
        """Record the end of a run, and whether its upstream was unreachable."""
        self._permitted_at_by_number.pop(grant.number, None)
        if is_unreachable and self._limit(grant.service) is not None:
            state = self.upstreams.state(grant.upstream_id)
            state.record_lost(self._app.now())

    def _limit(self, service: str, owner_rank: int = 0) -> ColdLimit | None:
        configuration = self._routing.configuration
        if configuration is None or not self.is_enabled:
            return None
        known = configuration.service_by_name.get(service)
        if known is None:
            return None
        return cold_limit(
            known,
            self._settings.cold_rate_factor,
            self._settings.cold_rate_allowance,
            owner_rank,
        )

    def _tell_peers(self, now: float) -> None:
        """Tell all routers of lost upstreams, any of which may own a pool."""
        news = self.upstreams.pop_news(now)
        if news is None:
            return
        for router_id in self._peers.alive_by_router_id:
            if router_id != self._app.instance.router_id:
                self._peers.send(router_id, news)

    def _on_news(self, received: ReceivedMessage) -> None:
        message = received.message
        assert isinstance(message, UpstreamsCold)
        if self.is_enabled:
            self.upstreams.apply_news(message, self._app.now())

    def _report_cold(self, now: float) -> None:
        """Set the gauge of cold upstreams, and log when they change."""
        cold = frozenset(
            upstream_id
            for upstream_id, entry in (
                self._routing.directory.entry_by_id.items()
            )
            if self.upstreams.state(upstream_id).is_cold(now)
            and self._limit(entry.service) is not None
        )
        if cold == self._logged_cold:
            return
        self._telemetry.gauge("cold_upstreams", len(cold))
        _LOGGER.info(
            "cold upstreams changed",
            became_cold=sorted(cold - self._logged_cold),
            became_warm=sorted(self._logged_cold - cold),
            cold=len(cold),
            fleet_share=round(self._fleet.share(now), 2),
            directory_age_seconds=self._routing.directory_age_seconds,
        )
        self._logged_cold = cold
