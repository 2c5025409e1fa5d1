"""Owner role: decides on the requests to pools that this router owns."""

from collections.abc import Callable

import structlog

from lacewingspar_core.admission_events import (
    Admission,
    AdmissionDecision,
    AdmissionKey,
    RunOutcome,
)
from lacewingspar_core.admission_messages import (
    AdmissionRequest,
    PromptsCached,
    RunEnded,
    RunReport,
    RunStarted,
    UpstreamLoadReport,
)
from lacewingspar_core.data_centre_shares import MeanLeavingShare
from lacewingspar_core.directory import UpstreamEntry
from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.pool_admission import PoolAdmission
from lacewingspar_core.pools import ALL_DATA_CENTRES, Pool, pool_members
from lacewingspar_core.reported_load import LoadReport
from lacewingspar_core.upstream_load import ActiveRun
from lacewingspar_router.application import Application
from lacewingspar_router.components.admission.cold_upstreams import (
    ColdUpstreamLimits,
)
from lacewingspar_router.components.admission.messages import decode_request
from lacewingspar_router.components.admission.pools import share_adaptation
from lacewingspar_router.components.peers.models import PEERS, ReceivedMessage
from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_router.components.telemetry.models import TELEMETRY

_LOGGER = structlog.get_logger(__name__)

DeliverDecision = Callable[[Pool, AdmissionDecision], None]


