"""What readers of the log have confirmed, and what of it a router lacks."""

from dataclasses import dataclass

# Positions that are remembered while a router lacks them. Further ones are
# confirmed again.
MAX_POSITIONS = 64


@dataclass(frozen=True, slots=True)
class StatePosition:
    """How much of the shared state a router has, or a reader has confirmed.

    Attributes:
        configuration_version: Version of the configuration, or -1 without one.
        directory_offset: Offset up to which all changes of the upstream list
            are known, or -1 without a list.
        evacuation_offset: Offset of the known set of evacuated data centres, or
            -1 if it is unknown.
    """

    configuration_version: int
    directory_offset: int
    evacuation_offset: int

    @property
    def is_complete(self) -> bool:
        """Return whether each part of the shared state is known."""
        return (
            self.configuration_version >= 0
            and self.directory_offset >= 0
            and self.evacuation_offset >= 0
        )

    def covers(self, other: "StatePosition") -> bool:
        """Return whether nothing lacks here that the other position has."""
        return (
            self.configuration_version >= other.configuration_version
            and self.directory_offset >= other.directory_offset
            and self.evacuation_offset >= other.evacuation_offset
        )


@dataclass(frozen=True, slots=True)
class LackedState:
    """Confirmed positions that a router has not reached.

    Attributes:
        confirmed: Times in seconds at which confirmations were received, and
            their positions; the oldest first.
    """

    confirmed: tuple[tuple[float, StatePosition], ...] = ()

    def after_confirmation(
        self, position: StatePosition, own: StatePosition, now: float
    ) -> "LackedState":
        """Return the state after a reader has confirmed a position.

        Args:
            position: What the reader has.
            own: What this router has.
            now: Time in seconds.
        """
        left = self.after_progress(own)
        known = left.confirmed
        if own.covers(position) or len(known) >= MAX_POSITIONS:
            return left
        if any(lacked.covers(position) for _, lacked in known):
            return left
        return LackedState((*known, (now, position)))

    def after_progress(self, own: StatePosition) -> "LackedState":
        """Return the state without the positions that were reached."""
        if not self.confirmed:
            return self
        return LackedState(
            tuple(item for item in self.confirmed if not own.covers(item[1]))
        )

    def age_seconds(self, now: float) -> float | None:
        """Return for how long the oldest position is lacked, if any is."""
        if not self.confirmed:
            return None
        lacked_since, _ = self.confirmed[0]
        return now - lacked_since

    def newest(self) -> StatePosition | None:
        """Return the position that was confirmed last, if any is lacked."""
        return self.confirmed[-1][1] if self.confirmed else None
