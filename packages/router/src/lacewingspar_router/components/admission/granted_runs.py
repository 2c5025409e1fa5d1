"""Runs that pool owners have granted to this router."""

from dataclasses import dataclass

from lacewingspar_core.admission_events import Admission, RunOutcome
from lacewingspar_core.admission_messages import ReportedRun, UpstreamLoadReport
from lacewingspar_core.pools import Pool
from lacewingspar_core.reported_load import LoadReport
from lacewingspar_router.application import Application
from lacewingspar_router.components.admission.messages import milliseconds
from lacewingspar_router.components.admission.models import Grant
from lacewingspar_router.components.admission.pool_owners import PoolOwners
from lacewingspar_router.components.admission.pools import OwnerSelector


@dataclass(slots=True)
class GrantedRun:
    """A granted request that has not ended.

    Attributes:
        pool: Pool that granted the request.
        admission: The admission request.
        upstream_id: Upstream that runs the request.
        owner: Router that accounts for the run.
        has_first_chunk: Whether the first chunk of the response has arrived.
        load: Load that the upstream has reported and the owner does not know
            yet, or None.
        load_at: Time of that report.
    """

    pool: Pool
    admission: Admission
    upstream_id: str
    owner: str
    has_first_chunk: bool = False
    load: LoadReport | None = None
    load_at: float = 0.0


class GrantedRuns:
    """Keeps the accounting of the runs at their owners up to date.

    Args:
        app: The application.
        owner_selector: Gives the current owner of each pool.
        pool_owners: Reaches the owners.
    """

    def __init__(
        self,
        app: Application,
        owner_selector: OwnerSelector,
        pool_owners: PoolOwners,
    ) -> None:
        self._app = app
        self._owner_selector = owner_selector
        self._pool_owners = pool_owners
        self._run_by_number: dict[int, GrantedRun] = {}
        platform = app.settings.platform
        self._uses_every_load = (
            platform is not None and platform.uses_reported_load
        )

    def add(self, run: GrantedRun) -> None:
        """Add a run that was just granted."""
        self._run_by_number[run.admission.key.number] = run

    def record_load(self, grant: Grant, load: LoadReport) -> None:
        """Keep the load in a response for the next report to the owner.

        Without the setting `uses_reported_load` only upstreams that report
        their slowness are meant to be chosen by their reports.
        """
        if load.slowness_percent is None and not self._uses_every_load:
            return
        run = self._run_by_number.get(grant.number)
        if run is not None:
            run.load = load
            run.load_at = self._app.now()

    def record_first_chunk(self, grant: Grant) -> None:
        """Report to the owner that the first chunk of the response arrived."""
        run = self._run_by_number.get(grant.number)
        if run is None or run.has_first_chunk:
            return
        run.has_first_chunk = True
        self._pool_owners.record_first_chunk(
            run.owner, run.pool, run.admission.key, self._pop_load(run)
        )

    def end(
        self, grant: Grant, outcome: RunOutcome, *, is_unreachable: bool
    ) -> None:
        """Report the end of a run to its owner; repeats have no effect."""
        run = self._run_by_number.pop(grant.number, None)
        if run is None:
            return
        unreachable = run.upstream_id if is_unreachable else ""
        self._pool_owners.end(
            run.owner,
            run.pool,
            run.admission.key,
            outcome,
            unreachable,
            self._pop_load(run),
        )

    def _pop_load(self, run: GrantedRun) -> UpstreamLoadReport | None:
        """Return the load that the owner does not know yet, for a message."""
        load, run.load = run.load, None
        if load is None:
            return None
        return UpstreamLoadReport(
            run.upstream_id,
            load.running,
            load.waiting,
            load.slots,
            load.slowness_percent,
            milliseconds(self._app.now() - run.load_at),
        )

    def report(self) -> None:
        """Report all runs to the owners of their pools.

        These reports also inform the new owner of a pool of existing runs.
        """
        reported: dict[tuple[Pool, str], list[ReportedRun]] = {}
        for number, run in self._run_by_number.items():
            self._transfer_to_current_owner(run)
            reported.setdefault((run.pool, run.owner), []).append(
                self._reported_run(number, run)
            )
        for (pool, owner), runs in reported.items():
            self._pool_owners.report(owner, pool, tuple(runs))

    def _transfer_to_current_owner(self, run: GrantedRun) -> None:
        """Move the accounting of a run to the current owner of its pool."""
        owner = self._owner_selector.current_owner(run.pool)
        if owner == run.owner:
            return
        self._pool_owners.end(
            run.owner, run.pool, run.admission.key, RunOutcome.CANCELLED
        )
        run.owner = owner

    def _reported_run(self, number: int, run: GrantedRun) -> ReportedRun:
        admission = run.admission
        remaining_seconds = admission.deadline_at - self._app.now()
        return ReportedRun(
            number=number,
            upstream_id=run.upstream_id,
            pending_prefill_tokens=0
            if run.has_first_chunk
            else admission.own_tokens,
            memory_tokens=admission.prompt_tokens + admission.output_tokens,
            remaining_ms=max(0, milliseconds(remaining_seconds)),
        )
