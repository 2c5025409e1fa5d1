"""What runs on one upstream, and what it can take beside that."""

from dataclasses import dataclass, field, replace
from typing import NamedTuple, Protocol

from lacewingspar_core.admission_events import Admission, AdmissionKey
from lacewingspar_core.linear_fit import LinearFit
from lacewingspar_core.prefix_memory import PrefixMemory, PromptPart
from lacewingspar_core.routing import EngineProfile

# Prompt tokens that wait at an engine are bounded to this much reading time.
# Engines admit in order of arrival, so whatever waits there can no longer be
# reordered; a shorter time would leave the engine idle between two grants.
ENGINE_BACKLOG_SECONDS = 0.12
# An engine with less than this part of that backlog takes a prompt of any size.
# Otherwise small prompts would fill each gap before a long one fits.
ANY_SIZE_FRACTION = 0.5
# Part of an engine's memory that requests may fill. The rest keeps the shared
# parts of prompts and absorbs answers that are longer than expected.
MEMORY_FRACTION = 0.9
# Reading rate of an engine before anything was measured, in tokens a second,
# where the operators give no estimate.
DEFAULT_TOKENS_PER_SECOND = 30_000.0
# Lowest measured reading rate that is believed, as a part of the estimate.
LEAST_RATE_FRACTION = 0.05
# Seconds a token at which a measured rate stops to make sense.
_FASTEST_TOKEN = 1e-6
# Time from sending to the first event without any reading, before anything
# was measured.
DEFAULT_FIRST_EVENT_SECONDS = 0.03
# Time to write one token before anything was measured, and the bound of what is
# measured, since estimates of the length of an answer are often far too short.
DEFAULT_TOKEN_SECONDS = 0.01
LONGEST_TOKEN_SECONDS = 0.1
TOKEN_SECONDS_WEIGHT = 0.05
# Mean run time of a plain call before anything was measured.
DEFAULT_CALL_SECONDS = 0.05
CALL_SECONDS_WEIGHT = 0.1
# Tokens at which the first estimate of the reading rate is taken: a long
# prompt.
_PRIOR_TOKENS = 8000.0


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A request that was granted an upstream and has not ended.

    Attributes:
        key: Identity of the request.
        upstream_id: The upstream.
        unread_tokens: Prompt tokens that the upstream has to read, or 0 once
            the first event has come.
        memory_tokens: Tokens that the request takes of the memory.
        ends_by: Time at which the caller waits no longer.
        granted_at: Time of the grant.
        read_ahead_tokens: Unread tokens at the upstream when it was granted,
            its own included.
        output_tokens: Expected tokens of the answer.
    """

    key: AdmissionKey
    upstream_id: str
    unread_tokens: int
    memory_tokens: int
    ends_by: float
    granted_at: float
    read_ahead_tokens: int = 0
    output_tokens: int = 0


class Fit(NamedTuple):
    """How a request suits an upstream now.

    Attributes:
        first_part_seconds: Expected time from sending to the first part.
        held_tokens: Tokens of the prompt that the upstream holds.
        has_room: Whether the request may be sent now.
    """

    first_part_seconds: float
    held_tokens: int
    has_room: bool


class UpstreamLoad(Protocol):
    """Load of one upstream."""

    run_by_key: dict[AdmissionKey, ActiveRun]

    @property
    def is_open(self) -> bool:
        """Return whether some request may be sent now."""

    @property
    def lead_seconds(self) -> float:
        """Return the expected time to the first part of a small request."""

    def assess(self, admission: Admission) -> Fit:
        """Return how a request suits the upstream now."""

    def first_part_seconds(self, admission: Admission) -> float:
        """Return the expected time from sending to the first part."""

    def run_seconds(self, admission: Admission) -> float:
        """Return the expected time from sending to the end of the answer."""

    def read_cost(self, admission: Admission) -> float:
        """Return what the request costs here, in units of the rate."""

    @property
    def rate(self) -> float:
        """Return the cost that the upstream can take in a second."""

    def begin(self, admission: Admission, now: float) -> None:
        """Note that a request was granted."""

    def adopt(self, run: ActiveRun) -> None:
        """Note a run that another router granted."""

    def note_first_part(self, key: AdmissionKey, now: float) -> None:
        """Note that the first part of an answer has come."""

    def end(self, key: AdmissionKey, now: float) -> ActiveRun | None:
        """Note the end of a run and return it, if it was known."""

    def forget_memory(self) -> None:
        """Note that the upstream has started anew."""


@dataclass(slots=True)
class EngineLoad:
    """Load of a model engine: unread prompt tokens, slots and memory.

    Attributes:
        upstream_id: The engine.
        profile: What the operators say about it.
        prior_tokens_per_second: Reading rate before measurements.
        rate: Prompt tokens that the engine reads in a second.
    """

    upstream_id: str
    profile: EngineProfile
    prior_tokens_per_second: float
    run_by_key: dict[AdmissionKey, ActiveRun] = field(default_factory=dict)
    unread_tokens: int = 0
    memory_tokens: int = 0
    token_seconds: float = DEFAULT_TOKEN_SECONDS
    rate: float = field(init=False)
    memory: PrefixMemory = field(init=False)
    _first_event: LinearFit = field(init=False)

    def __post_init__(self) -> None:
        self.memory = PrefixMemory(self.profile.memory_tokens)
        self._first_event = LinearFit(
            slope=1 / self._prior_rate,
            intercept=DEFAULT_FIRST_EVENT_SECONDS,
            prior_x=_PRIOR_TOKENS,
        )
        self.rate = self._measured_rate()

    @property
    def _prior_rate(self) -> float:
        return self.prior_tokens_per_second or DEFAULT_TOKENS_PER_SECOND

    @property
    def is_open(self) -> bool:
        """Return whether some request may be sent now."""
        return not self.run_by_key or (
            len(self.run_by_key) < self.profile.slots
            and self.unread_tokens < ENGINE_BACKLOG_SECONDS * self.rate
        )

    @property
    def lead_seconds(self) -> float:
        """Return the expected time to the first part of a small request."""
        return self._first_event.at(self.unread_tokens)

    def assess(self, admission: Admission) -> Fit:
        """Return how a request suits the engine now.

        This is asked for each engine at each decision, so it does in one call
        what the other methods do in several.
        """
        parts = admission.shared_parts
        held = self.memory.held_tokens(parts) if parts else 0
        unread = self.unread_tokens + admission.prompt_tokens - held
        first_part = self._first_event
        return Fit(
            first_part.intercept + first_part.slope * unread,
            held,
            not self.run_by_key or self._has_room(admission, unread),
        )

    def _has_room(self, admission: Admission, unread: int) -> bool:
        """Return whether a request may join those that run.

        Args:
            admission: The request.
            unread: Tokens that the engine would have to read with it.
        """
        profile = self.profile
        if len(self.run_by_key) >= profile.slots:
            return False
        memory = self.memory_tokens + _memory_tokens(admission)
        if memory > MEMORY_FRACTION * profile.memory_tokens:
            return False
        limit = ENGINE_BACKLOG_SECONDS * self.rate
        return self.unread_tokens <= ANY_SIZE_FRACTION * limit or (
            unread <= limit
        )

    def tokens_to_read(self, admission: Admission) -> int:
        """Return the prompt tokens that the engine does not hold."""
        held = self.memory.held_tokens(admission.shared_parts)
        return admission.prompt_tokens - held

    def first_part_seconds(self, admission: Admission) -> float:
        """Return the expected time from sending to the first event."""
        return self._first_event.at(
            self.unread_tokens + self.tokens_to_read(admission)
        )

    def read_cost(self, admission: Admission) -> float:
        """Return the prompt tokens that the engine would have to read."""
        return float(self.tokens_to_read(admission))

    def _measured_rate(self) -> float:
        least = LEAST_RATE_FRACTION * self._prior_rate
        return max(least, 1 / max(_FASTEST_TOKEN, self._first_event.slope))

    def begin(self, admission: Admission, now: float) -> None:
        """Note that a request was granted."""
        unread = self.tokens_to_read(admission)
        self.memory.note_use(
            admission.shared_parts,
            admission.own_tokens + admission.output_tokens,
        )
        self.adopt(
            ActiveRun(
                key=admission.key,
                upstream_id=self.upstream_id,
                unread_tokens=unread,
                memory_tokens=_memory_tokens(admission),
                ends_by=admission.deadline_at,
                granted_at=now,
                read_ahead_tokens=self.unread_tokens + unread,
                output_tokens=admission.output_tokens,
            )
        )

    def adopt(self, run: ActiveRun) -> None:
        """Note a run that another router granted."""
        self.run_by_key[run.key] = run
        self.unread_tokens += run.unread_tokens
        self.memory_tokens += run.memory_tokens

    def note_first_part(self, key: AdmissionKey, now: float) -> None:
        """Note that the prompt has been read, and learn from the time."""
        run = self.run_by_key.get(key)
        if run is None or run.unread_tokens == 0:
            return
        if run.read_ahead_tokens:
            self._first_event.add(run.read_ahead_tokens, now - run.granted_at)
            self.rate = self._measured_rate()
        self.unread_tokens -= run.unread_tokens
        self.run_by_key[key] = replace(
            run, unread_tokens=0, granted_at=now, read_ahead_tokens=0
        )

    def end(self, key: AdmissionKey, now: float) -> ActiveRun | None:
        """Note the end of a run and return it, if it was known."""
        run = self.run_by_key.pop(key, None)
        if run is not None:
            self._learn_write_time(run, now)
            self.unread_tokens -= run.unread_tokens
            self.memory_tokens -= run.memory_tokens
        return run

    def run_seconds(self, admission: Admission) -> float:
        """Return the expected time from sending to the end of the answer."""
        write_seconds = admission.output_tokens * self.token_seconds
        return self.first_part_seconds(admission) + write_seconds

    def _learn_write_time(self, run: ActiveRun, now: float) -> None:
        if run.unread_tokens or not run.output_tokens:
            return
        seconds = max(0.0, now - run.granted_at) / run.output_tokens
        self.token_seconds += TOKEN_SECONDS_WEIGHT * (
            min(seconds, LONGEST_TOKEN_SECONDS) - self.token_seconds
        )

    def forget_memory(self) -> None:
        """Note that the engine has started anew and holds nothing."""
        self.memory.clear()


@dataclass(slots=True)
class PlainLoad:
    """Load of an upstream that runs calls in slots.

    Attributes:
        upstream_id: The upstream.
        slots: Calls that it runs at once.
    """

    upstream_id: str
    slots: int
    run_by_key: dict[AdmissionKey, ActiveRun] = field(default_factory=dict)
    call_seconds: float = DEFAULT_CALL_SECONDS

    @property
    def is_open(self) -> bool:
        """Return whether a call may be sent now."""
        return len(self.run_by_key) < self.slots

    @property
    def lead_seconds(self) -> float:
        """Return the expected time of a call."""
        return self.call_seconds

    def assess(self, admission: Admission) -> Fit:
        """Return how a call suits the upstream now."""
        return Fit(self.first_part_seconds(admission), 0, self.is_open)

    def first_part_seconds(self, admission: Admission) -> float:
        """Return the expected time until the answer."""
        del admission
        waiting = max(0, len(self.run_by_key) + 1 - self.slots)
        busy = len(self.run_by_key) / self.slots
        return self.call_seconds * (1 + waiting / self.slots + 0.1 * busy)

    def run_seconds(self, admission: Admission) -> float:
        """Return the expected time until the answer."""
        return self.first_part_seconds(admission)

    def read_cost(self, admission: Admission) -> float:
        """Return the cost of one call."""
        del admission
        return 1.0

    @property
    def rate(self) -> float:
        """Return the calls that the upstream runs in a second."""
        return self.slots / self.call_seconds

    def begin(self, admission: Admission, now: float) -> None:
        """Note that a call was granted."""
        self.adopt(
            ActiveRun(
                key=admission.key,
                upstream_id=self.upstream_id,
                unread_tokens=0,
                memory_tokens=0,
                ends_by=admission.deadline_at,
                granted_at=now,
            )
        )

    def adopt(self, run: ActiveRun) -> None:
        """Note a call that another router granted."""
        self.run_by_key[run.key] = run

    def note_first_part(self, key: AdmissionKey, now: float) -> None:
        """Do nothing; a call takes its slot until it ends."""

    def end(self, key: AdmissionKey, now: float) -> ActiveRun | None:
        """Note the end of a call and learn from its time."""
        run = self.run_by_key.pop(key, None)
        if run is not None:
            seconds = max(0.001, now - run.granted_at)
            self.call_seconds += CALL_SECONDS_WEIGHT * (
                seconds - self.call_seconds
            )
        return run

    def forget_memory(self) -> None:
        """Do nothing; plain upstreams hold nothing between calls."""


def held_prefix_tokens(
    load: UpstreamLoad, parts: tuple[PromptPart, ...]
) -> int:
    """Return the tokens of the leading parts that an upstream holds."""
    match load:
        case EngineLoad():
            return load.memory.held_tokens(parts)
        case _:
            return 0


def _memory_tokens(admission: Admission) -> int:
    return admission.prompt_tokens + admission.output_tokens
