"""Ingress role: requests admission from pool owners for callers' requests."""

import asyncio
import itertools
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace

import structlog

from lacewingspar_core.admission_events import (
    Admission,
    AdmissionDecision,
    AdmissionKey,
    Declined,
    Granted,
    Queued,
    RunOutcome,
)
from lacewingspar_core.admission_messages import CachedPrompt, PromptsCached
from lacewingspar_core.data_centre_shares import DataCentreShares
from lacewingspar_core.pool_admission import (
    REASON_NO_UPSTREAM,
    REASON_OVERLOADED,
)
from lacewingspar_core.pools import Pool
from lacewingspar_core.prompt_locations import PromptLocations
from lacewingspar_core.reported_load import LoadReport
from lacewingspar_router.application import Application
from lacewingspar_router.components.admission import const
from lacewingspar_router.components.admission.cold_upstreams import (
    ColdUpstreamLimits,
)
from lacewingspar_router.components.admission.granted_runs import (
    GrantedRun,
    GrantedRuns,
)
from lacewingspar_router.components.admission.messages import (
    DECISION_MESSAGES,
    decode_decision,
    encode_decision,
    milliseconds,
)
from lacewingspar_router.components.admission.models import (
    Grant,
    RequestRequirements,
)
from lacewingspar_router.components.admission.owner import OwnedPools
from lacewingspar_router.components.admission.pool_owners import PoolOwners
from lacewingspar_router.components.admission.pools import (
    OwnerSelector,
    PoolSelector,
    share_adaptation,
)
from lacewingspar_router.components.admission.send_check import SendCheck
from lacewingspar_router.components.peers.models import PEERS, ReceivedMessage
from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.errors import RequestRefusedError

_LOGGER = structlog.get_logger(__name__)


@dataclass(slots=True)
class _PendingRequest:
    """A request that waits for its final admission decision.

    Attributes:
        pool: Pool of the request.
        admission: The admission request.
        owner: Router that was asked.
        decisions: Decisions received from the owner, not yet processed.
    """

    pool: Pool
    admission: Admission
    owner: str
    decisions: asyncio.Queue[AdmissionDecision] = field(
        default_factory=asyncio.Queue
    )


