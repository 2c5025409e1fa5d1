"""Quarantine of requests that crash upstreams.

The state is a set of crash records. Each record has two sets that only grow:
its suspects, which are the fingerprints in flight at the crash, and the
suspects that have completed since. Routers merge records by union, so the order
and repetition of messages do not matter (up to `MAXIMUM_CRASHES` records), and
every decision is a function of the records and the time.

A fingerprint is refused if it is the only common suspect of two crashes, or an
uncleared suspect of three. This bounds the crashes: if every router merges the
records of all earlier crashes before it sends a fingerprint again, and at most
k runs of the fingerprint are in flight at once, then the fingerprint takes part
in at most 2 + k crashes within `CRASH_WINDOW_SECONDS` without a completed run
between them. That is 3 for consecutive runs, and 2 if suspects also run on
separate upstreams.

Requests that have nothing but a part of their prompts in common are counted by
`prompt_quarantine`.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

import xxhash

from lacewingspar_core.messages import CrashRecord, Quarantine
from lacewingspar_core.prompt_quarantine import PromptQuarantine
from lacewingspar_core.prompt_suspects import CrashId, Prompt, PromptRun

QUARANTINE_SECONDS = 600.0
# Crashes further apart than this do not count against the same fingerprint.
CRASH_WINDOW_SECONDS = 600.0
# The first of two crashes must stay known until the quarantine ends.
RETENTION_SECONDS = CRASH_WINDOW_SECONDS + QUARANTINE_SECONDS
# Records of at least this age are not accepted from peers. Otherwise two
# routers could send an expiring record back and forth.
MERGE_AGE_LIMIT_SECONDS = RETENTION_SECONDS - 60.0
CRASHES_UNTIL_REFUSED = 3
# These limits bound the memory. The loss of a data centre crashes all its
# upstreams at once, 60 of one service at the target size.
MAXIMUM_CRASHES = 64
MAXIMUM_SUSPECTS = 256
MAXIMUM_EPOCHS = 4096


@dataclass(slots=True)
class _Crash:
    """Merged records of one crash."""

    crash_id: CrashId
    happened_at: float
    suspects: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)

    def possible_causes(self) -> set[str]:
        """Return the suspects that may have caused the crash."""
        if len(self.suspects) == 1:
            return self.suspects
        return self.suspects - self.cleared

    def may_be_caused_by(self, fingerprint: str) -> bool:
        """Return whether one suspect may have caused the crash.

        A completed run does not clear the only suspect of a crash, because a
        request may crash its upstream in some of its runs only.
        """
        return len(self.suspects) == 1 or fingerprint not in self.cleared


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
        self._crash_by_id: dict[CrashId, _Crash] = {}
        self._crash_ids_by_fingerprint: dict[str, set[CrashId]] = {}
        self._epoch_by_upstream: dict[str, int] = {}
        self._changed: set[CrashId] = set()

    def epoch(self, upstream_id: str) -> int:
        """Return the number of known crashes of an upstream.

        The ingress router stores this number with each request that it sends.
        Routers that observe the same crash then give it the same id, because
        they sent their requests in the same epoch.
        """
        return self._epoch_by_upstream.get(upstream_id, 0)

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Return whether a request is in quarantine."""
        return now < self.refused_until(fingerprint, now)

    def refused_until(
        self, fingerprint: str, now: float, parts: Collection[str] = ()
    ) -> float:
        """Return the time at which a request's quarantine ends, or 0.

        Args:
            fingerprint: Fingerprint of the request.
            now: Time in seconds.
            parts: Parts of its prompt. Crashes do not count against a request
                if all of them may be due to a part that it does not have.
        """
        crashes = self._crashes_possibly_caused_by(
            fingerprint, now - RETENTION_SECONDS
        )
        for position in range(len(crashes) - 1, 0, -1):
            last = crashes[position]
            if self._justifies_refusal(crashes[:position], last, parts):
                return last.happened_at + QUARANTINE_SECONDS
        return 0.0

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
    ) -> None:
        """Record a crash that this router has observed.

        Args:
            upstream_id: Upstream that crashed.
            epoch: Highest epoch in which one of the requests was sent.
            fingerprints: This router's requests in flight at the upstream.
            now: Time in seconds.
            runs: Those of them that have prompt parts.
            broken_at: Time at which their connections broke.
        """
        self.prompts.record_crash(
            (upstream_id, epoch), runs, now if broken_at is None else broken_at
        )
        record = CrashRecord(upstream_id, epoch, 0.0, tuple(fingerprints), ())
        self._merge_record(record, now)
        self._changed.add((upstream_id, epoch))
        self._expire(now)

    def record_success(
        self, fingerprint: str, now: float, prompt: Prompt | None = None
    ) -> None:
        """Record a completed request, which clears it of the known crashes."""
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
    ) -> list[_Crash]:
        """Return the crashes that a request may have caused, oldest first."""
        crash_ids = self._crash_ids_by_fingerprint.get(fingerprint)
        if crash_ids is None:
            return []
        known = [self._crash_by_id[crash_id] for crash_id in crash_ids]
        crashes = [
            crash
            for crash in known
            if crash.happened_at > since and crash.may_be_caused_by(fingerprint)
        ]
        return sorted(crashes, key=lambda crash: crash.happened_at)

    def _justifies_refusal(
        self, earlier: list[_Crash], last: _Crash, parts: Collection[str]
    ) -> bool:
        """Return whether these crashes suffice to refuse a common suspect."""
        near = [
            crash
            for crash in earlier
            if last.happened_at - crash.happened_at <= CRASH_WINDOW_SECONDS
        ]
        if len(near) >= CRASHES_UNTIL_REFUSED - 1:
            return not self._is_due_to_other_part([*near, last], parts)
        suspects = last.possible_causes()
        return any(
            len(crash.possible_causes() & suspects) == 1
            and not self._is_due_to_other_part([crash, last], parts)
            for crash in near
        )

    def _is_due_to_other_part(
        self, crashes: list[_Crash], parts: Collection[str]
    ) -> bool:
        """Return whether another part is a suspect of all these crashes."""
        common = self.prompts.common_parts(crash.crash_id for crash in crashes)
        return not common.issubset(parts)

    def _merge_record(self, record: CrashRecord, now: float) -> None:
        crash_id = (record.upstream_id, record.epoch)
        happened_at = now - record.age_seconds
        crash = self._crash_by_id.get(crash_id)
        if crash is None:
            crash = self._crash_by_id[crash_id] = _Crash(crash_id, happened_at)
            self._update_epoch(record)
        suspects = _limit_suspects(crash.suspects.union(record.suspects))
        cleared = suspects.intersection(crash.cleared.union(record.cleared))
        self._update_index(crash_id, crash.suspects, suspects)
        crash.happened_at = min(crash.happened_at, happened_at)
        crash.suspects, crash.cleared = suspects, cleared

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
        return CrashRecord(
            *crash_id,
            now - crash.happened_at,
            tuple(sorted(crash.suspects)),
            tuple(sorted(crash.cleared)),
        )


def _limit_suspects(suspects: set[str]) -> set[str]:
    """Return the lowest suspects, independent of the order of merging."""
    if len(suspects) <= MAXIMUM_SUSPECTS:
        return suspects
    return set(sorted(suspects)[:MAXIMUM_SUSPECTS])
