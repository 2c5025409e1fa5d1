"""Demand for the slots of one service, as an owner knows it."""

from collections.abc import Iterator
from dataclasses import dataclass

from lacewingspar_core.identity import RouterLife
from lacewingspar_core.messages import Demand, DemandEntry


@dataclass(frozen=True, slots=True)
class DemandKey:
    """Requests that are alike for an owner.

    Attributes:
        workspace: Name of the workspace.
        model: Model that the requests need, or "" for any upstream.
    """

    workspace: str
    model: str


@dataclass(slots=True)
class _HolderDemand:
    """Waiting requests of one key at one holder."""

    waiting: int = 0
    oldest_since: float = 0.0
    estimate_seconds: float = 0.0
    offered: int = 0


class DemandTable:
    """Waiting requests by key and holder, less those with an open offer."""

    def __init__(self) -> None:
        self._holders_by_key: dict[
            DemandKey, dict[RouterLife, _HolderDemand]
        ] = {}
        self._sequence_by_holder: dict[RouterLife, int] = {}

    def update(self, holder: RouterLife, message: Demand, now: float) -> bool:
        """Take over a holder's demand.

        Returns:
            Whether the message was newer than the last one of that holder.
        """
        if message.sequence <= self._sequence_by_holder.get(holder, -1):
            return False
        self._sequence_by_holder[holder] = message.sequence
        if message.full:
            for holders in self._holders_by_key.values():
                if holder in holders:
                    holders[holder].waiting = 0
        for entry in message.entries:
            self._set(holder, entry, now)
            self._drop_if_empty(DemandKey(entry.workspace, entry.model), holder)
        if message.full:
            self._drop_all_empty()
        return True

    def remove_holder(self, holder: RouterLife) -> None:
        """Drop the demand of a holder that is gone."""
        self._sequence_by_holder.pop(holder, None)
        for holders in self._holders_by_key.values():
            holders.pop(holder, None)
        self._drop_all_empty()

    def open_keys(self) -> Iterator[DemandKey]:
        """Return the keys with requests that have no open offer yet."""
        for key, holders in self._holders_by_key.items():
            if any(held.waiting > held.offered for held in holders.values()):
                yield key

    def waiting_by_workspace(self) -> dict[str, int]:
        """Return the numbers of waiting requests without an open offer."""
        result: dict[str, int] = {}
        for key, holders in self._holders_by_key.items():
            free = sum(
                max(0, held.waiting - held.offered) for held in holders.values()
            )
            if free:
                result[key.workspace] = result.get(key.workspace, 0) + free
        return result

    def oldest_holder(self, key: DemandKey) -> RouterLife | None:
        """Return the holder whose request of a key has waited longest."""
        free = [
            (held.oldest_since, holder)
            for holder, held in self._holders_by_key.get(key, {}).items()
            if held.waiting > held.offered
        ]
        return min(free)[1] if free else None

    def estimate_seconds(self, key: DemandKey, holder: RouterLife) -> float:
        """Return the measured mean cost of such requests, or 0."""
        held = self._holders_by_key.get(key, {}).get(holder)
        return held.estimate_seconds if held else 0.0

    def note_offer(self, key: DemandKey, holder: RouterLife) -> None:
        """Count an open offer."""
        held = self._holders_by_key.get(key, {}).get(holder)
        if held:
            held.offered += 1

    def note_taken(self, key: DemandKey, holder: RouterLife) -> None:
        """Count a request that an owner elsewhere has offered a slot."""
        held = self._holders_by_key.get(key, {}).get(holder)
        if held:
            held.waiting = max(0, held.waiting - 1)
            self._drop_if_empty(key, holder)

    def note_offer_end(
        self, key: DemandKey, holder: RouterLife, *, accepted: bool
    ) -> None:
        """Count the end of an open offer.

        Args:
            key: Key of the offer.
            holder: Holder that got the offer.
            accepted: Whether a request was bound. Otherwise the holder had
                none, so what is known of its demand is stale and counts as
                zero until its next message.
        """
        held = self._holders_by_key.get(key, {}).get(holder)
        if held is None:
            return
        held.offered = max(0, held.offered - 1)
        held.waiting = max(0, held.waiting - 1) if accepted else 0
        self._drop_if_empty(key, holder)

    def _set(self, holder: RouterLife, entry: DemandEntry, now: float) -> None:
        key = DemandKey(entry.workspace, entry.model)
        holders = self._holders_by_key.setdefault(key, {})
        held = holders.setdefault(holder, _HolderDemand())
        held.waiting = entry.waiting
        held.oldest_since = now - entry.oldest_wait_seconds
        held.estimate_seconds = entry.estimate_seconds

    def _drop_if_empty(self, key: DemandKey, holder: RouterLife) -> None:
        holders = self._holders_by_key.get(key, {})
        held = holders.get(holder)
        if held is not None and held.waiting == 0 and held.offered == 0:
            del holders[holder]
        if not holders:
            self._holders_by_key.pop(key, None)

    def _drop_all_empty(self) -> None:
        for key, holders in list(self._holders_by_key.items()):
            for holder in list(holders):
                self._drop_if_empty(key, holder)
            if not holders:
                self._holders_by_key.pop(key, None)
