"""Which requests suspected of crashing upstreams run where in the fleet.

A router reserves an upstream for a suspect and announces that. It sends the
suspect `SETTLE_SECONDS` later, unless a router of lower rank has announced a
conflicting run. Two reservations conflict if they have the same upstream or
the same fingerprint. If announcements arrive within half of that time, no two
conflicting runs are ever sent: of two reservations, the later one is refused if
its router has the other announcement, and otherwise both routers have both
announcements before they send. If announcements are later or lost, suspects
may share an upstream; every router still keeps its own suspects apart.
"""

from dataclasses import dataclass

from lacewingspar_core.identity import RouterLife
from lacewingspar_core.messages import SuspectRun, SuspectRuns

SETTLE_SECONDS = 0.1
# Announcements are repeated, so that a lost one does no lasting harm.
RENEW_SECONDS = 1.0
EXPIRY_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class _Announced:
    """Reservations of another router."""

    sequence: int
    runs: tuple[SuspectRun, ...]
    expires_at: float


class SuspectTable:
    """Reserved runs of the suspects of one service.

    Args:
        service: Name of the service.
        life: Life of this router.
    """

    def __init__(self, service: str, life: RouterLife) -> None:
        self.service = service
        self._life = life
        self._sequence = 0
        self._own: list[SuspectRun] = []
        self._announced_by_life: dict[RouterLife, _Announced] = {}

    @property
    def has_own_runs(self) -> bool:
        """Return whether this router has reservations."""
        return bool(self._own)

    def busy_upstreams(self, now: float) -> frozenset[str]:
        """Return the upstreams that are reserved for a suspect."""
        return frozenset(run.upstream_id for _, run in self._known(now))

    def is_running(self, fingerprint: str, now: float) -> bool:
        """Return whether there is a reservation for a request."""
        return any(
            run.fingerprint == fingerprint for _, run in self._known(now)
        )

    def reserve(self, run: SuspectRun, now: float) -> bool:
        """Reserve an upstream unless that conflicts with a known run."""
        if any(_conflicts(run, other) for _, other in self._known(now)):
            return False
        self._own.append(run)
        return True

    def must_yield(self, run: SuspectRun, now: float) -> bool:
        """Return whether a router of lower rank has a conflicting run."""
        return any(
            _conflicts(run, other)
            for life, other in self._known(now)
            if life < self._life
        )

    def release(self, run: SuspectRun) -> None:
        """End a reservation of this router."""
        if run in self._own:
            self._own.remove(run)

    def merge(
        self, sender: RouterLife, message: SuspectRuns, now: float
    ) -> None:
        """Take over the reservations of another router."""
        known = self._announced_by_life.get(sender)
        if known is not None and known.sequence >= message.sequence:
            return
        self._announced_by_life = {
            life: announced
            for life, announced in self._announced_by_life.items()
            if now < announced.expires_at
        }
        self._announced_by_life[sender] = _Announced(
            message.sequence, message.runs, now + EXPIRY_SECONDS
        )

    def publish(self) -> SuspectRuns:
        """Return the announcement of this router's reservations."""
        self._sequence += 1
        return SuspectRuns(self.service, self._sequence, tuple(self._own))

    def _known(self, now: float) -> list[tuple[RouterLife, SuspectRun]]:
        known = [(self._life, run) for run in self._own]
        for life, announced in self._announced_by_life.items():
            if now < announced.expires_at:
                known += [(life, run) for run in announced.runs]
        return known


def _conflicts(run: SuspectRun, other: SuspectRun) -> bool:
    return (
        run.upstream_id == other.upstream_id
        or run.fingerprint == other.fingerprint
    )
