"""Quarantine of requests that crash upstreams.

The state is a set of crash records. Each record has three sets that only grow:
its suspects, which are the fingerprints in flight at the crash, and the
suspects that have completed since, or shortly before. Routers merge records by
union, so the order and repetition of messages do not matter (up to
`MAXIMUM_CRASHES` records), and every decision is a function of the records and
the time.

`crash_evidence` states which crashes convict a fingerprint or make it
suspected. A convicted one is refused for `QUARANTINE_SECONDS`. A suspected one
is refused for `SUSPICION_SECONDS`, then one request at a time probes it.

This bounds the crashes: if every router merges the records of all earlier
crashes before it sends a fingerprint again, and at most k runs of the
fingerprint are in flight at once, then without a completed run between them the
fingerprint takes part in at most 2 + k crashes within `CRASH_WINDOW_SECONDS`
until it is refused, and in at most three more as a probe.
That is 3 for consecutive runs, and 2 if suspects also run on separate
upstreams and had not completed before. Runs that have long been in flight at n
other upstreams raise it to n + k, for n of at least 2 and at most
`MAXIMUM_EXCUSED_CRASHES`.

Requests that have nothing but a part of their prompts in common are counted by
`prompt_quarantine`.
"""

import itertools
import math
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from types import MappingProxyType

import xxhash

from lacewingspar_core.crash_evidence import (
    CRASH_WINDOW_SECONDS,
    QUARANTINE_SECONDS,
    Convicted,
    Crash,
    Suspected,
    Verdict,
    judge,
)
from lacewingspar_core.messages import CrashRecord, Quarantine
from lacewingspar_core.prompt_quarantine import (
    PROBE_SECONDS,
    PromptQuarantine,
)
from lacewingspar_core.prompt_suspects import CrashId, Prompt, PromptRun

# The first of two crashes must stay known until the quarantine ends.
RETENTION_SECONDS = CRASH_WINDOW_SECONDS + QUARANTINE_SECONDS
# Records of at least this age are not accepted from peers. Otherwise two
# routers could send an expiring record back and forth.
MERGE_AGE_LIMIT_SECONDS = RETENTION_SECONDS - 60.0
# These limits bound the memory. The loss of a data centre crashes all its
# upstreams at once, 60 of one service at the target size.
MAXIMUM_CRASHES = 64
MAXIMUM_SUSPECTS = 256
MAXIMUM_EPOCHS = 4096
MAXIMUM_COMPLETED_REQUESTS = 4096


_UNKNOWN_TIMES: Mapping[str, float] = MappingProxyType({})


