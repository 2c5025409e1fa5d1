"""Current load and remaining capacity of one upstream."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import NamedTuple, Protocol

from lacewingspar_core.admission_events import Admission, AdmissionKey
from lacewingspar_core.linear_fit import LinearFit
from lacewingspar_core.prefix_cache import PrefixCache, PromptPart
from lacewingspar_core.reported_load import ReportedLoad
from lacewingspar_core.routing import EngineProfile

# Maximum prefill time of the prompt tokens that wait at an engine. Engines
# process requests in order of arrival, so those can no longer be reordered. A
# shorter time would leave the engine idle between two grants.
PREFILL_BACKLOG_SECONDS = 0.12
# An engine whose backlog is at most this fraction of the maximum accepts a
# prompt of any size. Otherwise small prompts would starve long ones.
ANY_PROMPT_BACKLOG_FRACTION = 0.5
# Fraction of an engine's KV cache that running requests may fill. The rest
# keeps shared prompt parts and absorbs responses longer than expected.
KV_CACHE_FRACTION = 0.9
# Initial prefill rate of an engine if the operators give no estimate.
DEFAULT_PREFILL_TOKENS_PER_SECOND = 30_000.0
# Lower bound of the measured prefill rate as a fraction of the initial one.
MIN_PREFILL_RATE_FRACTION = 0.05
# Lower bound of the fitted prefill time per token; avoids division by zero.
_MIN_PREFILL_SECONDS_PER_TOKEN = 1e-6
# Initial estimate of the time to the first chunk without any prefill.
DEFAULT_FIRST_CHUNK_SECONDS = 0.03
# Initial estimate of the time to generate one token, and the upper bound of a
# sample: estimates of the response length are often far too low.
DEFAULT_DECODE_SECONDS_PER_TOKEN = 0.01
MAX_DECODE_SECONDS_PER_TOKEN = 0.1
DECODE_TIME_WEIGHT = 0.05
# Time that an engine with reported load must save to be chosen with all slots
# in use over an idle one. It evens out the running requests, which do not count
# otherwise, and is less than the prefill of a long shared prompt part.
OCCUPANCY_SECONDS = 0.15
# Initial estimate of the run time of a plain call.
DEFAULT_CALL_SECONDS = 0.05
CALL_TIME_WEIGHT = 0.1
# Weight of the share of its slots in use in the score of an upstream with
# reported load, in run times of a call. It spreads calls over upstreams whose
# speeds differ by up to a factor of two.
CALL_OCCUPANCY_FACTOR = 1.0
# Added to that score while all slots are in use, in run times of a call. Calls
# would otherwise wait for the fastest upstream beside idle slower ones: of four
# upstreams at 0.55 to 1.2 times the usual speed, with 60% of the load that they
# can serve, 16% of the calls were declined in simulation.
CALL_QUEUE_FACTOR = 2.0
# Prompt length, that of a long prompt, at which the initial prefill rate counts
# as a sample of the fit.
_PRIOR_PROMPT_TOKENS = 8000.0


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A request that was granted an upstream and has not ended.

    Attributes:
        key: Identity of the request.
        upstream_id: Upstream that runs the request.
        pending_prefill_tokens: Prompt tokens that the upstream has to prefill,
            or 0 once the first chunk has arrived.
        memory_tokens: Tokens that the request occupies in the KV cache.
        deadline_at: Deadline of the request.
        granted_at: Time of the grant, or of the first chunk once it has
            arrived.
        prefill_ahead_tokens: Pending prefill tokens of the upstream at the
            time of the grant, including those of the request; 0 if unknown.
        output_tokens: Expected tokens of the response.
    """

    key: AdmissionKey
    upstream_id: str
    pending_prefill_tokens: int
    memory_tokens: int
    deadline_at: float
    granted_at: float
    prefill_ahead_tokens: int = 0
    output_tokens: int = 0


class PlacementEstimate(NamedTuple):
    """Estimate for running a request on an upstream now.

    Attributes:
        first_chunk_seconds: Expected time from sending to the first chunk.
        cached_tokens: Prompt tokens in the KV cache of the upstream.
        has_room: Whether the request may be sent now.
    """

    first_chunk_seconds: float
    cached_tokens: int
    has_room: bool