class OwnedPools:
    """Admission state of all pools for which this router receives requests.

    The state of a pool is created by its first message. It is kept when this
    router no longer owns the pool, which is harmless.

    Args:
        app: The application.
        deliver: Called with the pool and each decision.
        cold_limits: Limits on the requests to cold upstreams.
    """

    def __init__(
        self,
        app: Application,
        deliver: DeliverDecision,
        cold_limits: ColdUpstreamLimits,
    ) -> None:
        self._app = app
        self._cold_limits = cold_limits
        self._deliver_decision = deliver
        self._routing = app.get(ROUTING)
        self._peers = app.get(PEERS)
        self._telemetry = app.get(TELEMETRY)
        self._admission_by_pool: dict[Pool, PoolAdmission] = {}
        self._leaving_share_by_pool: dict[Pool, MeanLeavingShare] = {}
        self._known_instances: set[RouterInstance] = set()
        self._peers.subscribe(AdmissionRequest, self._on_request)
        self._peers.subscribe(RunStarted, self._on_started)
        self._peers.subscribe(RunEnded, self._on_ended)
        self._peers.subscribe(RunReport, self._on_report)
        self._peers.subscribe(PromptsCached, self._on_prompts_cached)
        self._peers.add_listener(self._on_peers_changed)
        self._routing.add_listener(self._on_routing_changed)

    def mean_leaving_share(self, pool: Pool) -> float:
        """Return the mean leaving share of the routers near a pool."""
        mean = self._leaving_share_by_pool.get(pool)
        return 0.0 if mean is None else mean.value

    def submit(
        self, pool: Pool, admission: Admission, leaving_share: float
    ) -> None:
        """Submit an admission request for a decision.

        Args:
            pool: Pool of the request.
            admission: The request.
            leaving_share: Share of the requests of its ingress router that
                leave the data centre.
        """
        if admission.data_centre == pool.data_centre:
            mean = self._leaving_share_by_pool.setdefault(
                pool, MeanLeavingShare(share_adaptation(self._app.settings))
            )
            mean.add(leaving_share)
        decisions = self._pool_admission(pool).submit(
            admission, self._app.now()
        )
        self._deliver_all(pool, decisions)

    def record_first_chunk(
        self,
        pool: Pool,
        key: AdmissionKey,
        load: UpstreamLoadReport | None = None,
    ) -> None:
        """Record that the first chunk of a response arrived.

        Args:
            pool: Pool of the run.
            key: Key of the admission request.
            load: Load that the upstream has reported, or None.
        """
        now = self._app.now()
        admission = self._pool_admission(pool)
        _record_load(admission, load, now)
        self._deliver_all(pool, admission.record_first_chunk(key, now))

    def end(
        self,
        pool: Pool,
        key: AdmissionKey,
        outcome: RunOutcome,
        unreachable: str,
        load: UpstreamLoadReport | None = None,
    ) -> None:
        """Record the end of a run.

        Args:
            pool: Pool of the run.
            key: Key of the admission request.
            outcome: How the run ended.
            unreachable: Upstream that accepted no connection, or "".
            load: Load that the upstream has reported, or None.
        """
        now = self._app.now()
        admission = self._pool_admission(pool)
        if unreachable:
            admission.record_unreachable(unreachable, now)
        _record_load(admission, load, now)
        self._deliver_all(pool, admission.end(key, outcome, now))

    def tick(self) -> None:
        """Decline requests that would miss their deadline; set the gauges."""
        now = self._app.now()
        if self._cold_limits.refresh():
            self._update_pools()
        for pool, admission in self._admission_by_pool.items():
            self._deliver_all(pool, admission.tick(now))
            labels = _labels(pool)
            self._telemetry.gauge("pool_waiting", admission.waiting, **labels)
            self._telemetry.gauge("pool_running", admission.running, **labels)

    def log_loads(self) -> None:
        """Log the load of each pool that has decided since the last call."""
        for pool, admission in self._admission_by_pool.items():
            granted, declined = (
                admission.granted.total,
                admission.declined.total,
            )
            if not granted and not declined:
                continue
            shared = admission.pop_shared_prompts()
            _LOGGER.info(
                "pool load",
                service=pool.service,
                pool_data_centre=pool.data_centre,
                shard=pool.shard,
                waiting=admission.waiting,
                running=admission.running,
                granted_cost=granted,
                granted_cost_by_workspace=admission.granted.pop_largest(),
                declined=declined,
                declined_by_workspace=admission.declined.pop_largest(),
                shared_tokens_cached=shared.cached,
                shared_tokens_copied=shared.copied,
                shared_tokens_prefilled=shared.prefilled,
            )
            self._log_balance(pool, admission, shared.cached_share)

    def _log_balance(
        self, pool: Pool, admission: PoolAdmission, cached_share: float
    ) -> None:
        """Log how even the load is, and why the last upstream was chosen.

        Args:
            pool: The pool.
            admission: Its admission state.
            cached_share: Share of the shared prompt tokens that were cached.
        """
        balance = admission.pop_balance()
        if balance is None:
            return
        for name, value in (
            ("pool_load_spread", balance.spread),
            ("pool_load_report_age_seconds", balance.mean_report_age_seconds),
            ("pool_cached_share", cached_share),
        ):
            self._telemetry.gauge(name, value, **_labels(pool))
        _LOGGER.info(
            "pool balance",
            service=pool.service,
            pool_data_centre=pool.data_centre,
            shard=pool.shard,
            spread=round(balance.spread, 2),
            max_slowdown=round(balance.max_slowdown, 2),
            choices=balance.choices,
            mean_report_age_seconds=round(balance.mean_report_age_seconds, 3),
            cached_share=round(cached_share, 2),
            leaving_share=round(self.mean_leaving_share(pool), 2),
            last_choice=balance.last_choice,
        )

    def pop_new_prompts(self) -> dict[Pool, dict[int, str]]:
        """Return the prompts that upstreams have taken into their caches.

        Returns:
            Upstream by the key of the last shared part, for each pool of one
            data centre.
        """
        new_by_pool = {
            pool: admission.pop_new_prompts()
            for pool, admission in self._admission_by_pool.items()
        }
        return {
            pool: new
            for pool, new in new_by_pool.items()
            if new and pool.data_centre != ALL_DATA_CENTRES
        }

    def _on_prompts_cached(self, received: ReceivedMessage) -> None:
        message = received.message
        assert isinstance(message, PromptsCached)
        upstream_by_part_key = {
            prompt.part_key: prompt.upstream_id for prompt in message.prompts
        }
        for pool, admission in self._admission_by_pool.items():
            if pool.service == message.service:
                admission.record_prompts_elsewhere(upstream_by_part_key)

    def _pool_admission(self, pool: Pool) -> PoolAdmission:
        admission = self._admission_by_pool.get(pool)
        if admission is None:
            admission = PoolAdmission(
                pool.name,
                has_other_pools=pool.data_centre != ALL_DATA_CENTRES,
                cold_upstreams=self._cold_limits.upstreams,
            )
            self._admission_by_pool[pool] = admission
            _LOGGER.info(
                "admission for pool started",
                service=pool.service,
                pool_data_centre=pool.data_centre,
                shard=pool.shard,
                upstreams=len(self._members(pool)),
                directory_age_seconds=self._routing.directory_age_seconds,
            )
            self._set_upstreams(pool, admission)
        return admission

    def _members(self, pool: Pool) -> dict[str, UpstreamEntry]:
        usable = self._routing.directory.ready_upstreams(pool.service)
        return pool_members(pool, usable)

    def _set_upstreams(self, pool: Pool, admission: PoolAdmission) -> None:
        configuration = self._routing.configuration
        if configuration is None:
            return
        service = configuration.service_by_name.get(pool.service)
        if service is None:
            return
        # The configured rate includes the engines of evacuated data centres.
        engines = self._routing.directory.ready_count(
            {
                name
                for name, item in configuration.service_by_name.items()
                if item.engine is not None
            }
        )
        rate = configuration.engine_tokens_per_second / max(1, engines)
        decisions = admission.set_upstreams(
            self._members(pool),
            service,
            rate,
            self._app.now(),
            self._cold_limits.owner_limit(pool),
        )
        self._deliver_all(pool, decisions)

    def _deliver_all(
        self, pool: Pool, decisions: list[AdmissionDecision]
    ) -> None:
        for decision in decisions:
            self._deliver_decision(pool, decision)

    def _on_routing_changed(self) -> None:
        self._cold_limits.refresh()
        self._update_pools()

    def _update_pools(self) -> None:
        for pool, admission in self._admission_by_pool.items():
            self._set_upstreams(pool, admission)

    def _on_peers_changed(self) -> None:
        instances = {
            record.life for record in self._peers.alive_by_router_id.values()
        }
        now = self._app.now()
        for instance in self._known_instances - instances:
            _LOGGER.warning(
                "peer router is no longer alive", router_id=instance.router_id
            )
            for pool, admission in self._admission_by_pool.items():
                self._deliver_all(
                    pool, admission.remove_ingress_router(instance, now)
                )
        for instance in instances - self._known_instances:
            _LOGGER.info("peer router discovered", router_id=instance.router_id)
        self._known_instances = instances
        if self._cold_limits.is_enabled:
            # The rank of this router among the owners may have changed.
            self._update_pools()

    def _on_request(self, received: ReceivedMessage) -> None:
        request = received.message
        assert isinstance(request, AdmissionRequest)
        if not self._routing.is_ready:
            # The ingress router times out and asks the next router.
            return
        admission = decode_request(
            received.sender, received.data_centre, request, self._app.now()
        )
        self.submit(
            Pool(request.service, request.data_centre, request.shard),
            admission,
            request.leaving_share,
        )

    def _on_started(self, received: ReceivedMessage) -> None:
        started = received.message
        assert isinstance(started, RunStarted)
        self.record_first_chunk(
            Pool(started.service, started.data_centre, started.shard),
            AdmissionKey(received.sender, started.number),
            started.load,
        )

    def _on_ended(self, received: ReceivedMessage) -> None:
        ended = received.message
        assert isinstance(ended, RunEnded)
        self.end(
            Pool(ended.service, ended.data_centre, ended.shard),
            AdmissionKey(received.sender, ended.number),
            RunOutcome(ended.outcome),
            ended.unreachable,
            ended.load,
        )

    def _on_report(self, received: ReceivedMessage) -> None:
        report = received.message
        assert isinstance(report, RunReport)
        self.reconcile(received.sender, report)

    def reconcile(
        self, ingress_router: RouterInstance, report: RunReport
    ) -> None:
        """Update the recorded runs of an ingress router to match its report."""
        now = self._app.now()
        runs = [
            ActiveRun(
                key=AdmissionKey(ingress_router, run.number),
                upstream_id=run.upstream_id,
                pending_prefill_tokens=run.pending_prefill_tokens,
                memory_tokens=run.memory_tokens,
                deadline_at=now + run.remaining_ms / 1000,
                granted_at=now,
            )
            for run in report.runs
        ]
        pool = Pool(report.service, report.data_centre, report.shard)
        decisions = self._pool_admission(pool).reconcile(
            ingress_router, runs, now
        )
        self._deliver_all(pool, decisions)


def _labels(pool: Pool) -> dict[str, str]:
    return {
        "service": pool.service,
        "data_centre": pool.data_centre,
        "shard": str(pool.shard),
    }


def _record_load(
    admission: PoolAdmission, load: UpstreamLoadReport | None, now: float
) -> None:
    """Record the load of an upstream that a message contains, if any."""
    if load is None:
        return
    report = LoadReport(
        load.running, load.waiting, load.slots, load.slowness_percent
    )
    admission.record_report(
        load.upstream_id, report, now - load.age_ms / 1000, now
    )