class FleetAdmission:
    """Admits requests through the pool owners of the whole fleet.

    Args:
        app: The application.
    """

    def __init__(self, app: Application) -> None:
        self._app = app
        self._routing = app.get(ROUTING)
        self._peers = app.get(PEERS)
        self._telemetry = app.get(TELEMETRY)
        self._pool_selector = PoolSelector(
            self._routing,
            app.settings.data_centre,
            share_adaptation(app.settings),
        )
        self._owner_selector = OwnerSelector(app, self._pool_selector)
        self._cold_limits = ColdUpstreamLimits(app, self._owner_selector)
        self._owned_pools = OwnedPools(
            app, self._deliver_decision, self._cold_limits
        )
        self._pool_owners = PoolOwners(app, self._owned_pools)
        self._granted_runs = GrantedRuns(
            app, self._owner_selector, self._pool_owners
        )
        self._send_check = SendCheck(app, self._cold_limits)
        self._request_numbers = itertools.count(1)
        self._prompt_locations = PromptLocations()
        self._pending_by_number: dict[int, _PendingRequest] = {}
        for message_type in DECISION_MESSAGES:
            self._peers.subscribe(message_type, self._on_decision)

    async def async_acquire(
        self, requirements: RequestRequirements, excluded: frozenset[str]
    ) -> Grant:
        """Wait for an upstream; cancelling the call withdraws the request.

        Raises:
            RequestRefusedError: The owner declined the request; it was not
                sent to an upstream.
        """
        for _ in range(const.MAX_GRANTS):
            grant = await self._async_acquire_once(
                requirements, excluded | self._send_check.excluded()
            )
            if self._send_check.may_send(grant):
                return grant
            self._send_check.record_kept_back(grant, requirements)
            self.end(grant, RunOutcome.CANCELLED)
            excluded |= self._send_check.excluded_after(grant)
        raise self._send_check.refusal(requirements.service)

    async def _async_acquire_once(
        self, requirements: RequestRequirements, excluded: frozenset[str]
    ) -> Grant:
        """Wait for a grant; the upstream may have left in the meantime."""
        admission = self._build_admission(requirements, excluded)
        number = admission.key.number
        pool = self._select_pool(requirements, number)
        assert pool is not None
        declined_in: list[str] = []
        while True:
            pending = _PendingRequest(
                pool, admission, self._owner_selector.owner_to_ask(pool)
            )
            asked_at = self._app.now()
            decision = await self._async_request_decision(pending)
            match decision:
                case Granted():
                    waited = self._app.now() - asked_at
                    self._record_wait(pool, waited)
                    return self._record_grant(pending, decision, requirements)
                case Declined():
                    self._record_wait(pool, decision.wait_seconds)
                    declined_in.append(pool.data_centre)
                    other = self._other_pool(
                        requirements, number, decision, declined_in
                    )
                    if other is None:
                        raise self._refusal(pending, decision, requirements)
                    self._log_move(pending, decision, requirements, other)
                    pool = other
                case None:
                    self._withdraw(pending)
                    self._record_silent_owner(pending, requirements)
                    pool = self._select_pool(requirements, number) or pool
            # A late decision of the owner asked before names the old number.
            admission = replace(admission, key=self._next_key())

    def _next_key(self) -> AdmissionKey:
        return AdmissionKey(self._app.instance, next(self._request_numbers))

    def _select_pool(
        self,
        requirements: RequestRequirements,
        number: int,
        declined_in: Collection[str] = (),
    ) -> Pool | None:
        return self._pool_selector.pool_for(
            requirements.service,
            requirements.shared_parts,
            number,
            self._app.now(),
            declined_in,
        )

    def _record_wait(self, pool: Pool, seconds: float) -> None:
        self._pool_selector.shares(pool.service).record_wait(
            pool.data_centre, seconds, self._app.now()
        )

    def _other_pool(
        self,
        requirements: RequestRequirements,
        number: int,
        declined: Declined,
        declined_in: list[str],
    ) -> Pool | None:
        """Return the pool that may still admit a declined request.

        A request is declined once more at most, so that an overloaded fleet
        spends little on requests that it cannot serve.
        """
        if len(declined_in) > 1:
            return None
        pool = self._select_pool(requirements, number, declined_in)
        if pool is None or declined.reason == REASON_NO_UPSTREAM:
            return pool
        wait = self._pool_selector.shares(pool.service).mean_wait(
            pool.data_centre, self._app.now()
        )
        limit = const.OTHER_POOL_WAIT_FRACTION * declined.wait_seconds
        is_better = declined.reason == REASON_OVERLOADED and wait < limit
        return pool if is_better else None

    def _log_decision(
        self,
        event: str,
        pending: _PendingRequest,
        requirements: RequestRequirements,
        **fields: str | int,
    ) -> None:
        """Log a decision of a pool owner on a request."""
        _LOGGER.info(
            event,
            request_id=requirements.request_id,
            service=requirements.service,
            workspace=requirements.workspace,
            owner=pending.owner,
            pool_data_centre=pending.pool.data_centre,
            directory_age_ms=milliseconds(self._routing.directory_age_seconds),
            **fields,
        )

    def _log_move(
        self,
        pending: _PendingRequest,
        declined: Declined,
        requirements: RequestRequirements,
        other: Pool,
    ) -> None:
        self._telemetry.count(
            "declined_elsewhere_total",
            service=requirements.service,
            reason=declined.reason,
        )
        self._log_decision(
            "request declined; asking another data centre",
            pending,
            requirements,
            reason=declined.reason,
            expected_wait_ms=milliseconds(declined.wait_seconds),
            next_data_centre=other.data_centre,
        )

    def _record_silent_owner(
        self, pending: _PendingRequest, requirements: RequestRequirements
    ) -> None:
        """Leave out an owner, and its data centre if it is another one."""
        pool = pending.pool
        self._owner_selector.mark_unresponsive(pending.owner)
        self._pool_selector.shares(pool.service).exclude(
            pool.data_centre, self._app.now()
        )
        self._telemetry.count("silent_owners_total")
        _LOGGER.warning(
            "pool owner did not respond; asking the next one",
            request_id=requirements.request_id,
            owner=pending.owner,
            service=pool.service,
            pool_data_centre=pool.data_centre,
            shard=pool.shard,
        )

    def shares(self, service: str) -> DataCentreShares:
        """Return how requests of a service are divided among data centres."""
        return self._pool_selector.shares(service)

    def tick(self) -> None:
        """Decline requests of owned pools that would miss their deadline."""
        self._owned_pools.tick()
        for (
            pool,
            upstream_by_part_key,
        ) in self._owned_pools.pop_new_prompts().items():
            self._announce_prompts(pool, upstream_by_part_key)

    def _announce_prompts(
        self, pool: Pool, upstream_by_part_key: Mapping[int, str]
    ) -> None:
        """Tell the pools that may get the same prompts where these are."""
        prompts_by_owner: dict[str, list[CachedPrompt]] = {}
        for key, upstream_id in upstream_by_part_key.items():
            for other in self._pool_selector.pools_elsewhere(pool, str(key)):
                prompts_by_owner.setdefault(
                    self._owner_selector.current_owner(other), []
                ).append(CachedPrompt(key, upstream_id))
        for owner, prompts in prompts_by_owner.items():
            self._peers.send(owner, PromptsCached(pool.service, tuple(prompts)))

    def log_pool_loads(self) -> None:
        """Log the load of each owned pool, and where requests go."""
        self._owned_pools.log_loads()
        now = self._app.now()
        for service, shares in self._pool_selector.shares_by_service.items():
            if shares.leaving_share < const.MIN_LOGGED_LEAVING_SHARE:
                continue
            _LOGGER.info(
                "requests leave the data centre",
                service=service,
                leaving_share=round(shares.leaving_share, 2),
                mean_wait_ms_by_data_centre={
                    name: milliseconds(seconds)
                    for name, seconds in shares.mean_waits(now).items()
                },
            )

    def may_send(self, grant: Grant) -> bool:
        """Return whether the upstream of a grant still takes the request."""
        return self._send_check.may_send(grant)

    def record_load(self, grant: Grant, load: LoadReport) -> None:
        """Keep the load in a response for the next report to the owner."""
        self._granted_runs.record_load(grant, load)

    def record_first_chunk(self, grant: Grant) -> None:
        """Report to the owner that the first chunk of the response arrived."""
        self._granted_runs.record_first_chunk(grant)
        self._cold_limits.record_response(grant)
        self._send_check.record_response(grant)

    def end(
        self,
        grant: Grant,
        outcome: RunOutcome,
        *,
        is_unreachable: bool = False,
    ) -> None:
        """Report the end of a run to its owner; repeats have no effect."""
        self._granted_runs.end(grant, outcome, is_unreachable=is_unreachable)
        if outcome is not RunOutcome.CANCELLED:
            self._send_check.record_response(grant)
        if outcome is RunOutcome.COMPLETED:
            self._cold_limits.record_response(grant)
        self._cold_limits.end(grant, is_unreachable=is_unreachable)

    def report_runs(self) -> None:
        """Report the runs of this router to the owners of their pools."""
        self._granted_runs.report()

    async def _async_request_decision(
        self, pending: _PendingRequest
    ) -> AdmissionDecision | None:
        """Return the final decision, or None if the owner does not respond.

        Raises:
            RequestRefusedError: No upstream accepts requests now.
        """
        number = pending.admission.key.number
        self._pending_by_number[number] = pending
        is_settled = False
        try:
            while True:
                self._send_check.check_availability(pending.pool.service)
                self._send_request(pending)
                decision: AdmissionDecision | None = await self._async_response(
                    pending
                )
                self._owner_selector.mark_responsive(pending.owner)
                if isinstance(decision, Queued):
                    decision = await self._async_next_decision(pending)
                if isinstance(decision, Granted | Declined):
                    is_settled = True
                    return decision
        except TimeoutError:
            is_settled = True
            return None
        finally:
            self._pending_by_number.pop(number, None)
            if not is_settled:
                self._withdraw(pending)

    async def _async_response(
        self, pending: _PendingRequest
    ) -> AdmissionDecision:
        """Return the owner's response to a request.

        Raises:
            TimeoutError: The owner does not respond.
        """
        timeout = self._response_timeout(pending)
        if timeout is None:
            return await pending.decisions.get()
        due_at = self._app.now() + timeout
        try:
            async with asyncio.timeout(timeout):
                return await pending.decisions.get()
        except TimeoutError:
            # A late event loop has not read the responses that have arrived.
            delay = self._app.now() - due_at
            async with asyncio.timeout(
                min(delay, const.MAX_LOOP_DELAY_ALLOWANCE_SECONDS)
            ):
                return await pending.decisions.get()

    async def _async_next_decision(
        self, pending: _PendingRequest
    ) -> AdmissionDecision | None:
        """Return the next decision, or None when the recheck is due."""
        try:
            async with asyncio.timeout(const.QUEUED_RECHECK_INTERVAL_SECONDS):
                return await pending.decisions.get()
        except TimeoutError:
            return None

    def _response_timeout(self, pending: _PendingRequest) -> float | None:
        if pending.owner == self._app.instance.router_id:
            return None
        return const.OWNER_RESPONSE_TIMEOUT_SECONDS

    def _send_request(self, pending: _PendingRequest) -> None:
        shares = self._pool_selector.shares(pending.pool.service)
        self._pool_owners.submit(
            pending.owner,
            pending.pool,
            pending.admission,
            shares.leaving_share,
        )

    def _withdraw(self, pending: _PendingRequest) -> None:
        """Notify the owner that a request no longer needs an upstream."""
        self._pool_owners.end(
            pending.owner,
            pending.pool,
            pending.admission.key,
            RunOutcome.CANCELLED,
        )

    def _record_grant(
        self,
        pending: _PendingRequest,
        granted: Granted,
        requirements: RequestRequirements,
    ) -> Grant:
        number = granted.key.number
        self._prompt_locations.record(
            requirements.shared_parts, granted.upstream_id
        )
        self._granted_runs.add(
            GrantedRun(
                pending.pool,
                pending.admission,
                granted.upstream_id,
                pending.owner,
            )
        )
        self._log_decision(
            "request admitted",
            pending,
            requirements,
            upstream=granted.upstream_id,
            fetch_from=granted.fetch_from,
            prompt_tokens=pending.admission.prompt_tokens,
            output_tokens=requirements.output_tokens,
            waited_ms=milliseconds(self._app.now() - requirements.arrived_at),
        )
        return Grant(
            number,
            requirements.service,
            granted.upstream_id,
            granted.fetch_from,
            pending.owner,
        )

    def _refusal(
        self,
        pending: _PendingRequest,
        declined: Declined,
        requirements: RequestRequirements,
    ) -> RequestRefusedError:
        self._telemetry.count(
            "declined_total",
            service=requirements.service,
            reason=declined.reason,
        )
        self._log_decision(
            "request declined",
            pending,
            requirements,
            reason=declined.reason,
            expected_wait_ms=milliseconds(declined.wait_seconds),
            retry_after_ms=milliseconds(declined.retry_after_seconds),
        )
        return RequestRefusedError(
            503,
            declined.reason,
            f"no upstream of {requirements.service} can respond in time",
            retry_after_seconds=declined.retry_after_seconds,
        )

    def _build_admission(
        self,
        requirements: RequestRequirements,
        excluded: frozenset[str],
    ) -> Admission:
        return Admission(
            key=self._next_key(),
            workspace=requirements.workspace,
            data_centre=self._app.settings.data_centre,
            shared_parts=requirements.shared_parts,
            own_tokens=requirements.own_tokens,
            output_tokens=requirements.output_tokens,
            priority=requirements.priority,
            arrived_at=requirements.arrived_at,
            latency_target_at=requirements.latency_target_at,
            deadline_at=requirements.deadline_at,
            identity=requirements.identity,
            excluded=excluded,
            first_chunk_timeout_seconds=requirements.first_chunk_timeout_seconds,
            cached_at=self._prompt_locations.find(requirements.shared_parts),
        )

    def _deliver_decision(
        self, pool: Pool, decision: AdmissionDecision
    ) -> None:
        """Deliver the decision of an owned pool to the ingress router."""
        key = decision.key
        leaving_share = self._owned_pools.mean_leaving_share(pool)
        if key.ingress_router == self._app.instance:
            if pool.data_centre == self._app.settings.data_centre:
                self._pool_selector.shares(pool.service).adopt(leaving_share)
            self._enqueue_decision(self._app.instance.router_id, decision)
            return
        self._peers.send_to_instance(
            key.ingress_router,
            encode_decision(pool.service, decision, leaving_share),
        )

    def _enqueue_decision(
        self, owner: str, decision: AdmissionDecision
    ) -> None:
        # Ignore late decisions of owners from which the request was withdrawn.
        pending = self._pending_by_number.get(decision.key.number)
        if pending is not None and pending.owner == owner:
            pending.decisions.put_nowait(decision)

    def _on_decision(self, received: ReceivedMessage) -> None:
        message = received.message
        assert isinstance(message, DECISION_MESSAGES)
        if received.data_centre == self._app.settings.data_centre:
            self._pool_selector.shares(message.service).adopt(
                message.leaving_share
            )
        decision = decode_decision(self._app.instance, message)
        if decision is not None:
            self._enqueue_decision(received.sender.router_id, decision)