def fingerprint(service: str, path: str, body: bytes) -> str:
    """Return the fingerprint of a request as 32 hexadecimal digits."""
    digest = xxhash.xxh3_128()
    for part in (service.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


class QuarantineState:
    """Crash records of one service that this router knows.

    Attributes:
        prompts: Prompt parts suspected of crashes.

    Args:
        service: Name of the service.
    """

    def __init__(self, service: str) -> None:
        self.service = service
        self.prompts = PromptQuarantine()
        self._crash_by_id: dict[CrashId, Crash] = {}
        self._crash_ids_by_fingerprint: dict[str, set[CrashId]] = {}
        self._epoch_by_upstream: dict[str, int] = {}
        # Request that probes a fingerprint, and the time until which it may.
        self._probe_by_fingerprint: dict[str, tuple[Prompt, float]] = {}
        self._changed: set[CrashId] = set()
        self._completed_at_by_fingerprint: OrderedDict[str, float] = (
            OrderedDict()
        )

    @property
    def has_crashes(self) -> bool:
        """Return whether a crash has ever been recorded."""
        return bool(self._epoch_by_upstream) or self.prompts.has_suspects

    @property
    def has_changed(self) -> bool:
        """Return whether there is something to publish."""
        return bool(self._changed) or self.prompts.has_changed

    def epoch(self, upstream_id: str) -> int:
        """Return the number of known crashes of an upstream.

        The ingress router stores this number with each request that it sends.
        Routers that observe the same crash then give it the same id, because
        they sent their requests in the same epoch.
        """
        return self._epoch_by_upstream.get(upstream_id, 0)

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Return whether a request is refused, unless it is a probe."""
        match self.verdict(fingerprint, now):
            case Convicted(until):
                return now < until
            case verdict:
                return verdict is not None

    def refused_until(
        self, fingerprint: str, now: float, parts: Collection[str] = ()
    ) -> float:
        """Return the time at which a request's quarantine ends, or 0.

        A suspected request may be probed from that time on.

        Args:
            fingerprint: Fingerprint of the request.
            now: Time in seconds.
            parts: Parts of its prompt. Crashes do not count against a request
                if all of them may be due to a part that it does not have.
        """
        verdict = self.verdict(fingerprint, now, parts)
        return 0.0 if verdict is None else verdict.until

    def verdict(
        self,
        fingerprint: str,
        now: float,
        parts: Collection[str] = (),
        *,
        upstreams_elsewhere: int = 0,
    ) -> Verdict | None:
        """Return what the known crashes say of a request.

        Args:
            fingerprint: Fingerprint of the request.
            now: Time in seconds.
            parts: Parts of its prompt.
            upstreams_elsewhere: Number of other upstreams at which it has long
                been in flight.
        """
        crashes = self._crashes_possibly_caused_by(
            fingerprint, now - RETENTION_SECONDS
        )

        def is_excused(counted: Sequence[Crash]) -> bool:
            return self._is_due_to_other_part(counted, parts)

        return judge(
            fingerprint,
            crashes,
            now,
            is_excused,
            upstreams_elsewhere=upstreams_elsewhere,
        )

    def refusal_seconds(
        self,
        fingerprint: str,
        prompt: Prompt,
        now: float,
        may_probe: Callable[[], bool],
        *,
        upstreams_elsewhere: int = 0,
    ) -> float:
        """Return the time for which a request must not be sent, or 0.

        Args:
            fingerprint: Fingerprint of the request.
            prompt: Its prompt, which tells it from others like it.
            now: Time in seconds.
            may_probe: Returns whether this router may send probes. One router
                may, so that the fleet sends one at a time.
            upstreams_elsewhere: Number of other upstreams at which it has long
                been in flight.
        """
        verdict = self.verdict(
            fingerprint,
            now,
            prompt.parts,
            upstreams_elsewhere=upstreams_elsewhere,
        )
        return self.seconds_until_sent(
            verdict, fingerprint, prompt, now, may_probe
        )

    def seconds_until_sent(
        self,
        verdict: Verdict | None,
        fingerprint: str,
        prompt: Prompt,
        now: float,
        may_probe: Callable[[], bool],
    ) -> float:
        """Return the time for which a verdict keeps a request back, or 0.

        A request that may be sent after a suspicion becomes its probe.
        """
        match verdict:
            case None:
                self._probe_by_fingerprint.pop(fingerprint, None)
                return 0.0
            case Convicted(until):
                return max(0.0, until - now)
            case Suspected(until):
                if now < until:
                    return until - now
        probe, probe_until = self._probe_by_fingerprint.get(
            fingerprint, (prompt, now)
        )
        if probe is not prompt and now < probe_until:
            return probe_until - now
        if not may_probe():
            return PROBE_SECONDS
        if probe is not prompt or now >= probe_until:
            probe_until = now + PROBE_SECONDS
        self._probe_by_fingerprint[fingerprint] = (prompt, probe_until)
        return 0.0

    def crashed_upstreams(
        self, fingerprint: str, now: float
    ) -> tuple[str, ...]:
        """Return the upstreams whose crashes a request may have caused.

        The oldest crash comes first.
        """
        crashes = self._crashes_possibly_caused_by(
            fingerprint, now - RETENTION_SECONDS
        )
        return tuple(crash.crash_id[0] for crash in crashes)

    def must_run_alone(self, fingerprint: str, now: float) -> bool:
        """Return whether a request must not share an upstream with suspects."""
        return bool(
            self._crashes_possibly_caused_by(
                fingerprint, now - CRASH_WINDOW_SECONDS
            )
        )

    def record_crash(
        self,
        upstream_id: str,
        epoch: int,
        fingerprints: Iterable[str],
        now: float,
        runs: Iterable[PromptRun] = (),
        broken_at: float | None = None,
        sent_at_by_fingerprint: Mapping[str, float] = _UNKNOWN_TIMES,
    ) -> None:
        """Record a crash that this router has observed.

        Args:
            upstream_id: Upstream that crashed.
            epoch: Highest epoch in which one of the requests was sent.
            fingerprints: This router's requests in flight at the upstream.
            now: Time in seconds.
            runs: Those of them that have prompt parts.
            broken_at: Time at which their connections broke.
            sent_at_by_fingerprint: Latest time at which each request was sent.
                A crash counts against the others as if they were sent last.
        """
        self.prompts.record_crash(
            (upstream_id, epoch), runs, now if broken_at is None else broken_at
        )
        suspects = tuple(fingerprints)
        sent_ages = tuple(
            now - sent_at_by_fingerprint.get(name, math.inf)
            for name in suspects
        )
        record = CrashRecord(upstream_id, epoch, 0.0, suspects, (), sent_ages)
        self._merge_record(record, now)
        self._changed.add((upstream_id, epoch))
        self._expire(now)

    def record_success(
        self, fingerprint: str, now: float, prompt: Prompt | None = None
    ) -> None:
        """Record a completed request, which clears it of the known crashes.

        It also counts in its favour at later crashes.
        """
        completed = self._completed_at_by_fingerprint
        completed[fingerprint] = now
        completed.move_to_end(fingerprint)
        if len(completed) > MAXIMUM_COMPLETED_REQUESTS:
            completed.popitem(last=False)
        if prompt is not None:
            self.prompts.record_proof(prompt, now)
        crash_ids = self._crash_ids_by_fingerprint.get(fingerprint)
        if crash_ids is None:
            return
        for crash_id in crash_ids:
            crash = self._crash_by_id[crash_id]
            if fingerprint not in crash.cleared:
                crash.cleared.add(fingerprint)
                self._changed.add(crash_id)
        self._expire(now)

    def merge(self, message: Quarantine, now: float) -> None:
        """Merge the records of another router."""
        for record in message.crashes:
            if record.age_seconds < MERGE_AGE_LIMIT_SECONDS:
                self._merge_record(record, now)
        self.prompts.merge(message.parts, now)
        self._expire(now)

    def publish(self, now: float, *, full: bool = False) -> Quarantine | None:
        """Return the records that this router changed, or all if `full`.

        Records merged from other routers are not forwarded, except in the full
        message to a router that has started or was disconnected.

        Returns:
            The message for the other routers, or None if nothing changed.
        """
        self._expire(now)
        crash_ids = self._crash_by_id if full else self._changed
        crashes = tuple(
            self._record_of(crash_id, now) for crash_id in sorted(crash_ids)
        )
        if not full:
            self._changed = set()
        parts = self.prompts.publish(now, full=full)
        if not crashes and not parts and not full:
            return None
        return Quarantine(self.service, crashes, parts)

    def _crashes_possibly_caused_by(
        self, fingerprint: str, since: float
    ) -> list[Crash]:
        """Return the crashes that a request may have caused, oldest first."""
        crash_ids = self._crash_ids_by_fingerprint.get(fingerprint)
        if crash_ids is None:
            return []
        known = [self._crash_by_id[crash_id] for crash_id in crash_ids]
        crashes = [
            crash
            for crash in known
            if crash.happened_at > since and fingerprint not in crash.cleared
        ]
        return sorted(crashes, key=lambda crash: crash.happened_at)

    def _is_due_to_other_part(
        self, crashes: Sequence[Crash], parts: Collection[str]
    ) -> bool:
        """Return whether another part is a suspect of all these crashes."""
        common = self.prompts.common_parts(crash.crash_id for crash in crashes)
        return not common.issubset(parts)

    def _merge_record(self, record: CrashRecord, now: float) -> None:
        crash_id = (record.upstream_id, record.epoch)
        happened_at = now - record.age_seconds
        crash = self._crash_by_id.get(crash_id)
        if crash is None:
            crash = self._crash_by_id[crash_id] = Crash(crash_id, happened_at)
            self._update_epoch(record)
        before = crash.suspects
        suspects = _limit_suspects(before.union(record.suspects))
        cleared = suspects.intersection(crash.cleared.union(record.cleared))
        self._update_index(crash_id, before, suspects)
        crash.happened_at = min(crash.happened_at, happened_at)
        crash.sent_at_by_suspect = _latest(
            crash.sent_at_by_suspect, record, now, suspects
        )
        crash.cleared = cleared
        proven = crash.proven_before.union(record.proven_before)
        own = self._completed_before(happened_at, suspects - proven)
        if own:
            self._changed.add(crash_id)
        crash.proven_before = suspects.intersection(proven | own)

    def _completed_before(
        self, happened_at: float, fingerprints: Iterable[str]
    ) -> set[str]:
        """Return the requests that this router saw complete before a crash."""
        completed = self._completed_at_by_fingerprint
        return {
            name
            for name in fingerprints
            if 0
            <= happened_at - completed.get(name, -math.inf)
            <= CRASH_WINDOW_SECONDS
        }

    def _update_epoch(self, record: CrashRecord) -> None:
        epochs = self._epoch_by_upstream
        epoch = max(self.epoch(record.upstream_id), record.epoch + 1)
        epochs.pop(record.upstream_id, None)
        epochs[record.upstream_id] = epoch
        if len(epochs) > MAXIMUM_EPOCHS:
            del epochs[next(iter(epochs))]

    def _update_index(
        self, crash_id: CrashId, before: set[str], after: set[str]
    ) -> None:
        index = self._crash_ids_by_fingerprint
        for name in after - before:
            index.setdefault(name, set()).add(crash_id)
        for name in before - after:
            index[name].discard(crash_id)
            if not index[name]:
                del index[name]

    def _expire(self, now: float) -> None:
        """Remove expired records, and the oldest ones beyond the limit."""
        newest_first = sorted(
            self._crash_by_id,
            key=lambda crash_id: (
                self._crash_by_id[crash_id].happened_at,
                crash_id,
            ),
            reverse=True,
        )
        for position, crash_id in enumerate(newest_first):
            crash = self._crash_by_id[crash_id]
            has_expired = now - crash.happened_at >= RETENTION_SECONDS
            if has_expired or position >= MAXIMUM_CRASHES:
                self._update_index(crash_id, crash.suspects, set())
                del self._crash_by_id[crash_id]
                self._changed.discard(crash_id)

    def _record_of(self, crash_id: CrashId, now: float) -> CrashRecord:
        crash = self._crash_by_id[crash_id]
        suspects = sorted(crash.sent_at_by_suspect.items())
        return CrashRecord(
            *crash_id,
            now - crash.happened_at,
            tuple(name for name, _ in suspects),
            tuple(sorted(crash.cleared)),
            tuple(now - sent_at for _, sent_at in suspects),
            tuple(sorted(crash.proven_before)),
        )


def _latest(
    known: Mapping[str, float],
    record: CrashRecord,
    now: float,
    suspects: Collection[str],
) -> dict[str, float]:
    """Return the latest time at which each suspect was sent.

    Routers of an older version do not tell these times.
    """
    unknown = itertools.repeat(-math.inf)
    ages = itertools.chain(record.sent_ages, unknown)
    sent = dict(known)
    for name, age in zip(record.suspects, ages, strict=False):
        sent[name] = max(now - age, sent.get(name, -math.inf))
    return {name: sent[name] for name in sorted(suspects)}


def _limit_suspects(suspects: set[str]) -> set[str]:
    """Return the lowest suspects, independent of the order of merging."""
    if len(suspects) <= MAXIMUM_SUSPECTS:
        return suspects
    return set(sorted(suspects)[:MAXIMUM_SUSPECTS])
