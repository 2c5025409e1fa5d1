"""How many requests of callers one router works on at once.

Load that this answers: the connections of a large workspace all lead to one
entry VM and bring more requests than its processor can forward. Without a
limit each of them is served too late, and new connections wait unread.
"""

from collections import Counter

# An event loop that is this late delays the requests that it has too much; a
# request waits for several rounds, and the shortest aims in use are 0.125 s.
DELAY_LIMIT_SECONDS = 0.05
# One late round of the loop may have another cause, such as a large
# configuration.
LATE_SAMPLES = 2
# A delay of this many times the limit counts at once. A loop that takes seconds
# for one round is measured only once in these seconds.
VERY_LATE_FACTOR = 5.0
# Part of the requests under way that stays after a late sample, at most and at
# least. In between it falls as the delay grows.
LARGEST_DECREASE_FACTOR = 0.8
LEAST_DECREASE_FACTOR = 0.1
# Requests, and part of the limit, by which it grows after each sample that is
# not late; it doubles in less than a second. It grows only while at least half
# of it is used, so that it is still near the load when a burst comes.
INCREASE = 4
INCREASE_FRACTION = 0.1
USED_FRACTION = 0.5
# A router works on at least this many requests, however slow it is.
LEAST_LIMIT = 8
# Requests under way that one processor certainly forwards: half of the 530
# requests a second of docs/proof.md, of one second each. It is the limit before
# the load has shown how many more there may be.
REQUESTS_PER_PROCESSOR = 265


class EntryLimit:
    """Limit that falls while the event loop is late, and grows otherwise.

    The requests under way are shared by the workspaces that have some: a
    workspace is refused only beyond its even share of the limit.

    Attributes:
        limit: Requests that may be under way.
        active: Requests under way.

    Args:
        processors: Processor time that the router may use, in cores.
    """

    def __init__(self, processors: float = 1.0) -> None:
        self.limit = max(
            LEAST_LIMIT, round(REQUESTS_PER_PROCESSOR * processors)
        )
        self.active = 0
        self._largest_active = 0
        self._late_samples = 0
        self._active_by_workspace: Counter[str] = Counter()

    def note_delay(self, seconds: float) -> None:
        """Take over how late the event loop was.

        Args:
            seconds: Delay of a timer, measured some ten times a second.
        """
        largest_active, self._largest_active = self._largest_active, self.active
        if seconds <= DELAY_LIMIT_SECONDS:
            self._late_samples = 0
            if largest_active >= USED_FRACTION * self.limit:
                self.limit += max(INCREASE, int(INCREASE_FRACTION * self.limit))
            return
        self._late_samples += 1
        lateness = seconds / DELAY_LIMIT_SECONDS
        if self._late_samples < LATE_SAMPLES and lateness < VERY_LATE_FACTOR:
            return
        factor = min(
            LARGEST_DECREASE_FACTOR, max(LEAST_DECREASE_FACTOR, 2 / lateness)
        )
        present = min(self.limit, self.active)
        self.limit = max(LEAST_LIMIT, int(factor * present))

    @property
    def is_full(self) -> bool:
        """Return whether as many requests are under way as may be."""
        return self.active >= self.limit

    def has_room(self, workspace: str) -> bool:
        """Return whether a request of a workspace may be worked on."""
        if not self.is_full:
            return True
        own = self._active_by_workspace.get(workspace, 0)
        workspaces = len(self._active_by_workspace) + (own == 0)
        return own < self.limit / workspaces

    def begin(self, workspace: str) -> bool:
        """Return whether a request may be worked on, and count it if so."""
        if not self.has_room(workspace):
            return False
        self._active_by_workspace[workspace] += 1
        self.active += 1
        self._largest_active = max(self._largest_active, self.active)
        return True

    def end(self, workspace: str) -> None:
        """Take over that a request has ended."""
        self.active -= 1
        self._active_by_workspace[workspace] -= 1
        if not self._active_by_workspace[workspace]:
            del self._active_by_workspace[workspace]
