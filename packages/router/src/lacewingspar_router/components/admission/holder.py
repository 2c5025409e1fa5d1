"""Holder role: asks the owners of pools on behalf of callers' requests."""

import asyncio
import itertools
from dataclasses import dataclass, field

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
from lacewingspar_core.admission_messages import (
    ReportedRun,
    RunEnded,
    RunReport,
    RunStarted,
)
from lacewingspar_router.application import Application
from lacewingspar_router.components.admission import const
from lacewingspar_router.components.admission.messages import (
    DECISION_MESSAGES,
    decision_of,
    message_of,
    milliseconds,
    request_of,
)
from lacewingspar_router.components.admission.models import Demand, Grant
from lacewingspar_router.components.admission.owner import PoolOwner
from lacewingspar_router.components.admission.pools import (
    Pool,
    PoolOwners,
    Pools,
)
from lacewingspar_router.components.peers.models import PEERS, ReceivedMessage
from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.errors import RequestRefusedError

_LOGGER = structlog.get_logger(__name__)


@dataclass(slots=True)
class _Asked:
    """A request that waits for a decision.

    Attributes:
        pool: Pool of the request.
        admission: The request.
        owner: Router that was asked.
        decisions: Decisions that have arrived.
    """

    pool: Pool
    admission: Admission
    owner: str
    decisions: asyncio.Queue[AdmissionDecision] = field(
        default_factory=asyncio.Queue
    )


@dataclass(slots=True)
class _Run:
    """A granted request that has not ended.

    Attributes:
        pool: Its pool.
        admission: The request.
        upstream_id: Its upstream.
        owner: Router that keeps account of it.
        is_read: Whether the first part of the answer has come.
    """

    pool: Pool
    admission: Admission
    upstream_id: str
    owner: str
    is_read: bool = False


