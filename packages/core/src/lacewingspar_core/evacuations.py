"""Data centres whose upstreams must not receive requests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Evacuations:
    """The evacuated data centres as of an offset of the operators' topic.

    Routers pass on the whole set: it has as many members as there are data
    centres at most. Of two sets the one with the higher offset is the newer.

    Attributes:
        data_centres: The evacuated data centres.
        offset: Offset after the last record that was applied, or of the end of
            the last listing; -1 if nothing is known.
    """

    data_centres: frozenset[str] = frozenset()
    offset: int = -1

    @property
    def is_known(self) -> bool:
        """Return whether the set comes from the operators' topic."""
        return self.offset >= 0

    def after_record(
        self, data_centre: str, offset: int, *, is_evacuated: bool
    ) -> "Evacuations":
        """Return the set after a record; one that is included has no effect.

        Args:
            data_centre: Data centre that the record is about.
            offset: Offset of the record.
            is_evacuated: Whether the record requests the evacuation, or
                cancels it.
        """
        if offset < self.offset:
            return self
        others = self.data_centres - {data_centre}
        evacuated = others | {data_centre} if is_evacuated else others
        return Evacuations(evacuated, offset + 1)

    def newest(self, other: "Evacuations") -> "Evacuations":
        """Return the newer one of this set and another one."""
        return other if other.offset > self.offset else self
