"""Which request of a pool's callers goes to which upstream, and when.

Load that this answers: bursts and steady demand above what the engines can
read, with a few large workspaces, prompts that share long parts, and engines
that admit in order of arrival. One router decides for one pool, so that what
waits can be ordered over the whole fleet, and engines hold only what they
need to stay busy.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import replace

import xxhash

from lacewingspar_core.admission_events import (
    Admission,
    AdmissionDecision,
    AdmissionKey,
    Declined,
    Granted,
    Queued,
    RunOutcome,
)
from lacewingspar_core.declined_requests import DeclinedRequests
from lacewingspar_core.directory import UpstreamEntry
from lacewingspar_core.fair_queue import FairQueue
from lacewingspar_core.identity import RouterLife
from lacewingspar_core.placement import Placement, PoolMember
from lacewingspar_core.recent_declines import LONGEST_RETRY_FRACTION
from lacewingspar_core.routing import UpstreamService
from lacewingspar_core.upstream_load import (
    ActiveRun,
)
from lacewingspar_core.workspace_tally import WorkspaceTally

# A generated token takes the engines as long as two that are read (unit of
# the operators' estimate of the engines' rate).
OUTPUT_TOKEN_COST = 2.0
# A request that cannot be in time anyway, since its prompt is long, may wait
# this part of its aim.
LATE_WAIT_FRACTION = 0.3
# A request that has come back after it was declined is late, so that those
# which can be in time go before it. It may wait for this part of the time that
# its caller has left, until the load falls.
RETURNED_WAIT_FRACTION = 0.2
# A waiting request is declined when its expected wait has grown to this many
# times its aim, as after the loss of engines.
SHED_FACTOR = 2.5
# A prompt is due later than its aim by this many times its reading time, so
# that long ones are refused no sooner than short ones.
LONG_PROMPT_FACTOR = 1.5
# A waiting request whose caller waits for longer than this beyond its expected
# wait is not checked for the time to its first part, which is mostly shorter.
FIRST_PART_CHECK_SECONDS = 1.0
# Shortest time in which an upstream can still do something useful.
LEAST_RUN_SECONDS = 0.1
# Part of its expected run time that a request must have left. The length of an
# answer is known only when it ends, and half of them are shorter than expected.
RUN_FRACTION = 0.7
# Callers come back after the expected wait, spread over as long again, and
# not sooner than this.
LEAST_RETRY_AFTER_SECONDS = 0.25
# Requests that are looked at for an upstream with room: of one workspace, and
# of all. They bound the processor time of a decision.
LOOK_AHEAD = 3
LOOK_AHEAD_ALL = 12
# A wait is longer than expected where other workspaces become active; requests
# are accepted only if they would be in time with this many times the wait.
WAIT_MARGIN = 2.0
# Time over which the rate of grants is measured while requests wait.
RATE_WINDOW_SECONDS = 1.0
# Lowest measured rate, as a part of the engines' own, that is believed.
LEAST_RATE_FRACTION = 0.1
# A run that its holder no longer reports has ended, unless the grant may still
# be under way to the holder.
UNREPORTED_RUN_SECONDS = 1.0
# A run whose caller no longer waits has ended, whatever was lost.
RUN_OVERTIME_SECONDS = 2.0

REASON_OVERLOADED = "overloaded"
REASON_NO_UPSTREAM = "no_upstream"
REASON_DEADLINE = "deadline_unreachable"


class PoolAdmission:
    """Admission of requests to one pool of upstreams.

    Events and the time go in, decisions come out.

    Attributes:
        granted: Cost granted since the last report, in tokens that are read.
        declined: Requests declined since the last report.

    Args:
        pool: Name of the pool, which seeds the choice of homes.
    """

    def __init__(self, pool: str) -> None:
        self.granted = WorkspaceTally()
        self.declined = WorkspaceTally()
        self._placement = Placement(pool)
        self._queue = FairQueue()
        self._upstream_by_run: dict[AdmissionKey, str] = {}
        self._granted: deque[tuple[float, float]] = deque()
        self._backlogged_since: float | None = None
        self._declined_requests = DeclinedRequests()

    def set_upstreams(
        self,
        entry_by_id: Mapping[str, UpstreamEntry],
        service: UpstreamService,
        engine_tokens_per_second: float,
        now: float,
    ) -> list[AdmissionDecision]:
        """Take over the upstreams that take new work.

        Runs on upstreams that have left are forgotten here; their holders
        finish them.

        Args:
            entry_by_id: The upstreams.
            service: The service that they belong to.
            engine_tokens_per_second: Estimated rate of one engine, or 0.
            now: Time in seconds.
        """
        left = self._placement.update(
            entry_by_id, service, engine_tokens_per_second
        )
        for member in left:
            for key in member.load.run_by_key:
                self._upstream_by_run.pop(key, None)
        return self._grant_waiting(now)

    def ask(self, admission: Admission, now: float) -> list[AdmissionDecision]:
        """Decide on a request; a repeated request is answered again.

        Returns:
            Decisions on this request and on others.
        """
        key = admission.key
        if key in self._upstream_by_run:
            return [Granted(key, self._upstream_by_run[key], "")]
        if key in self._queue:
            due_at = self._queue.due_at(key)
            wait = self._expected_wait(admission, due_at, now)
            return [Queued(key, wait)]
        admission = self._with_first_aim(admission, now)
        cost = self._placement.least_cost(admission)
        due_at = self._due_at(admission, cost)
        reason = self._decline_reason(admission, due_at, now)
        if reason is not None:
            return [self._declined(admission, due_at, reason, now)]
        if not len(self._queue):
            self._backlogged_since = now
        self._queue.add(admission, cost, due_at)
        decisions = self._grant_waiting(now)
        if key in self._queue:
            wait = self._expected_wait(admission, due_at, now)
            decisions.append(Queued(key, wait))
        return decisions

    def note_first_part(
        self, key: AdmissionKey, now: float
    ) -> list[AdmissionDecision]:
        """Take over that the first part of an answer has come."""
        member = self._member_of(key)
        if member is None:
            return []
        member.load.note_first_part(key, now)
        self._placement.note_change(member)
        member.trust.note_answer()
        return self._grant_waiting(now)

    def end(
        self, key: AdmissionKey, outcome: RunOutcome, now: float
    ) -> list[AdmissionDecision]:
        """Take over how a run ended, or that a request is withdrawn."""
        waiting = self._queue.find(key)
        if waiting is not None:
            self._queue.remove(waiting)
            return []
        member = self._member_of(key)
        if member is None:
            return []
        del self._upstream_by_run[key]
        member.load.end(key, now)
        self._placement.note_change(member)
        member.trust.note(outcome, now)
        return self._grant_waiting(now)

    def note_unreachable(self, upstream_id: str, now: float) -> None:
        """Take over that an upstream refuses connections or is silent."""
        member = self._placement.member_by_id.get(upstream_id)
        if member is not None:
            member.trust.note_unreachable(now)

    def reconcile(
        self, holder: RouterLife, runs: Iterable[ActiveRun], now: float
    ) -> list[AdmissionDecision]:
        """Take over the runs that a holder reports.

        Runs that another owner granted are added, and those that the holder
        no longer has are dropped.
        """
        reported = {run.key: run for run in runs}
        for key, upstream_id in list(self._upstream_by_run.items()):
            if key.holder != holder or key in reported:
                continue
            load = self._placement.member_by_id[upstream_id].load
            granted_at = load.run_by_key[key].granted_at
            if now - granted_at > UNREPORTED_RUN_SECONDS:
                self._forget_run(key)
        for key, run in reported.items():
            member = self._placement.member_by_id.get(run.upstream_id)
            if member is not None and key not in self._upstream_by_run:
                self._upstream_by_run[key] = run.upstream_id
                member.load.adopt(run)
                self._placement.note_change(member)
        return self._grant_waiting(now)

    def forget_holder(
        self, holder: RouterLife, now: float
    ) -> list[AdmissionDecision]:
        """Drop the requests of a router that is gone."""
        for key in list(self._upstream_by_run):
            if key.holder == holder:
                self._forget_run(key)
        for admission in list(self._queue):
            if admission.key.holder == holder:
                self._queue.remove(admission)
        return self._grant_waiting(now)

    def tick(self, now: float) -> list[AdmissionDecision]:
        """Decline what can no longer be served in time.

        To be called some ten times a second.
        """
        for key, upstream_id in list(self._upstream_by_run.items()):
            run = self._placement.member_by_id[upstream_id].load.run_by_key[key]
            if now > run.ends_by + RUN_OVERTIME_SECONDS:
                self._forget_run(key)
        decisions = self._grant_waiting(now)
        for admission in list(self._queue):
            reason = self._shed_reason(admission, now)
            if reason is not None:
                due_at = self._queue.due_at(admission.key)
                self._queue.remove(admission)
                decisions.append(self._declined(admission, due_at, reason, now))
        return decisions

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Return the number of granted requests that have not ended."""
        return len(self._upstream_by_run)

    def _member_of(self, key: AdmissionKey) -> PoolMember | None:
        upstream_id = self._upstream_by_run.get(key)
        return (
            None
            if upstream_id is None
            else self._placement.member_by_id[upstream_id]
        )

    def _forget_run(self, key: AdmissionKey) -> None:
        upstream_id = self._upstream_by_run.pop(key)
        member = self._placement.member_by_id[upstream_id]
        run = member.load.run_by_key[key]
        member.load.end(key, run.granted_at)
        self._placement.note_change(member)

    def _grant_waiting(self, now: float) -> list[AdmissionDecision]:
        """Grant upstreams until none with room suits a waiting request."""
        decisions: list[AdmissionDecision] = []
        while len(self._queue):
            granted = self._grant_next(now)
            if granted is None:
                break
            decisions.append(granted)
        if not len(self._queue):
            self._backlogged_since = None
        return decisions

    def _grant_next(self, now: float) -> Granted | None:
        open_members = self._placement.open_members(now)
        if not open_members:
            return None
        in_time_from = now + self._placement.lead_seconds
        looked_at = 0
        for workspace in self._queue.in_turn():
            for admission in self._queue.most_urgent(
                workspace, LOOK_AHEAD, in_time_from
            ):
                looked_at += 1
                member = self._placement.choose(admission, open_members, now)
                if member is not None:
                    return self._grant(admission, member, now)
            if looked_at >= LOOK_AHEAD_ALL:
                break
        return None

    def _grant(
        self, admission: Admission, member: PoolMember, now: float
    ) -> Granted:
        self._queue.remove(admission)
        cost = member.load.read_cost(admission)
        self._granted.append((now, cost))
        self._forget_old_grants(now)
        charged = cost + OUTPUT_TOKEN_COST * admission.output_tokens
        self._queue.charge(admission.workspace, charged)
        self.granted.add(admission.workspace, round(charged))
        fetch_from = self._placement.fetch_source(admission, member)
        upstream_id = member.entry.upstream_id
        member.load.begin(admission, now)
        self._placement.note_change(member)
        member.trust.note_grant(now)
        self._upstream_by_run[admission.key] = upstream_id
        return Granted(admission.key, upstream_id, fetch_from)

    def _with_first_aim(self, admission: Admission, now: float) -> Admission:
        """Return a request with the aim of its caller's first attempt."""
        aim_at = self._declined_requests.take(
            admission.workspace, admission.identity, now
        )
        if aim_at is None:
            return admission
        return replace(admission, aim_at=min(aim_at, admission.aim_at))

    def _due_at(self, admission: Admission, cost: float) -> float:
        """Return when the first part is due, with time for a long prompt."""
        rate = max(
            (item.load.rate for item in self._placement.member_by_id.values()),
            default=1.0,
        )
        return admission.aim_at + LONG_PROMPT_FACTOR * cost / rate

    def _rate(self, now: float) -> float:
        """Return the cost that the pool takes in a second."""
        nominal = sum(
            member.load.rate
            for member in self._placement.member_by_id.values()
            if not member.trust.is_blocked(now)
        )
        since = self._backlogged_since
        if since is None or now - since < RATE_WINDOW_SECONDS:
            return nominal
        self._forget_old_grants(now)
        measured = sum(cost for _, cost in self._granted) / RATE_WINDOW_SECONDS
        return min(nominal, max(measured, LEAST_RATE_FRACTION * nominal))

    def _forget_old_grants(self, now: float) -> None:
        while self._granted and self._granted[0][0] < now - RATE_WINDOW_SECONDS:
            self._granted.popleft()

    def _expected_wait(
        self, admission: Admission, due_at: float, now: float
    ) -> float:
        """Return the wait for a grant by the shares of the workspaces."""
        rate = self._rate(now)
        if rate <= 0:
            return 0.0
        in_time_from = now + self._placement.lead_seconds
        before = self._queue.cost_before(admission, due_at, in_time_from)
        own = before * max(1, self._queue.workspaces)
        return min(self._queue.cost, own) / rate

    def _decline_reason(
        self, admission: Admission, due_at: float, now: float
    ) -> str | None:
        members = self._placement.candidates(admission, now)
        if not members:
            return REASON_NO_UPSTREAM
        if not self._can_end_in_time(admission, members, now):
            return REASON_DEADLINE
        if not len(self._queue):
            return None
        first_part = min(
            member.load.first_part_seconds(admission) for member in members
        )
        left = due_at - now - first_part
        patience = admission.given_up_at - now - first_part
        aim = max(0.0, admission.aim_at - admission.arrived_at)
        allowed = max(left, LATE_WAIT_FRACTION * aim)
        if admission.aim_at < now:
            # The caller has come back and is late in any case.
            time_left = admission.deadline_at - now
            allowed = max(allowed, RETURNED_WAIT_FRACTION * time_left)
        wait = self._expected_wait(admission, due_at, now)
        is_too_long = WAIT_MARGIN * wait > min(allowed, patience)
        return REASON_OVERLOADED if is_too_long else None

    def _can_end_in_time(
        self, admission: Admission, members: list[PoolMember], now: float
    ) -> bool:
        """Return whether the whole answer may be there by the deadline."""
        run_seconds = min(item.load.run_seconds(admission) for item in members)
        needed = max(LEAST_RUN_SECONDS, RUN_FRACTION * run_seconds)
        return admission.deadline_at - now >= needed

    def _shed_reason(self, admission: Admission, now: float) -> str | None:
        members = self._placement.candidates(admission, now)
        if not members:
            return REASON_NO_UPSTREAM
        if not self._can_end_in_time(admission, members, now):
            return REASON_DEADLINE
        if now < admission.aim_at:
            return None
        limit = SHED_FACTOR * (admission.aim_at - admission.arrived_at)
        if admission.aim_at < admission.arrived_at:
            left = admission.deadline_at - admission.arrived_at
            limit = SHED_FACTOR * RETURNED_WAIT_FRACTION * left
        due_at = self._queue.due_at(admission.key)
        wait = self._expected_wait(admission, due_at, now)
        if now + wait - admission.arrived_at > limit:
            return REASON_OVERLOADED
        left = admission.given_up_at - now - wait
        if left > FIRST_PART_CHECK_SECONDS:
            return None
        first_part = min(
            member.load.first_part_seconds(admission) for member in members
        )
        return REASON_OVERLOADED if first_part > left else None

    def _declined(
        self, admission: Admission, due_at: float, reason: str, now: float
    ) -> Declined:
        self.declined.add(admission.workspace)
        self._declined_requests.note(
            admission.workspace, admission.identity, admission.aim_at, now
        )
        wait = self._expected_wait(admission, due_at, now)
        digest = xxhash.xxh32_intdigest(str(admission.key.number).encode())
        spread = 1.0 + digest / 2**32
        longest = LONGEST_RETRY_FRACTION * (admission.deadline_at - now)
        seconds = max(LEAST_RETRY_AFTER_SECONDS, longest / 2, wait) * spread
        return Declined(
            admission.key, reason, wait, max(0.05, min(longest, seconds))
        )