class UpstreamLoad(Protocol):
    """Load of one upstream."""

    run_by_key: dict[AdmissionKey, ActiveRun]
    reported: ReportedLoad

    @property
    def occupancy(self) -> float:
        """Return the share of the slots in use, by requests of any owner."""

    @property
    def is_available(self) -> bool:
        """Return whether any request may be sent now."""

    @property
    def min_first_chunk_seconds(self) -> float:
        """Return the expected time to the first chunk of a small request."""

    def assess(self, admission: Admission) -> PlacementEstimate:
        """Return the estimate for running a request here now."""

    def first_chunk_seconds(self, admission: Admission) -> float:
        """Return the expected time from sending to the first chunk."""

    def run_seconds(self, admission: Admission) -> float:
        """Return the expected time from sending to the end of the response."""

    def request_cost(self, admission: Admission) -> float:
        """Return the cost of the request here, in units of the rate."""

    @property
    def rate(self) -> float:
        """Return the cost that the upstream can process per second."""

    def begin(self, admission: Admission, now: float) -> None:
        """Add the run of a request that was granted."""

    def add_run(self, run: ActiveRun) -> None:
        """Add a run, for example one that another router granted."""

    def record_first_chunk(self, key: AdmissionKey, now: float) -> None:
        """Record the first chunk of a response."""

    def end(self, key: AdmissionKey, now: float) -> ActiveRun | None:
        """Remove a run that has ended, and return it if it was known."""

    def cancel(self, key: AdmissionKey, now: float) -> None:
        """Remove a run that was cancelled, or not sent at all."""

    def discard(self, key: AdmissionKey) -> None:
        """Remove a run that the upstream refused."""

    def clear_cache(self) -> None:
        """Clear the model of the KV cache after a restart of the upstream."""


