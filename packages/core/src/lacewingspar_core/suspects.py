"""Reservations of upstreams for requests suspected of crashing them.

A router reserves an upstream for a suspect and announces the reservation. It
sends the suspect after `RESERVATION_DELAY_SECONDS`, unless a router of lower
rank has announced a conflicting run. Two reservations conflict if they have the
same upstream or the same fingerprint.

If announcements arrive within half of that time, two conflicting runs are never
both sent. Either the later reservation is refused because its router has
already received the other announcement, or both routers receive both
announcements before they send. If announcements arrive later or are lost,
suspects may share an upstream; every router still keeps its own suspects on
separate upstreams.
"""

from dataclasses import dataclass

from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.messages import SuspectRun, SuspectRuns

RESERVATION_DELAY_SECONDS = 0.1
# Announcements are repeated, so that a lost one has no lasting effect.
ANNOUNCEMENT_INTERVAL_SECONDS = 1.0
RESERVATION_EXPIRY_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class _Announcement:
    """Latest reservations that another router has announced."""

    sequence: int
    runs: tuple[SuspectRun, ...]
    expires_at: float


class SuspectTable:
    """Reservations for the suspects of one service.

    Args:
        service: Name of the service.
        instance: Instance of this router.
    """

    def __init__(self, service: str, instance: RouterInstance) -> None:
        self.service = service
        self._instance = instance
        self._sequence = 0
        self._own_runs: list[SuspectRun] = []
        self._announcement_by_instance: dict[RouterInstance, _Announcement] = {}

    @property
    def has_own_runs(self) -> bool:
        """Return whether this router has reservations."""
        return bool(self._own_runs)

    def reserved_upstreams(self, now: float) -> frozenset[str]:
        """Return the upstreams that are reserved for a suspect."""
        return frozenset(
            run.upstream_id for _, run in self._active_reservations(now)
        )

    def is_reserved(self, fingerprint: str, now: float) -> bool:
        """Return whether there is a reservation for a request."""
        return any(
            run.fingerprint == fingerprint
            for _, run in self._active_reservations(now)
        )

    def reserve(self, run: SuspectRun, now: float) -> bool:
        """Reserve an upstream unless the run conflicts with a known one."""
        if any(
            _conflicts(run, other)
            for _, other in self._active_reservations(now)
        ):
            return False
        self._own_runs.append(run)
        return True

    def must_yield(self, run: SuspectRun, now: float) -> bool:
        """Return whether a router of lower rank has a conflicting run."""
        return any(
            _conflicts(run, other)
            for instance, other in self._active_reservations(now)
            if instance < self._instance
        )

    def release(self, run: SuspectRun) -> None:
        """Release a reservation of this router."""
        if run in self._own_runs:
            self._own_runs.remove(run)

    def merge(
        self, sender: RouterInstance, message: SuspectRuns, now: float
    ) -> None:
        """Store the reservations that another router has announced."""
        known = self._announcement_by_instance.get(sender)
        if known is not None and known.sequence >= message.sequence:
            return
        self._announcement_by_instance = {
            instance: announcement
            for instance, announcement in self._announcement_by_instance.items()
            if now < announcement.expires_at
        }
        self._announcement_by_instance[sender] = _Announcement(
            message.sequence, message.runs, now + RESERVATION_EXPIRY_SECONDS
        )

    def publish(self) -> SuspectRuns:
        """Return the announcement of this router's reservations."""
        self._sequence += 1
        return SuspectRuns(self.service, self._sequence, tuple(self._own_runs))

    def _active_reservations(
        self, now: float
    ) -> list[tuple[RouterInstance, SuspectRun]]:
        """Return the reservations of all routers that have not expired."""
        known = [(self._instance, run) for run in self._own_runs]
        for instance, announcement in self._announcement_by_instance.items():
            if now < announcement.expires_at:
                known += [(instance, run) for run in announcement.runs]
        return known


def _conflicts(run: SuspectRun, other: SuspectRun) -> bool:
    return (
        run.upstream_id == other.upstream_id
        or run.fingerprint == other.fingerprint
    )
