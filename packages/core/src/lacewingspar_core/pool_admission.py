"""Admission control for one pool of upstreams.

Designed for bursts and steady demand above the prefill capacity of the
engines, a few large workspaces and prompts with long shared parts. Engines
admit requests in order of arrival. One router, the pool owner, decides for the
whole fleet, so that waiting requests are ordered across all routers and the
engines queue only what keeps them busy.
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
from lacewingspar_core.cold_pacing import ColdLimit, ColdUpstreams
from lacewingspar_core.decline_cache import MAX_RETRY_AFTER_FRACTION
from lacewingspar_core.directory import UpstreamEntry
from lacewingspar_core.fair_queue import FairQueue
from lacewingspar_core.first_attempt_targets import FirstAttemptTargets
from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.placement import Placement, PoolMember
from lacewingspar_core.pool_balance import PoolBalance
from lacewingspar_core.reported_load import LoadReport
from lacewingspar_core.routing import UpstreamService
from lacewingspar_core.shared_prompt_tally import SharedPromptTally
from lacewingspar_core.upstream_load import ActiveRun, EngineLoad
from lacewingspar_core.workspace_tally import WorkspaceTally

# Cost of an output token in prompt tokens: generating one takes an engine as
# long as prefilling two, the ratio in the operators' estimate of its rate.
OUTPUT_TOKEN_COST = 2.0
# Minimum allowed wait as a fraction of the latency target, for requests that
# miss the target in any case because their prompt is long.
LONG_PROMPT_WAIT_FRACTION = 0.3
# Allowed wait of a retried request as a fraction of the time until its
# deadline. Retries of declined requests keep their first latency target, so
# requests that can still meet theirs go first.
RETRIED_WAIT_FRACTION = 0.2
# A queued request is declined when its total wait would exceed this multiple of
# its latency target, for example after engines were lost.
SHED_WAIT_FACTOR = 2.5
# Extra time for the first chunk, as a multiple of the prefill time, so that
# long prompts are not declined earlier than short ones.
PREFILL_GRACE_FACTOR = 1.5
# Queued requests with more time than this left after their expected wait skip
# the first-chunk check: first chunks mostly take less.
FIRST_CHUNK_CHECK_SECONDS = 1.0
# Minimum time to the deadline for a request to be admitted.
MIN_RUN_SECONDS = 0.1
# Minimum time to the deadline as a fraction of the expected run time. The
# length of a response is known only when it ends; half are shorter than
# expected.
MIN_RUN_FRACTION = 0.7
# Lower bound of Retry-After before the spread. Callers retry after the expected
# wait, spread over one to two times its length.
MIN_RETRY_AFTER_SECONDS = 0.25
# Queued requests examined for each grant, which bounds the CPU time of a
# decision.
LOOKAHEAD_PER_WORKSPACE = 3
LOOKAHEAD_TOTAL = 12
# Requests are queued only if they meet their target with this multiple of the
# expected wait, which grows when other workspaces become active.
WAIT_SAFETY_FACTOR = 2.0
# Window for measuring the grant rate while requests are queued.
GRANT_RATE_WINDOW_SECONDS = 1.0
# Lower bound of the measured grant rate as a fraction of the nominal rate.
MIN_GRANT_RATE_FRACTION = 0.1
# A run that is missing from the ingress router's report counts as ended after
# this time. Before, the grant may still be on its way to that router.
UNREPORTED_RUN_GRACE_SECONDS = 1.0
# A run is removed this long after its deadline, in case the message about its
# end was lost.
RUN_DEADLINE_GRACE_SECONDS = 2.0

# Other pools are told where a prompt is if its upstream had to prefill this
# many shared tokens. Reading fewer takes no longer than a copy.
MIN_ANNOUNCED_TOKENS = 1000

REASON_OVERLOADED = "overloaded"
REASON_NO_UPSTREAM = "no_upstream"
REASON_DEADLINE = "deadline_unreachable"


class PoolAdmission:
    """Decides which requests run on which upstream of a pool, and when.

    The class does no I/O: it receives events with the current time and returns
    decisions.

    Attributes:
        granted: Cost granted since the last report, in prompt tokens.
        declined: Requests declined since the last report.
        shared_prompts: Shared prompt parts granted since the last report.

    Args:
        pool: Name of the pool, which seeds the hash for affinity upstreams.
        has_other_pools: Whether a declined request can ask a pool of another
            data centre.
        cold_upstreams: Cold upstreams as known to this router.
    """

    def __init__(
        self,
        pool: str,
        *,
        has_other_pools: bool = False,
        cold_upstreams: ColdUpstreams | None = None,
    ) -> None:
        self.granted = WorkspaceTally()
        self.declined = WorkspaceTally()
        self.shared_prompts = SharedPromptTally()
        self._placement = Placement(
            pool,
            has_other_pools=has_other_pools,
            cold_upstreams=cold_upstreams,
        )
        self._queue = FairQueue()
        self._upstream_by_run: dict[AdmissionKey, str] = {}
        self._recent_grants: deque[tuple[float, float]] = deque()
        self._backlogged_since: float | None = None
        self._first_attempt_targets = FirstAttemptTargets()
        self._new_prompts: dict[int, str] = {}

    def set_upstreams(
        self,
        entry_by_id: Mapping[str, UpstreamEntry],
        service: UpstreamService,
        engine_tokens_per_second: float,
        now: float,
        cold_limit: ColdLimit | None = None,
    ) -> list[AdmissionDecision]:
        """Replace the upstreams that accept new requests.

        Runs on removed upstreams are no longer tracked; their ingress routers
        finish them.

        Args:
            entry_by_id: Upstreams that accept new requests.
            service: Service that the upstreams belong to.
            engine_tokens_per_second: Estimated prefill rate of one engine, or 0
                if there is no estimate.
            now: Time in seconds.
            cold_limit: Limit on the requests to cold upstreams, or None.

        Returns:
            Decisions on queued requests.
        """
        self._placement.cold_limit = cold_limit
        removed = self._placement.update(
            entry_by_id, service, engine_tokens_per_second
        )
        for member in removed:
            for key in member.load.run_by_key:
                self._upstream_by_run.pop(key, None)
        return self._grant_waiting(now)

    def submit(
        self, admission: Admission, now: float
    ) -> list[AdmissionDecision]:
        """Submit a request for admission.

        Submitting a request again returns its current state.

        Returns:
            Decisions on this request and on other queued requests.
        """
        key = admission.key
        if key in self._upstream_by_run:
            return [Granted(key, self._upstream_by_run[key], "")]
        if key in self._queue:
            due_at = self._queue.due_at(key)
            wait = self._expected_wait(admission, due_at, now)
            return [Queued(key, wait)]
        admission = self._with_original_target(admission, now)
        cost = self._placement.min_cost(admission)
        due_at = self._due_at(admission, cost)
        reason = self._decline_reason(admission, due_at, now)
        if reason is not None:
            return [self._decline(admission, due_at, reason, now)]
        if not len(self._queue):
            self._backlogged_since = now
        self._queue.add(admission, cost, due_at)
        decisions = self._grant_waiting(now)
        if key in self._queue:
            wait = self._expected_wait(admission, due_at, now)
            decisions.append(Queued(key, wait))
        return decisions

    def record_first_chunk(
        self, key: AdmissionKey, now: float
    ) -> list[AdmissionDecision]:
        """Record the first chunk of a response and grant queued requests."""
        member = self._member_of(key)
        if member is None:
            return []
        granted_at = member.load.run_by_key[key].granted_at
        self._placement.record_response(member, granted_at, now)
        member.load.record_first_chunk(key, now)
        self._placement.record_load_change(member)
        member.breaker.record_response()
        return self._grant_waiting(now)

    def end(
        self, key: AdmissionKey, outcome: RunOutcome, now: float
    ) -> list[AdmissionDecision]:
        """Record the end of a run, or withdraw a queued request."""
        waiting = self._queue.find(key)
        if waiting is not None:
            self._queue.remove(waiting)
            return []
        member = self._member_of(key)
        if member is None:
            return []
        del self._upstream_by_run[key]
        match outcome:
            case RunOutcome.NOT_RUN:
                member.load.discard(key)
                member.breaker.record_refusal(now)
            case RunOutcome.CANCELLED:
                member.load.cancel(key, now)
            case _:
                self._record_outcome(member, key, outcome, now)
        self._placement.record_load_change(member)
        return self._grant_waiting(now)

    def record_unreachable(self, upstream_id: str, now: float) -> None:
        """Record that no connection to an upstream could be opened."""
        member = self._placement.member_by_id.get(upstream_id)
        if member is not None:
            member.breaker.record_unreachable(now)
            member.cold.record_lost(now)

    def record_report(
        self,
        upstream_id: str,
        report: LoadReport,
        reported_at: float,
        now: float,
    ) -> None:
        """Record the load that an upstream has reported in a response.

        The next event uses it; the method grants no queued requests.
        """
        self._placement.record_report(upstream_id, report, reported_at, now)

    def pop_balance(self) -> PoolBalance | None:
        """Return the balance since the last call, or None without reports."""
        return self._placement.pop_balance()

    def reconcile(
        self,
        ingress_router: RouterInstance,
        runs: Iterable[ActiveRun],
        now: float,
    ) -> list[AdmissionDecision]:
        """Reconcile the known runs with an ingress router's report.

        Adds runs that another pool owner granted, and drops runs that the
        ingress router no longer has.
        """
        reported = {run.key: run for run in runs}
        for key, upstream_id in list(self._upstream_by_run.items()):
            if key.ingress_router != ingress_router or key in reported:
                continue
            load = self._placement.member_by_id[upstream_id].load
            granted_at = load.run_by_key[key].granted_at
            if now - granted_at > UNREPORTED_RUN_GRACE_SECONDS:
                self._drop_run(key)
        for key, run in reported.items():
            member = self._placement.member_by_id.get(run.upstream_id)
            if member is not None and key not in self._upstream_by_run:
                self._upstream_by_run[key] = run.upstream_id
                member.load.add_run(run)
                member.load.reported.adopt_run()
                self._placement.record_load_change(member)
        return self._grant_waiting(now)

    def remove_ingress_router(
        self, ingress_router: RouterInstance, now: float
    ) -> list[AdmissionDecision]:
        """Drop all requests of an ingress router that has left the fleet."""
        for key in list(self._upstream_by_run):
            if key.ingress_router == ingress_router:
                self._drop_run(key)
        for admission in list(self._queue):
            if admission.key.ingress_router == ingress_router:
                self._queue.remove(admission)
        return self._grant_waiting(now)

    def tick(self, now: float) -> list[AdmissionDecision]:
        """Drop overdue runs and decline requests that can't be served in time.

        Must be called about ten times a second.
        """
        for key, upstream_id in list(self._upstream_by_run.items()):
            run = self._placement.member_by_id[upstream_id].load.run_by_key[key]
            if now > run.deadline_at + RUN_DEADLINE_GRACE_SECONDS:
                self._drop_run(key)
        self._placement.refresh_reports(now)
        decisions = self._grant_waiting(now)
        for admission in list(self._queue):
            reason = self._shed_reason(admission, now)
            if reason is not None:
                due_at = self._queue.due_at(admission.key)
                self._queue.remove(admission)
                decisions.append(self._decline(admission, due_at, reason, now))
        return decisions

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Return the number of granted requests that have not ended."""
        return len(self._upstream_by_run)

    def cold_count(self, now: float) -> int:
        """Return the number of upstreams whose requests are limited."""
        if self._placement.cold_limit is None:
            return 0
        members = self._placement.member_by_id.values()
        return sum(member.cold.is_cold(now) for member in members)

    def _record_outcome(
        self,
        member: PoolMember,
        key: AdmissionKey,
        outcome: RunOutcome,
        now: float,
    ) -> None:
        """Record the end of a run that the upstream had begun."""
        run = member.load.end(key, now)
        if outcome is RunOutcome.COMPLETED and run is not None:
            self._placement.record_response(member, run.granted_at, now)
        member.breaker.record(outcome, now)
        if outcome is RunOutcome.BROKEN and member.breaker.is_blocked(now):
            member.cold.record_lost(now)

    def _member_of(self, key: AdmissionKey) -> PoolMember | None:
        upstream_id = self._upstream_by_run.get(key)
        return (
            None
            if upstream_id is None
            else self._placement.member_by_id[upstream_id]
        )

    def _drop_run(self, key: AdmissionKey) -> None:
        upstream_id = self._upstream_by_run.pop(key)
        member = self._placement.member_by_id[upstream_id]
        run = member.load.run_by_key[key]
        member.load.end(key, run.granted_at)
        self._placement.record_load_change(member)

    def _grant_waiting(self, now: float) -> list[AdmissionDecision]:
        """Grant queued requests until no upstream has room for one of them."""
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
        available_members = self._placement.available_members(now)
        if not available_members:
            return None
        earliest_first_chunk_at = now + self._placement.min_first_chunk_seconds
        examined = 0
        for workspace in self._queue.workspaces_in_order():
            for admission in self._queue.most_urgent(
                workspace, LOOKAHEAD_PER_WORKSPACE, earliest_first_chunk_at
            ):
                examined += 1
                member = self._placement.choose(
                    admission, available_members, now
                )
                if member is not None:
                    return self._grant(admission, member, now)
            if examined >= LOOKAHEAD_TOTAL:
                break
        return None

    def _grant(
        self, admission: Admission, member: PoolMember, now: float
    ) -> Granted:
        self._queue.remove(admission)
        cost = member.load.request_cost(admission)
        self._recent_grants.append((now, cost))
        self._prune_grants(now)
        charged = cost + OUTPUT_TOKEN_COST * admission.output_tokens
        self._queue.charge(admission.workspace, charged)
        self.granted.add(admission.workspace, round(charged))
        fetch_from = self._placement.fetch_source(admission, member)
        if admission.shared_parts and isinstance(member.load, EngineLoad):
            self.shared_prompts.add(
                admission.prompt_tokens - admission.own_tokens,
                round(cost) - admission.own_tokens,
                is_copied=bool(fetch_from),
            )
        self._record_new_prompt(admission, member, cost)
        upstream_id = member.entry.upstream_id
        member.load.begin(admission, now)
        self._placement.record_grant(member, now)
        self._upstream_by_run[admission.key] = upstream_id
        return Granted(admission.key, upstream_id, fetch_from)

    def pop_shared_prompts(self) -> SharedPromptTally:
        """Return the shared prompt parts granted since the last call."""
        tally, self.shared_prompts = self.shared_prompts, SharedPromptTally()
        return tally

    def pop_new_prompts(self) -> dict[int, str]:
        """Return the prompts that upstreams have taken into their caches.

        Returns:
            Upstream of each prompt since the last call, by the key of the last
            shared part. Short prompts are left out.
        """
        new, self._new_prompts = self._new_prompts, {}
        return new

    def record_prompts_elsewhere(
        self, upstream_by_part_key: Mapping[int, str]
    ) -> None:
        """Record which upstreams of other pools hold some prompts."""
        for key, upstream_id in upstream_by_part_key.items():
            self._placement.prompts_elsewhere.record_key(key, upstream_id)

    def _record_new_prompt(
        self, admission: Admission, member: PoolMember, cost: float
    ) -> None:
        if cost - admission.own_tokens >= MIN_ANNOUNCED_TOKENS:
            key = admission.shared_parts[-1].key
            self._new_prompts[key] = member.entry.upstream_id

    def _with_original_target(
        self, admission: Admission, now: float
    ) -> Admission:
        """Return a request with the latency target of its first attempt."""
        latency_target_at = self._first_attempt_targets.pop_target(
            admission.workspace, admission.identity, now
        )
        if latency_target_at is None:
            return admission
        return replace(
            admission,
            latency_target_at=min(
                latency_target_at, admission.latency_target_at
            ),
        )

    def _due_at(self, admission: Admission, cost: float) -> float:
        """Return when the first chunk is due, allowing for prefill time."""
        rate = max(
            (item.load.rate for item in self._placement.member_by_id.values()),
            default=1.0,
        )
        return admission.latency_target_at + PREFILL_GRACE_FACTOR * cost / rate

    def _grant_rate(self, admission: Admission, now: float) -> float:
        """Return the cost that the pool can grant per second.

        Only upstreams that the request may use count.
        """
        nominal = sum(
            self._placement.grantable_rate(member, admission, now)
            for upstream_id, member in self._placement.member_by_id.items()
            if not member.breaker.is_blocked(now)
            and upstream_id not in admission.excluded
        )
        since = self._backlogged_since
        if since is None or now - since < GRANT_RATE_WINDOW_SECONDS:
            return nominal
        self._prune_grants(now)
        measured = (
            sum(cost for _, cost in self._recent_grants)
            / GRANT_RATE_WINDOW_SECONDS
        )
        return min(nominal, max(measured, MIN_GRANT_RATE_FRACTION * nominal))

    def _prune_grants(self, now: float) -> None:
        while (
            self._recent_grants
            and self._recent_grants[0][0] < now - GRANT_RATE_WINDOW_SECONDS
        ):
            self._recent_grants.popleft()

    def _expected_wait(
        self, admission: Admission, due_at: float, now: float
    ) -> float:
        """Return the expected wait for a grant under fair sharing."""
        rate = self._grant_rate(admission, now)
        if rate <= 0:
            return 0.0
        earliest_first_chunk_at = now + self._placement.min_first_chunk_seconds
        cost_ahead = self._queue.cost_ahead(
            admission, due_at, earliest_first_chunk_at
        )
        fair_cost = cost_ahead * max(1, self._queue.workspace_count)
        return min(self._queue.total_cost, fair_cost) / rate

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
        first_chunk = min(
            member.load.first_chunk_seconds(admission) for member in members
        )
        slack = due_at - now - first_chunk
        timeout_slack = admission.first_chunk_deadline_at - now - first_chunk
        target = max(0.0, admission.latency_target_at - admission.arrived_at)
        allowed = max(slack, LONG_PROMPT_WAIT_FRACTION * target)
        if admission.latency_target_at < now:
            # A retry: the target of the first attempt has already passed.
            time_left = admission.deadline_at - now
            allowed = max(allowed, RETRIED_WAIT_FRACTION * time_left)
        wait = self._expected_wait(admission, due_at, now)
        is_too_long = WAIT_SAFETY_FACTOR * wait > min(allowed, timeout_slack)
        return REASON_OVERLOADED if is_too_long else None

    def _can_end_in_time(
        self, admission: Admission, members: list[PoolMember], now: float
    ) -> bool:
        """Return whether the response may be complete by the deadline."""
        run_seconds = min(item.load.run_seconds(admission) for item in members)
        needed = max(MIN_RUN_SECONDS, MIN_RUN_FRACTION * run_seconds)
        return admission.deadline_at - now >= needed

    def _shed_reason(self, admission: Admission, now: float) -> str | None:
        members = self._placement.candidates(admission, now)
        if not members:
            return REASON_NO_UPSTREAM
        if not self._can_end_in_time(admission, members, now):
            return REASON_DEADLINE
        if now < admission.latency_target_at:
            return None
        limit = SHED_WAIT_FACTOR * (
            admission.latency_target_at - admission.arrived_at
        )
        if admission.latency_target_at < admission.arrived_at:
            budget = admission.deadline_at - admission.arrived_at
            limit = SHED_WAIT_FACTOR * RETRIED_WAIT_FRACTION * budget
        due_at = self._queue.due_at(admission.key)
        wait = self._expected_wait(admission, due_at, now)
        if now + wait - admission.arrived_at > limit:
            return REASON_OVERLOADED
        time_left = admission.first_chunk_deadline_at - now - wait
        if time_left > FIRST_CHUNK_CHECK_SECONDS:
            return None
        first_chunk = min(
            member.load.first_chunk_seconds(admission) for member in members
        )
        return REASON_OVERLOADED if first_chunk > time_left else None

    def _decline(
        self, admission: Admission, due_at: float, reason: str, now: float
    ) -> Declined:
        self.declined.add(admission.workspace)
        self._first_attempt_targets.record(
            admission.workspace,
            admission.identity,
            admission.latency_target_at,
            now,
        )
        wait = self._expected_wait(admission, due_at, now)
        digest = xxhash.xxh32_intdigest(str(admission.key.number).encode())
        spread = 1.0 + digest / 2**32
        longest = MAX_RETRY_AFTER_FRACTION * (admission.deadline_at - now)
        seconds = max(MIN_RETRY_AFTER_SECONDS, longest / 2, wait) * spread
        return Declined(
            admission.key, reason, wait, max(0.05, min(longest, seconds))
        )