@dataclass(slots=True)
class EngineLoad:
    """Load of a model engine: pending prefill, slots and KV cache.

    Attributes:
        upstream_id: The engine.
        profile: Capacity of the engine as configured by the operators.
        prior_tokens_per_second: Initial prefill rate, or 0 for the default.
        run_by_key: Runs that have not ended.
        reported: Load that the engine has reported.
        pending_prefill_tokens: Prompt tokens that the engine has to prefill.
        memory_tokens: KV cache tokens that the runs occupy.
        decode_seconds_per_token: Moving average of the time to generate one
            token.
        rate: Prompt tokens that the engine prefills per second.
        prefix_cache: Model of the prompt parts in the KV cache.
    """

    upstream_id: str
    profile: EngineProfile
    prior_tokens_per_second: float
    run_by_key: dict[AdmissionKey, ActiveRun] = field(default_factory=dict)
    reported: ReportedLoad = field(default_factory=ReportedLoad)
    pending_prefill_tokens: int = 0
    memory_tokens: int = 0
    decode_seconds_per_token: float = DEFAULT_DECODE_SECONDS_PER_TOKEN
    rate: float = field(init=False)
    prefix_cache: PrefixCache = field(init=False)
    _first_chunk_fit: LinearFit = field(init=False)

    def __post_init__(self) -> None:
        self.prefix_cache = PrefixCache(self.profile.memory_tokens)
        self._first_chunk_fit = LinearFit(
            slope=1 / self._prior_rate,
            intercept=DEFAULT_FIRST_CHUNK_SECONDS,
            prior_x=_PRIOR_PROMPT_TOKENS,
        )
        self.rate = self._measured_rate()

    @property
    def _prior_rate(self) -> float:
        return self.prior_tokens_per_second or DEFAULT_PREFILL_TOKENS_PER_SECOND

    @property
    def is_available(self) -> bool:
        """Return whether any request may be sent now."""
        reported = self.reported
        return not self.run_by_key or (
            len(self.run_by_key) + reported.other_runs < self.profile.slots
            and self.pending_prefill_tokens * reported.slowdown
            < PREFILL_BACKLOG_SECONDS * self.rate
        )

    @property
    def min_first_chunk_seconds(self) -> float:
        """Return the expected time to the first chunk of a small request."""
        seconds = self._first_chunk_fit.at(self.pending_prefill_tokens)
        return seconds * self.reported.slowdown

    @property
    def occupancy(self) -> float:
        """Return the share of the slots in use, by requests of any owner."""
        runs = len(self.run_by_key) + self.reported.other_runs
        return runs / self.profile.slots

    def assess(self, admission: Admission) -> PlacementEstimate:
        """Return the estimate for running a request here now.

        Every decision calls this method for each engine, so it combines the
        work of several other methods for speed.
        """
        parts = admission.shared_parts
        cached = self.prefix_cache.cached_tokens(parts) if parts else 0
        pending = self.pending_prefill_tokens + admission.prompt_tokens - cached
        first_chunk = self._first_chunk_fit
        seconds = first_chunk.intercept + first_chunk.slope * pending
        reported = self.reported
        if reported.report is not None:
            runs = len(self.run_by_key) + reported.other_runs
            seconds = reported.slowdown * (
                seconds + OCCUPANCY_SECONDS * runs / self.profile.slots
            )
        return PlacementEstimate(
            seconds,
            cached,
            not self.run_by_key or self._has_room(admission, pending),
        )

    def _has_room(self, admission: Admission, pending: int) -> bool:
        """Return whether a request may run beside the current ones.

        Args:
            admission: The request.
            pending: Pending prefill tokens of the engine including the request.
        """
        profile = self.profile
        reported = self.reported
        if len(self.run_by_key) + reported.other_runs >= profile.slots:
            return False
        needed = self.memory_tokens + _required_memory_tokens(admission)
        if needed > KV_CACHE_FRACTION * profile.memory_tokens:
            return False
        limit = PREFILL_BACKLOG_SECONDS * self.rate / reported.slowdown
        return (
            self.pending_prefill_tokens <= ANY_PROMPT_BACKLOG_FRACTION * limit
            or (pending <= limit)
        )

    def uncached_tokens(self, admission: Admission) -> int:
        """Return the prompt tokens that are not in the KV cache."""
        cached = self.prefix_cache.cached_tokens(admission.shared_parts)
        return admission.prompt_tokens - cached

    def first_chunk_seconds(self, admission: Admission) -> float:
        """Return the expected time from sending to the first chunk."""
        seconds = self._first_chunk_fit.at(
            self.pending_prefill_tokens + self.uncached_tokens(admission)
        )
        return seconds * self.reported.slowdown

    def request_cost(self, admission: Admission) -> float:
        """Return the prompt tokens that the engine would have to prefill."""
        return float(self.uncached_tokens(admission))

    def _measured_rate(self) -> float:
        least = MIN_PREFILL_RATE_FRACTION * self._prior_rate
        return max(
            least,
            1
            / max(_MIN_PREFILL_SECONDS_PER_TOKEN, self._first_chunk_fit.slope),
        )

    def begin(self, admission: Admission, now: float) -> None:
        """Add the run of a request that was granted."""
        uncached = self.uncached_tokens(admission)
        self.prefix_cache.record_use(
            admission.shared_parts,
            admission.own_tokens + admission.output_tokens,
        )
        self.add_run(
            ActiveRun(
                key=admission.key,
                upstream_id=self.upstream_id,
                pending_prefill_tokens=uncached,
                memory_tokens=_required_memory_tokens(admission),
                deadline_at=admission.deadline_at,
                granted_at=now,
                prefill_ahead_tokens=self.pending_prefill_tokens + uncached,
                output_tokens=admission.output_tokens,
            )
        )

    def add_run(self, run: ActiveRun) -> None:
        """Add a run, for example one that another router granted."""
        self.run_by_key[run.key] = run
        self.pending_prefill_tokens += run.pending_prefill_tokens
        self.memory_tokens += run.memory_tokens

    def record_first_chunk(self, key: AdmissionKey, now: float) -> None:
        """Record the end of the prefill, and update its measured rate."""
        run = self.run_by_key.get(key)
        if run is None or run.pending_prefill_tokens == 0:
            return
        if run.prefill_ahead_tokens:
            self._first_chunk_fit.add(
                run.prefill_ahead_tokens, now - run.granted_at
            )
            self.rate = self._measured_rate()
        self.pending_prefill_tokens -= run.pending_prefill_tokens
        self.run_by_key[key] = replace(
            run,
            pending_prefill_tokens=0,
            granted_at=now,
            prefill_ahead_tokens=0,
        )

    def end(self, key: AdmissionKey, now: float) -> ActiveRun | None:
        """Remove a run that has ended, and return it if it was known."""
        run = self.run_by_key.pop(key, None)
        if run is not None:
            self._update_decode_time(run, now)
            self.pending_prefill_tokens -= run.pending_prefill_tokens
            self.memory_tokens -= run.memory_tokens
        return run

    def cancel(self, key: AdmissionKey, now: float) -> None:
        """Remove a run that was cancelled, or not sent at all."""
        self.end(key, now)

    def discard(self, key: AdmissionKey) -> None:
        """Remove a run that the engine refused."""
        run = self.run_by_key.pop(key, None)
        if run is not None:
            self.pending_prefill_tokens -= run.pending_prefill_tokens
            self.memory_tokens -= run.memory_tokens

    def run_seconds(self, admission: Admission) -> float:
        """Return the expected time from sending to the end of the response."""
        decode_seconds = admission.output_tokens * self.decode_seconds_per_token
        return self.first_chunk_seconds(admission) + decode_seconds

    def _update_decode_time(self, run: ActiveRun, now: float) -> None:
        if run.pending_prefill_tokens or not run.output_tokens:
            return
        seconds = max(0.0, now - run.granted_at) / run.output_tokens
        self.decode_seconds_per_token += DECODE_TIME_WEIGHT * (
            min(seconds, MAX_DECODE_SECONDS_PER_TOKEN)
            - self.decode_seconds_per_token
        )

    def clear_cache(self) -> None:
        """Clear the model of the KV cache after a restart of the engine."""
        self.prefix_cache.clear()


