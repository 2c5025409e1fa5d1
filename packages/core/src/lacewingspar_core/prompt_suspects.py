"""Crashes that a part of a prompt is suspected of.

`prompt_quarantine` states how they are counted and what follows.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice
from typing import TypeAlias

# Two ordinary crashes may well meet requests with one rare part, three hardly.
CRASHES_UNTIL_REFUSED = 3
# A wrong verdict ends with the first probe, a right one costs an upstream then:
# three probes in the first 22 minutes, five in 13 hours.
FIRST_REFUSAL_SECONDS = 30.0
REFUSAL_FACTOR = 6.0
# Time until the first probe of a part that is only suspected: it was proven
# before its crashes, or they happened together. A popular part is in flight
# wherever upstreams crash.
SUSPICION_SECONDS = 2.0
# A response has begun once its output has gone on for this long. Upstreams that
# crash on a prompt do so with the first tokens, in less than 0.1 s.
BEGUN_SECONDS = 0.25
# Crashes further apart than this do not count against the same part, unless it
# is in quarantine.
CRASH_WINDOW_SECONDS = 600.0
# These limits bound the memory and the messages. Prompts have a few shared
# parts.
MAXIMUM_PARTS_PER_PROMPT = 64
MAXIMUM_CRASHES_PER_PART = 12

CrashId: TypeAlias = tuple[str, int]


@dataclass(frozen=True, slots=True, eq=False)
class Prompt:
    """The prompt of one request, which may be sent several times.

    Attributes:
        workspace: Workspace of the caller, or "".
        parts: Parts that other requests may share.
    """

    workspace: str
    parts: tuple[str, ...]


def prompt_of(workspace: str, parts: Iterable[str]) -> Prompt:
    """Return a prompt with as many parts as are counted."""
    return Prompt(workspace, tuple(islice(parts, MAXIMUM_PARTS_PER_PROMPT)))


@dataclass(slots=True, eq=False)
class PromptRun:
    """A request in flight at an upstream.

    Times are in seconds on one router's clock.

    Attributes:
        prompt: Prompt of the request.
        sent_at: Time at which it was sent, or infinity before that.
        first_output_at: Time at which its response began to arrive, or None.
    """

    prompt: Prompt
    sent_at: float = float("inf")
    first_output_at: float | None = None

    def begun_at(self, now: float) -> float | None:
        """Return the time at which the response had begun, or None."""
        if self.first_output_at is None:
            return None
        begun_at = self.first_output_at + BEGUN_SECONDS
        return begun_at if begun_at <= now else None


@dataclass(frozen=True, slots=True)
class SuspectedCrash:
    """A crash of an upstream that ran requests with the part."""

    upstream_id: str
    sent_at: float
    happened_at: float
    workspaces: frozenset[str]

    def union(self, other: "SuspectedCrash") -> "SuspectedCrash":
        """Return the crash as two routers have seen it."""
        return SuspectedCrash(
            self.upstream_id,
            max(self.sent_at, other.sent_at),
            min(self.happened_at, other.happened_at),
            self.workspaces | other.workspaces,
        )


@dataclass(slots=True)
class Suspect:
    """Crashes of a part since it was last proven.

    Attributes:
        crash_by_id: The crashes.
        counted: Those that count, oldest first.
        proven_at: Time at which it was last proven, or minus infinity.
    """

    crash_by_id: dict[CrashId, SuspectedCrash] = field(default_factory=dict)
    counted: list[SuspectedCrash] = field(default_factory=list)
    proven_at: float = -math.inf
    _happened_together: bool = False

    @property
    def is_quarantined(self) -> bool:
        """Return whether the crashes suffice to refuse the part."""
        return self.refusals > 0

    @property
    def refusals(self) -> int:
        """Return how often it was refused, or refused for longer."""
        if not self.counted:
            return 0
        is_suspect_at_once = self._happened_together and not self._was_proven
        first = 1 if is_suspect_at_once else CRASHES_UNTIL_REFUSED
        return max(0, len(self.counted) + 1 - first)

    @property
    def refusal_seconds(self) -> float:
        """Return the time from the last crash to the first probe."""
        probes = self.refusals - 1
        if self._was_proven or self._happened_together:
            probes -= 1
        if probes < 0:
            return SUSPICION_SECONDS
        return FIRST_REFUSAL_SECONDS * REFUSAL_FACTOR**probes

    @property
    def probe_at(self) -> float:
        """Return the time from which the part may be probed."""
        return self.counted[-1].happened_at + self.refusal_seconds

    @property
    def evidence(self) -> list[SuspectedCrash]:
        """Return the crashes that justify a refusal, oldest first."""
        return self._by_time() if self._happened_together else self.counted

    @property
    def workspaces(self) -> frozenset[str]:
        """Return the workspaces whose requests took part in the crashes."""
        return frozenset().union(*(crash.workspaces for crash in self.evidence))

    @property
    def last_crash_at(self) -> float:
        """Return the time of the latest crash."""
        return max(crash.happened_at for crash in self.crash_by_id.values())

    @property
    def _was_proven(self) -> bool:
        """Return whether it was proven shortly before its crashes."""
        first_crash_at = self.counted[0].happened_at
        return first_crash_at - self.proven_at <= CRASH_WINDOW_SECONDS

    def count(self) -> None:
        """Choose the crashes that count, as many as possible."""
        counted: list[SuspectedCrash] = []
        together = 0
        self._happened_together = False
        for crash in self._by_time():
            if not counted:
                counted = [crash]
                together = 1
                continue
            last = counted[-1]
            gap = crash.happened_at - last.happened_at
            if (
                gap > CRASH_WINDOW_SECONDS
                and len(counted) < CRASHES_UNTIL_REFUSED
            ):
                counted = [crash]
                together = 1
                self._happened_together = False
            elif crash.sent_at >= last.happened_at:
                counted.append(crash)
                together = 1
            else:
                together += 1
            if together >= CRASHES_UNTIL_REFUSED:
                self._happened_together = True
        self.counted = counted

    def most_telling_crashes(self) -> set[CrashId]:
        """Return as many crashes as are kept, first those that count."""
        counted = set(self.counted)
        ids = sorted(
            self.crash_by_id,
            key=lambda crash_id: (
                self.crash_by_id[crash_id] in counted,
                self.crash_by_id[crash_id].happened_at,
            ),
        )
        return set(ids[-MAXIMUM_CRASHES_PER_PART:])

    def _by_time(self) -> list[SuspectedCrash]:
        return sorted(
            self.crash_by_id.values(), key=lambda crash: crash.happened_at
        )
