"""Evidence that a request crashes the upstreams that run it.

A request that crashes upstreams crashes each one that begins to run it. A run
that gets to its end therefore clears the request of all earlier crashes. A
crash counts after another one only if a run of the request was sent after that
one: upstreams that end together say no more than one of them.

Crashes that count convict a request if it is the only suspect that two of them
have in common, or the only one of three. One crash more convicts it in any
case. Two do not suffice if the request had run to its end before them, as a
popular request is in flight wherever upstreams crash. If it has long been in
flight at other upstreams, two do not suffice either, and neither do as many as
there are such upstreams, up to `MAXIMUM_EXCUSED_CRASHES`. It is suspected if
crashes suffice only because some happened together, if two do not suffice as it
had run to its end before, or if three have other suspects in common.
"""

import math
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TypeAlias

from lacewingspar_core.prompt_suspects import CrashId

CRASHES_UNTIL_REFUSED = 3
# A run without output may wait for a slot or be held by a silent upstream, so
# it does not clear the request and excuses it of few crashes.
MAXIMUM_EXCUSED_CRASHES = 5
# Crashes further apart than this do not count against the same fingerprint.
CRASH_WINDOW_SECONDS = 600.0
QUARANTINE_SECONDS = 600.0
# Time after which a suspected request may be probed. Runs in flight have ended
# by then, or the routers know of the crashes.
SUSPICION_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Convicted:
    """A request has crashed upstreams; it is refused until a time."""

    until: float


@dataclass(frozen=True, slots=True)
class Suspected:
    """A request may have crashed upstreams; it is probed from a time on."""

    until: float


Verdict: TypeAlias = Convicted | Suspected


@dataclass(slots=True)
class Crash:
    """Merged records of one crash.

    Attributes:
        crash_id: Upstream that crashed, and the number of its crashes that were
            known when the requests were sent.
        happened_at: Time of the crash in seconds.
        sent_at_by_suspect: Latest time at which each suspect was sent to the
            upstream, or infinity if it is not known.
        cleared: Suspects that have completed since.
        proven_before: Suspects that had completed in the
            `CRASH_WINDOW_SECONDS` before.
    """

    crash_id: CrashId
    happened_at: float
    sent_at_by_suspect: dict[str, float] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)
    proven_before: set[str] = field(default_factory=set)

    @property
    def suspects(self) -> set[str]:
        """Return the requests in flight at the crash."""
        return set(self.sent_at_by_suspect)

    def possible_causes(self) -> set[str]:
        """Return the suspects that may have caused the crash."""
        return self.suspects - self.cleared


def judge(
    fingerprint: str,
    crashes: Sequence[Crash],
    now: float,
    is_excused: Callable[[Sequence[Crash]], bool],
    *,
    upstreams_elsewhere: int,
) -> Verdict | None:
    """Return what crashes say of one of their possible causes.

    Args:
        fingerprint: The suspect.
        crashes: Crashes that it may have caused, oldest first.
        now: Time in seconds.
        is_excused: Returns whether all of some crashes have another cause.
        upstreams_elsewhere: Number of other upstreams at which it has long been
            in flight.
    """
    needed = max(
        CRASHES_UNTIL_REFUSED,
        min(upstreams_elsewhere, MAXIMUM_EXCUSED_CRASHES) + 1,
    )
    two_may_suffice = not upstreams_elsewhere
    times = [crash.happened_at for crash in crashes]
    suspected_at = -math.inf
    for position in range(len(crashes) - 1, 0, -1):
        last = crashes[position]
        start = bisect_left(times, last.happened_at - CRASH_WINDOW_SECONDS)
        sent_at = last.sent_at_by_suspect[fingerprint]
        end = min(position, bisect_right(times, sent_at))
        if start < end:
            earlier = crashes[start:end]
            chain = _one_after_the_other(fingerprint, earlier)
            was_proven = any(
                fingerprint in crash.proven_before for crash in (*earlier, last)
            )
            pairs = earlier if two_may_suffice and not was_proven else ()
            if _suffice(chain, pairs, last, is_excused, needed) and _is_proved(
                [*chain, last], pairs, needed
            ):
                return Convicted(last.happened_at + QUARANTINE_SECONDS)
        if suspected_at == -math.inf:
            near = crashes[start:position]
            pairs = near if two_may_suffice else ()
            if _suffice(near, pairs, last, is_excused, needed):
                suspected_at = last.happened_at
    if now - suspected_at < CRASH_WINDOW_SECONDS:
        return Suspected(suspected_at + SUSPICION_SECONDS)
    return None


def _is_proved(
    counted: Sequence[Crash], pairs: Sequence[Crash], needed: int
) -> bool:
    """Return whether crashes that suffice have no other common suspect.

    One crash more than needed proves the request all the same.
    """
    if len(counted) > needed:
        return True
    causes = counted[-1].possible_causes()
    if any(len(crash.possible_causes() & causes) == 1 for crash in pairs):
        return True
    common = set.intersection(*(crash.possible_causes() for crash in counted))
    return len(common) == 1


def _one_after_the_other(
    fingerprint: str, crashes: Sequence[Crash]
) -> list[Crash]:
    """Return as many crashes as possible of runs sent after each other."""
    chain: list[Crash] = []
    for crash in crashes:
        sent_at = crash.sent_at_by_suspect[fingerprint]
        if not chain or sent_at >= chain[-1].happened_at:
            chain.append(crash)
    return chain


def _suffice(
    counted: Sequence[Crash],
    earlier: Sequence[Crash],
    last: Crash,
    is_excused: Callable[[Sequence[Crash]], bool],
    needed: int,
) -> bool:
    """Return whether crashes suffice to refuse a common suspect.

    Args:
        counted: Crashes that count together with the last one.
        earlier: Crashes of which one may convict with the last one.
        last: The last crash.
        is_excused: Returns whether all of some crashes have another cause.
        needed: Number of crashes that suffice if other suspects took part in
            all of them.
    """
    if len(counted) + 1 >= needed:
        return not is_excused([*counted, last])
    suspects = last.possible_causes()
    return any(
        len(crash.possible_causes() & suspects) == 1
        and not is_excused([crash, last])
        for crash in earlier
    )