@dataclass(slots=True)
class PlainLoad:
    """Load of an upstream that runs calls in slots.

    Attributes:
        upstream_id: The upstream.
        slots: Number of calls that it runs concurrently.
        run_by_key: Calls that have not ended.
        reported: Load that the upstream has reported.
        call_seconds: Moving average of the run time of a call.
    """

    upstream_id: str
    slots: int
    run_by_key: dict[AdmissionKey, ActiveRun] = field(default_factory=dict)
    reported: ReportedLoad = field(default_factory=ReportedLoad)
    call_seconds: float = DEFAULT_CALL_SECONDS

    @property
    def is_available(self) -> bool:
        """Return whether a call may be sent now."""
        own = len(self.run_by_key)
        # A wrong report never keeps all calls away.
        return own < self.slots and (
            not own or own + self.reported.other_runs < self.slots
        )

    @property
    def min_first_chunk_seconds(self) -> float:
        """Return the expected run time of a call."""
        return self.call_seconds * self.reported.slowdown

    @property
    def occupancy(self) -> float:
        """Return the share of the slots in use, by calls of any owner."""
        runs = len(self.run_by_key) + self.reported.other_runs
        return runs / self.slots

    def assess(self, admission: Admission) -> PlacementEstimate:
        """Return the estimate for running a call here now."""
        seconds = self.first_chunk_seconds(admission)
        has_room = self.is_available
        reported = self.reported
        if reported.report is not None:
            factor = CALL_OCCUPANCY_FACTOR * self.occupancy
            if not has_room:
                factor += CALL_QUEUE_FACTOR
            seconds += factor * self.call_seconds * reported.slowdown
        return PlacementEstimate(seconds, 0, has_room)

    def first_chunk_seconds(self, admission: Admission) -> float:
        """Return the expected time from sending to the response."""
        del admission
        reported = self.reported
        runs = len(self.run_by_key) + reported.other_runs
        waiting = max(0.0, runs + 1 - self.slots)
        seconds = self.call_seconds * reported.slowdown
        return seconds * (1 + waiting / self.slots + 0.1 * self.occupancy)

    def run_seconds(self, admission: Admission) -> float:
        """Return the expected time from sending to the response."""
        return self.first_chunk_seconds(admission)

    def request_cost(self, admission: Admission) -> float:
        """Return the cost of one call, which is constant."""
        del admission
        return 1.0

    @property
    def rate(self) -> float:
        """Return the number of calls that the upstream can run per second."""
        return self.slots / self.call_seconds

    def begin(self, admission: Admission, now: float) -> None:
        """Add the run of a call that was granted."""
        self.add_run(
            ActiveRun(
                key=admission.key,
                upstream_id=self.upstream_id,
                pending_prefill_tokens=0,
                memory_tokens=0,
                deadline_at=admission.deadline_at,
                granted_at=now,
            )
        )

    def add_run(self, run: ActiveRun) -> None:
        """Add a run, for example one that another router granted."""
        self.run_by_key[run.key] = run

    def record_first_chunk(self, key: AdmissionKey, now: float) -> None:
        """Do nothing; a call occupies its slot until it ends."""

    def end(self, key: AdmissionKey, now: float) -> ActiveRun | None:
        """Remove a call that has ended, and update the mean run time."""
        run = self.run_by_key.pop(key, None)
        if run is not None:
            seconds = max(0.001, now - run.granted_at)
            self.call_seconds += CALL_TIME_WEIGHT * (
                seconds - self.call_seconds
            )
        return run

    def cancel(self, key: AdmissionKey, now: float) -> None:
        """Remove a call that would have taken at least as long as until now."""
        run = self.run_by_key.get(key)
        if run is not None and now - run.granted_at > self.call_seconds:
            self.end(key, now)
        else:
            self.discard(key)

    def discard(self, key: AdmissionKey) -> None:
        """Remove a call that the upstream refused."""
        self.run_by_key.pop(key, None)

    def clear_cache(self) -> None:
        """Do nothing; plain upstreams cache nothing between calls."""


def cached_prefix_tokens(
    load: UpstreamLoad, parts: tuple[PromptPart, ...]
) -> int:
    """Return the tokens of the leading parts in the upstream's KV cache."""
    match load:
        case EngineLoad():
            return load.prefix_cache.cached_tokens(parts)
        case _:
            return 0


def runs_before(run_by_key: Mapping[AdmissionKey, ActiveRun], at: float) -> int:
    """Return the number of runs that were granted by a time."""
    return sum(run.granted_at <= at for run in run_by_key.values())


def _required_memory_tokens(admission: Admission) -> int:
    return admission.prompt_tokens + admission.output_tokens