class FleetAdmission:
    """Admission by the owners of the pools, over the whole fleet.

    Args:
        app: The application.
    """

    def __init__(self, app: Application) -> None:
        self._app = app
        self._routing = app.get(ROUTING)
        self._peers = app.get(PEERS)
        self._telemetry = app.get(TELEMETRY)
        self._pools = Pools(self._routing)
        self._owners = PoolOwners(app, self._pools)
        self._own_pools = PoolOwner(app, self._deliver)
        self._numbers = itertools.count(1)
        self._asked_by_number: dict[int, _Asked] = {}
        self._run_by_number: dict[int, _Run] = {}
        for message_type in DECISION_MESSAGES:
            self._peers.subscribe(message_type, self._on_decision)

    async def async_acquire(
        self, demand: Demand, excluded: frozenset[str]
    ) -> Grant:
        """Wait for an upstream; cancelling the call withdraws the request.

        Raises:
            RequestRefusedError: The request is refused; it was not sent.
        """
        number = next(self._numbers)
        pool = self._pools.pool_for(demand.service, demand.shared_parts, number)
        admission = self._admission(demand, excluded, number)
        while True:
            asked = _Asked(pool, admission, self._owners.owner(pool))
            decision = await self._async_decision(asked)
            match decision:
                case Granted():
                    return self._begin(asked, decision, demand)
                case Declined():
                    raise self._refusal(asked, decision, demand)
                case None:
                    self._withdraw(asked)
                    self._owners.suspect(asked.owner)
                    self._telemetry.count("silent_owners_total")
                    _LOGGER.warning(
                        "pool owner does not answer; asking the next one",
                        request_id=demand.request_id,
                        owner=asked.owner,
                        service=pool.service,
                        shard=pool.shard,
                    )

    def note_first_part(self, grant: Grant) -> None:
        """Tell that the first part of the answer has come."""
        run = self._run_by_number.get(grant.number)
        if run is None or run.is_read:
            return
        run.is_read = True
        if run.owner == self._app.life.router_id:
            self._own_pools.note_first_part(run.pool, run.admission.key)
            return
        self._peers.send(
            run.owner,
            RunStarted(run.pool.service, run.pool.shard, grant.number),
        )

    def end(
        self,
        grant: Grant,
        outcome: RunOutcome,
        *,
        is_unreachable: bool = False,
    ) -> None:
        """Tell how the run ended; repeats have no effect."""
        run = self._run_by_number.pop(grant.number, None)
        if run is None:
            return
        unreachable = run.upstream_id if is_unreachable else ""
        self._end_at_owner(
            run.owner, run.pool, run.admission.key, outcome, unreachable
        )

    def report_runs(self) -> None:
        """Report the runs of this router to the owners of their pools.

        A pool that has a new owner learns of the runs in this way.
        """
        reported: dict[tuple[Pool, str], list[ReportedRun]] = {}
        for number, run in self._run_by_number.items():
            self._move(run)
            reported.setdefault((run.pool, run.owner), []).append(
                self._reported(number, run)
            )
        for (pool, owner), runs in reported.items():
            report = RunReport(pool.service, pool.shard, tuple(runs))
            if owner == self._app.life.router_id:
                self._own_pools.reconcile(self._app.life, report)
            else:
                self._peers.send(owner, report)

    def _move(self, run: _Run) -> None:
        """Let the present owner of a pool keep account of a run."""
        owner = self._owners.present_owner(run.pool)
        if owner == run.owner:
            return
        key = run.admission.key
        self._end_at_owner(run.owner, run.pool, key, RunOutcome.CANCELLED, "")
        run.owner = owner

    def tick(self) -> None:
        """Let the owned pools decline what can no longer be in time."""
        self._own_pools.tick()

    def report_pools(self) -> None:
        """Write a line about each owned pool."""
        self._own_pools.report()

    async def _async_decision(self, asked: _Asked) -> AdmissionDecision | None:
        """Return the final decision, or None if the owner is silent."""
        number = asked.admission.key.number
        self._asked_by_number[number] = asked
        is_settled = False
        try:
            while True:
                self._ask(asked)
                decision: AdmissionDecision | None
                async with asyncio.timeout(self._timeout(asked)):
                    decision = await asked.decisions.get()
                self._owners.note_answer(asked.owner)
                if isinstance(decision, Queued):
                    decision = await self._async_next_decision(asked)
                if isinstance(decision, Granted | Declined):
                    is_settled = True
                    return decision
        except TimeoutError:
            is_settled = True
            return None
        finally:
            self._asked_by_number.pop(number, None)
            if not is_settled:
                self._withdraw(asked)

    async def _async_next_decision(
        self, asked: _Asked
    ) -> AdmissionDecision | None:
        """Return the next decision, or None when it is time to ask again."""
        try:
            async with asyncio.timeout(const.WAIT_CHECK_SECONDS):
                return await asked.decisions.get()
        except TimeoutError:
            return None

    def _timeout(self, asked: _Asked) -> float | None:
        if asked.owner == self._app.life.router_id:
            return None
        return const.ASK_TIMEOUT_SECONDS

    def _ask(self, asked: _Asked) -> None:
        admission = asked.admission
        if asked.owner == self._app.life.router_id:
            self._own_pools.ask(asked.pool, admission)
            return
        request = request_of(asked.pool, admission, self._app.now())
        self._peers.send(asked.owner, request)

    def _withdraw(self, asked: _Asked) -> None:
        """Tell an owner that a request no longer needs an upstream."""
        self._end_at_owner(
            asked.owner,
            asked.pool,
            asked.admission.key,
            RunOutcome.CANCELLED,
            "",
        )

    def _end_at_owner(
        self,
        owner: str,
        pool: Pool,
        key: AdmissionKey,
        outcome: RunOutcome,
        unreachable: str,
    ) -> None:
        if owner == self._app.life.router_id:
            self._own_pools.end(pool, key, outcome, unreachable)
            return
        message = RunEnded(
            pool.service, pool.shard, key.number, outcome, unreachable
        )
        self._peers.send(owner, message)

    def _begin(self, asked: _Asked, granted: Granted, demand: Demand) -> Grant:
        number = granted.key.number
        self._run_by_number[number] = _Run(
            asked.pool, asked.admission, granted.upstream_id, asked.owner
        )
        _LOGGER.info(
            "request admitted",
            request_id=demand.request_id,
            service=demand.service,
            workspace=demand.workspace,
            upstream=granted.upstream_id,
            fetch_from=granted.fetch_from,
            owner=asked.owner,
            prompt_tokens=asked.admission.prompt_tokens,
            output_tokens=demand.output_tokens,
            waited_ms=milliseconds(self._app.now() - demand.arrived_at),
            directory_age_ms=milliseconds(self._routing.directory_age_seconds),
        )
        return Grant(
            number, granted.upstream_id, granted.fetch_from, asked.owner
        )

    def _refusal(
        self, asked: _Asked, declined: Declined, demand: Demand
    ) -> RequestRefusedError:
        self._telemetry.count(
            "declined_total", service=demand.service, reason=declined.reason
        )
        _LOGGER.info(
            "request declined",
            request_id=demand.request_id,
            service=demand.service,
            workspace=demand.workspace,
            reason=declined.reason,
            expected_wait_ms=milliseconds(declined.wait_seconds),
            retry_after_ms=milliseconds(declined.retry_after_seconds),
            owner=asked.owner,
            directory_age_ms=milliseconds(self._routing.directory_age_seconds),
        )
        return RequestRefusedError(
            503,
            declined.reason,
            f"no upstream of {demand.service} can serve the request in time",
            retry_after_seconds=declined.retry_after_seconds,
        )

    def _admission(
        self, demand: Demand, excluded: frozenset[str], number: int
    ) -> Admission:
        return Admission(
            key=AdmissionKey(self._app.life, number),
            workspace=demand.workspace,
            data_centre=self._app.settings.data_centre,
            shared_parts=demand.shared_parts,
            own_tokens=demand.own_tokens,
            output_tokens=demand.output_tokens,
            priority=demand.priority,
            arrived_at=demand.arrived_at,
            aim_at=demand.aim_at,
            deadline_at=demand.deadline_at,
            identity=demand.identity,
            excluded=excluded,
            patience_seconds=demand.patience_seconds,
        )

    def _reported(self, number: int, run: _Run) -> ReportedRun:
        admission = run.admission
        left = admission.deadline_at - self._app.now()
        return ReportedRun(
            number=number,
            upstream_id=run.upstream_id,
            unread_tokens=0 if run.is_read else admission.own_tokens,
            memory_tokens=admission.prompt_tokens + admission.output_tokens,
            left_ms=max(0, milliseconds(left)),
        )

    def _deliver(self, service: str, decision: AdmissionDecision) -> None:
        """Hand a decision of an owned pool to its holder."""
        key = decision.key
        if key.holder == self._app.life:
            self._receive(self._app.life.router_id, decision)
            return
        self._peers.send(key.holder.router_id, message_of(service, decision))

    def _receive(self, owner: str, decision: AdmissionDecision) -> None:
        # A request that has gone elsewhere was withdrawn from this owner.
        asked = self._asked_by_number.get(decision.key.number)
        if asked is not None and asked.owner == owner:
            asked.decisions.put_nowait(decision)

    def _on_decision(self, received: ReceivedMessage) -> None:
        decision = decision_of(self._app.life, received.message)
        if decision is not None:
            self._receive(received.sender.router_id, decision)
