"""Quarantine of prompt parts that crash upstreams.

Requests share parts of their prompts. A part can crash each upstream that
begins to respond to it, whatever else a request holds, so crashes are counted
for each part by its own id. The last part of a prompt belongs to one request
and is not counted.

A part is a suspect of a crash if a request with it was in flight at the
upstream and had not begun its response. A response that has begun elsewhere
proves the part: crashes before it do not count. Neither do crashes that happen
together, as in the loss of a data centre: a crash counts after another one only
if the request with the part was sent after that one.

After `CRASHES_UNTIL_REFUSED` such crashes the part is refused for
`FIRST_REFUSAL_SECONDS`, then one request probes it. A crash under a probe
multiplies the time by `REFUSAL_FACTOR`, and a proof ends the quarantine. A part
that was proven before the crashes is first refused for `SUSPICION_SECONDS`, and
for the longer times after further crashes. So is a part that was not, after
`CRASHES_UNTIL_REFUSED` crashes that happened together: they count as one, but
requests with a part that crashes upstreams may come at once. Parts
that have taken part in the same crashes are refused only together until a
request with one of them has crashed or proven it.

If the requests of the crashes came from one workspace, only that one is
refused, so that it cannot have the parts of others refused. Upstreams do not
tell workspaces apart, so a part that crashes in two is refused in all.

Routers merge each other's crashes by union and keep the latest proof, so the
order and repetition of messages do not matter, and every decision is a function
of the records and the time.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TypeAlias

from lacewingspar_core.messages import PartCrash, PartRecord
from lacewingspar_core.prompt_suspects import (
    CRASH_WINDOW_SECONDS,
    MAXIMUM_CRASHES_PER_PART,
    CrashId,
    Prompt,
    PromptRun,
    Suspect,
    SuspectedCrash,
)

# Time for which an unfinished probe keeps other requests with the part waiting.
PROBE_SECONDS = 5.0
# A part that was proven so shortly before a crash is no suspect of it. Popular
# parts are proven all the time, and would otherwise fill the messages.
RECENT_PROOF_SECONDS = 1.0
# These limits bound the memory and the messages. A crash leaves some tens of
# requests that had not begun.
MAXIMUM_PROMPTS_PER_CRASH = 64
MAXIMUM_SUSPECTS = 2048
MAXIMUM_PROVEN_PARTS = 8192
# Fraction of the suspects that are removed at once at the limit.
_EVICTED_FRACTION = 1 / 8
_EXPIRY_INTERVAL_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class PartRefusal:
    """Why a request is refused.

    Attributes:
        part: The part of its prompt that crashes upstreams.
        seconds: Time after which the request may succeed.
    """

    part: str
    seconds: float


@dataclass(frozen=True, slots=True)
class PartQuarantined:
    """A part is refused from now on, or for longer.

    Attributes:
        part: The part.
        upstream_ids: Upstreams whose crashes justify it, oldest first.
        workspaces: Workspaces whose requests took part in the crashes.
        seconds: Time from the last crash to the first probe.
        together_with: Other parts that have taken part in all these crashes.
            Requests without them are not refused.
    """

    part: str
    upstream_ids: tuple[str, ...]
    workspaces: tuple[str, ...]
    seconds: float
    together_with: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PartReleased:
    """A part is no longer refused: it was proven, or an operator says so."""

    part: str


PartEvent: TypeAlias = PartQuarantined | PartReleased


class PromptQuarantine:
    """Prompt parts suspected of crashing the upstreams of one service."""

    def __init__(self) -> None:
        self._suspect_by_part: dict[str, Suspect] = {}
        self._parts_by_crash_id: dict[CrashId, set[str]] = {}
        self._proven_at_by_part: OrderedDict[str, float] = OrderedDict()
        # Request that probes a part, and the time until which it may.
        self._probe_by_part: dict[str, tuple[Prompt, float]] = {}
        self._changed: set[str] = set()
        self._newly_quarantined: set[str] = set()
        self._released: list[PartReleased] = []
        self._expire_at = 0.0

    @property
    def has_changed(self) -> bool:
        """Return whether there is something to publish."""
        return bool(self._changed)

    @property
    def has_suspects(self) -> bool:
        """Return whether a part is suspected of a crash."""
        return bool(self._suspect_by_part)

    def refusal(
        self, prompt: Prompt, now: float, may_probe: Callable[[], bool]
    ) -> PartRefusal | None:
        """Return why a request must not be sent, or None if it may.

        Args:
            prompt: Prompt of the request.
            now: Time in seconds.
            may_probe: Returns whether this router may send probes. One router
                may, so that the fleet sends one at a time.
        """
        if not self._suspect_by_part:
            return None
        due = []
        for part in prompt.parts:
            suspect = self._suspect_by_part.get(part)
            if suspect is None or not _applies(suspect, prompt.workspace):
                continue
            if not self._companions(part, suspect).issubset(prompt.parts):
                continue
            seconds = self._seconds_until_sent(part, suspect, prompt, now)
            if seconds <= 0 and not may_probe():
                seconds = PROBE_SECONDS
            if seconds > 0:
                return PartRefusal(part, seconds)
            due.append(part)
        for part in due:
            probe, _ = self._probe_by_part.get(part, (None, now))
            if probe is not prompt:
                self._probe_by_part[part] = (prompt, now + PROBE_SECONDS)
        return None

    def has_suspect(self, prompt: Prompt) -> bool:
        """Return whether a part of a prompt is suspected of a crash."""
        return bool(self._suspect_by_part) and any(
            part in self._suspect_by_part for part in prompt.parts
        )

    def common_parts(self, crash_ids: Iterable[CrashId]) -> set[str]:
        """Return the suspects that some crashes have in common."""
        return set.intersection(
            *(
                self._parts_by_crash_id.get(crash_id, set())
                for crash_id in crash_ids
            )
        )

    def record_crash(
        self,
        crash_id: CrashId,
        runs: Iterable[PromptRun],
        happened_at: float,
    ) -> None:
        """Record a crash that this router has observed.

        Args:
            crash_id: Upstream that crashed, and the number of its crashes that
                were known when the requests were sent.
            runs: This router's requests in flight at the upstream.
            happened_at: Time at which their connections broke, in seconds.
        """
        waiting = [
            run
            for run in runs
            if run.sent_at <= happened_at and run.begun_at(happened_at) is None
        ]
        waiting.sort(key=lambda run: run.sent_at, reverse=True)
        for run in waiting[:MAXIMUM_PROMPTS_PER_CRASH]:
            crash = SuspectedCrash(
                crash_id[0],
                run.sent_at,
                happened_at,
                frozenset({run.prompt.workspace}),
            )
            for part in run.prompt.parts:
                proven_at = self._proven_at(part)
                if proven_at < happened_at - RECENT_PROOF_SECONDS:
                    self._add(part, crash_id, crash)
                    self._changed.add(part)
        self._expire(happened_at)

    def record_begun(self, runs: Iterable[PromptRun], now: float) -> None:
        """Record the proofs of those requests whose responses have begun."""
        for run in runs:
            begun_at = run.begun_at(now)
            if begun_at is not None:
                self.record_proof(run.prompt, begun_at)

    def record_proof(self, prompt: Prompt, proven_at: float) -> None:
        """Record that a response was complete or had begun at a time."""
        for part in prompt.parts:
            self._prove(part, proven_at)

    def release(self, part: str, now: float) -> bool:
        """End the quarantine of a part on an operator's request.

        Returns:
            Whether the part was in quarantine.
        """
        suspect = self._suspect_by_part.get(part)
        if suspect is None or not suspect.is_quarantined:
            return False
        self._prove(part, now)
        return True

    def merge(self, records: Iterable[PartRecord], now: float) -> None:
        """Merge the records of another router.

        They are not forwarded. If this router knows of a later proof, the
        sender gets it with the next message.
        """
        for record in records:
            was_changed = record.part in self._changed
            if record.proven_age_seconds is not None:
                self._prove(record.part, now - record.proven_age_seconds)
            if not was_changed:
                self._changed.discard(record.part)
            for crash in record.crashes:
                if now - crash.age_seconds <= self._proven_at(record.part):
                    self._changed.add(record.part)
                self._add(
                    record.part,
                    (crash.upstream_id, crash.epoch),
                    SuspectedCrash(
                        crash.upstream_id,
                        now - crash.sent_age_seconds,
                        now - crash.age_seconds,
                        frozenset(crash.workspaces),
                    ),
                )
        self._expire(now)

    def publish(
        self, now: float, *, full: bool = False
    ) -> tuple[PartRecord, ...]:
        """Return the records that this router changed, or all if `full`."""
        parts = self._suspect_by_part if full else self._changed
        records = tuple(self._record_of(part, now) for part in sorted(parts))
        if not full:
            self._changed = set()
        return records

    def take_events(self) -> list[PartEvent]:
        """Return what has happened to parts since the last call."""
        quarantined = [
            self._describe(part, suspect)
            for part in sorted(self._newly_quarantined)
            if (suspect := self._suspect_by_part.get(part)) is not None
            and suspect.is_quarantined
        ]
        released, self._released = self._released, []
        self._newly_quarantined = set()
        return [*quarantined, *released]

    def quarantined(self) -> list[PartQuarantined]:
        """Return the parts in quarantine."""
        return [
            self._describe(part, suspect)
            for part, suspect in self._suspect_by_part.items()
            if suspect.is_quarantined
        ]

    def _seconds_until_sent(
        self, part: str, suspect: Suspect, prompt: Prompt, now: float
    ) -> float:
        """Return the time until a request may probe a part."""
        probe, probe_until = self._probe_by_part.get(part, (prompt, now))
        if probe is not prompt:
            return max(suspect.probe_at, probe_until) - now
        return suspect.probe_at - now

    def _companions(self, part: str, suspect: Suspect) -> set[str]:
        """Return the other parts that took part in all crashes of a part."""
        return self.common_parts(suspect.crash_by_id) - {part}

    def _describe(self, part: str, suspect: Suspect) -> PartQuarantined:
        return PartQuarantined(
            part,
            tuple(crash.upstream_id for crash in suspect.evidence),
            tuple(sorted(suspect.workspaces)),
            suspect.refusal_seconds,
            tuple(sorted(self._companions(part, suspect))),
        )

    def _proven_at(self, part: str) -> float:
        return self._proven_at_by_part.get(part, float("-inf"))

    def _add(self, part: str, crash_id: CrashId, crash: SuspectedCrash) -> None:
        """Add a crash, unless a later response has proven the part."""
        if crash.happened_at <= self._proven_at(part):
            return
        suspect = self._suspect_by_part.setdefault(part, Suspect())
        suspect.proven_at = self._proven_at(part)
        refusals_before = suspect.refusals
        known = suspect.crash_by_id.get(crash_id)
        suspect.crash_by_id[crash_id] = known.union(crash) if known else crash
        self._parts_by_crash_id.setdefault(crash_id, set()).add(part)
        suspect.count()
        if len(suspect.crash_by_id) > MAXIMUM_CRASHES_PER_PART:
            self._keep_crashes(part, suspect, suspect.most_telling_crashes())
        if suspect.refusals > refusals_before:
            self._probe_by_part.pop(part, None)
            self._newly_quarantined.add(part)

    def _prove(self, part: str, proven_at: float) -> None:
        proven_at = max(proven_at, self._proven_at(part))
        self._proven_at_by_part[part] = proven_at
        self._proven_at_by_part.move_to_end(part)
        if len(self._proven_at_by_part) > MAXIMUM_PROVEN_PARTS:
            self._proven_at_by_part.popitem(last=False)
        suspect = self._suspect_by_part.get(part)
        if suspect is None:
            return
        suspect.proven_at = proven_at
        later = {
            crash_id
            for crash_id, crash in suspect.crash_by_id.items()
            if crash.happened_at > proven_at
        }
        if len(later) == len(suspect.crash_by_id):
            return
        was_quarantined = suspect.is_quarantined
        self._keep_crashes(part, suspect, later)
        self._changed.add(part)
        if was_quarantined and not suspect.is_quarantined:
            self._released.append(PartReleased(part))

    def _keep_crashes(
        self, part: str, suspect: Suspect, kept: set[CrashId]
    ) -> None:
        """Remove the other crashes of a part, and the part without any."""
        for crash_id in suspect.crash_by_id.keys() - kept:
            del suspect.crash_by_id[crash_id]
            parts = self._parts_by_crash_id[crash_id]
            parts.discard(part)
            if not parts:
                del self._parts_by_crash_id[crash_id]
        suspect.count()
        if not suspect.crash_by_id:
            del self._suspect_by_part[part]
            self._probe_by_part.pop(part, None)

    def _remove(self, part: str) -> None:
        self._keep_crashes(part, self._suspect_by_part[part], set())

    def _expire(self, now: float) -> None:
        """Remove suspects that are old or beyond the limit."""
        if now >= self._expire_at:
            self._expire_at = now + _EXPIRY_INTERVAL_SECONDS
            for part, suspect in list(self._suspect_by_part.items()):
                is_old = now - suspect.last_crash_at > CRASH_WINDOW_SECONDS
                if is_old and not suspect.is_quarantined:
                    self._remove(part)
        if len(self._suspect_by_part) <= MAXIMUM_SUSPECTS:
            return
        least_first = sorted(
            self._suspect_by_part.items(),
            key=lambda item: (item[1].is_quarantined, item[1].last_crash_at),
        )
        kept = round(MAXIMUM_SUSPECTS * (1 - _EVICTED_FRACTION))
        for part, _ in least_first[:-kept]:
            self._remove(part)

    def _record_of(self, part: str, now: float) -> PartRecord:
        suspect = self._suspect_by_part.get(part, Suspect())
        proven_at = self._proven_at_by_part.get(part)
        return PartRecord(
            part,
            tuple(
                PartCrash(
                    *crash_id,
                    now - crash.happened_at,
                    now - crash.sent_at,
                    tuple(sorted(crash.workspaces)),
                )
                for crash_id, crash in sorted(suspect.crash_by_id.items())
            ),
            None if proven_at is None else now - proven_at,
        )


def _applies(suspect: Suspect, workspace: str) -> bool:
    """Return whether a part is refused to a workspace."""
    if not suspect.is_quarantined:
        return False
    workspaces = suspect.workspaces
    return workspace in workspaces or len(workspaces) > 1
