"""Quarantine of requests that crash upstreams.

The state is a set of crash records. Each record has two sets that only grow:
the fingerprints in flight at the crash, and those of them that have completed
since. Routers merge records by union, so the order and repetition of messages
do not matter (up to `MAXIMUM_CRASHES` records), and every decision is a
function of the records and the time.

A fingerprint is refused once it is the single common suspect of two crashes,
or an uncleared suspect of three. Bound: if every router has merged the records
of all earlier crashes before it sends a fingerprint again, and at most k runs
of the fingerprint are in flight at once, it takes part in at most 2 + k
crashes within `WINDOW_SECONDS` without a completed run between them. That is 3
for runs one after another, and 2 if suspects also run away from each other.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from lacewingspar_core.messages import CrashRecord, Quarantine

QUARANTINE_SECONDS = 600.0
# Crashes further apart than this are not held against the same fingerprint.
WINDOW_SECONDS = 600.0
# The first of two crashes must be known until the quarantine ends.
RETENTION_SECONDS = WINDOW_SECONDS + QUARANTINE_SECONDS
# Records of at least this age are not accepted from peers. Otherwise two
# routers could hand an expiring record back and forth.
MERGE_AGE_LIMIT_SECONDS = RETENTION_SECONDS - 60.0
CRASHES_UNTIL_REFUSED = 3
# The loss of a data centre is a crash of all its upstreams at once, 60 of one
# service at the target size. These limits bound the memory.
MAXIMUM_CRASHES = 64
MAXIMUM_SUSPECTS = 256
MAXIMUM_EPOCHS = 4096

CrashId = tuple[str, int]


@dataclass(slots=True)
class _Crash:
    """What is known about one crash."""

    happened_at: float
    suspects: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)

    def open_suspects(self) -> set[str]:
        """Return the suspects that may have caused the crash."""
        if len(self.suspects) == 1:
            return self.suspects
        return self.suspects - self.cleared

    def is_open(self, fingerprint: str) -> bool:
        """Return whether one suspect may have caused the crash.

        A completed run does not clear the only suspect of a crash, since a
        request may crash its upstream in some runs only.
        """
        return len(self.suspects) == 1 or fingerprint not in self.cleared


def fingerprint(service: str, path: str, body: bytes) -> str:
    """Return the fingerprint of a request, 32 hexadecimal digits."""
    digest = xxhash.xxh3_128()
    for part in (service.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


class QuarantineState:
    """Crash suspicions of one service, as far as this router knows.

    Args:
        service: Name of the service.
    """

    def __init__(self, service: str) -> None:
        self.service = service
        self._crash_by_id: dict[CrashId, _Crash] = {}
        self._crash_ids_by_fingerprint: dict[str, set[CrashId]] = {}
        self._epoch_by_upstream: dict[str, int] = {}
        self._changed: set[CrashId] = set()

    def epoch(self, upstream_id: str) -> int:
        """Return the number of known crashes of an upstream.

        The holder keeps this number with each request that it sends. Routers
        that see the same crash then give it the same identity, since they
        sent their requests in the same epoch.
        """
        return self._epoch_by_upstream.get(upstream_id, 0)

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Return whether a request is in quarantine."""
        return now < self.refused_until(fingerprint, now)

    def refused_until(self, fingerprint: str, now: float) -> float:
        """Return the end of a request's quarantine in seconds, or 0."""
        crashes = self._open_crashes(fingerprint, now - RETENTION_SECONDS)
        for position in range(len(crashes) - 1, 0, -1):
            last = crashes[position]
            if _is_sufficient(crashes[:position], last):
                return last.happened_at + QUARANTINE_SECONDS
        return 0.0

    def must_run_alone(self, fingerprint: str, now: float) -> bool:
        """Return whether no other suspect may run on the same upstream."""
        return bool(self._open_crashes(fingerprint, now - WINDOW_SECONDS))

    def on_crash(
        self,
        upstream_id: str,
        epoch: int,
        fingerprints: Iterable[str],
        now: float,
    ) -> None:
        """Record a crash that this router has seen.

        Args:
            upstream_id: Upstream that crashed.
            epoch: Largest epoch at which one of the requests was sent.
            fingerprints: This router's requests in flight on the upstream.
            now: Time in seconds.
        """
        record = CrashRecord(upstream_id, epoch, 0.0, tuple(fingerprints), ())
        self._merge_record(record, now)
        self._changed.add((upstream_id, epoch))
        self._expire(now)

    def on_success(self, fingerprint: str, now: float) -> None:
        """Clear a request that has completed of the crashes known so far."""
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
        self._expire(now)

    def publish(self, now: float, *, full: bool = False) -> Quarantine | None:
        """Return the records that this router changed, or all if `full`.

        Records merged from other routers are not sent on, except in the full
        message for a router that has started or was cut off.

        Returns:
            The message for the other routers, or None if nothing changed.
        """
        self._expire(now)
        crash_ids = self._crash_by_id if full else self._changed
        crashes = tuple(
            self._record(crash_id, now) for crash_id in sorted(crash_ids)
        )
        self._changed = set()
        if not crashes and not full:
            return None
        return Quarantine(self.service, crashes)

    def _open_crashes(self, fingerprint: str, since: float) -> list[_Crash]:
        """Return the crashes of an uncleared suspect, the oldest first."""
        crash_ids = self._crash_ids_by_fingerprint.get(fingerprint)
        if crash_ids is None:
            return []
        known = [self._crash_by_id[crash_id] for crash_id in crash_ids]
        crashes = [
            crash
            for crash in known
            if crash.happened_at > since and crash.is_open(fingerprint)
        ]
        return sorted(crashes, key=lambda crash: crash.happened_at)

    def _merge_record(self, record: CrashRecord, now: float) -> None:
        crash_id = (record.upstream_id, record.epoch)
        happened_at = now - record.age_seconds
        crash = self._crash_by_id.get(crash_id)
        if crash is None:
            crash = self._crash_by_id[crash_id] = _Crash(happened_at)
            self._count_crash(record)
        suspects = _bounded(crash.suspects.union(record.suspects))
        cleared = suspects.intersection(crash.cleared.union(record.cleared))
        self._index(crash_id, crash.suspects, suspects)
        crash.happened_at = min(crash.happened_at, happened_at)
        crash.suspects, crash.cleared = suspects, cleared

    def _count_crash(self, record: CrashRecord) -> None:
        epochs = self._epoch_by_upstream
        epoch = max(self.epoch(record.upstream_id), record.epoch + 1)
        epochs.pop(record.upstream_id, None)
        epochs[record.upstream_id] = epoch
        if len(epochs) > MAXIMUM_EPOCHS:
            del epochs[next(iter(epochs))]

    def _index(
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
        """Drop old records, and the oldest ones beyond the limit."""
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
            is_old = now - crash.happened_at >= RETENTION_SECONDS
            if is_old or position >= MAXIMUM_CRASHES:
                self._index(crash_id, crash.suspects, set())
                del self._crash_by_id[crash_id]
                self._changed.discard(crash_id)

    def _record(self, crash_id: CrashId, now: float) -> CrashRecord:
        crash = self._crash_by_id[crash_id]
        return CrashRecord(
            *crash_id,
            now - crash.happened_at,
            tuple(sorted(crash.suspects)),
            tuple(sorted(crash.cleared)),
        )


def _is_sufficient(earlier: list[_Crash], last: _Crash) -> bool:
    """Return whether a suspect of all these crashes is refused."""
    near = [
        crash
        for crash in earlier
        if last.happened_at - crash.happened_at <= WINDOW_SECONDS
    ]
    if len(near) >= CRASHES_UNTIL_REFUSED - 1:
        return True
    suspects = last.open_suspects()
    return any(len(crash.open_suspects() & suspects) == 1 for crash in near)


def _bounded(suspects: set[str]) -> set[str]:
    """Return the smallest suspects, the same ones in any order of merging."""
    if len(suspects) <= MAXIMUM_SUSPECTS:
        return suspects
    return set(sorted(suspects)[:MAXIMUM_SUSPECTS])
