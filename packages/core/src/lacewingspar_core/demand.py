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

    @property
    def free(self) -> int:
        """Return the number of requests without an open offer."""
        return max(0, self.waiting - self.offered)


class DemandTable:
    """Waiting requests by key and holder, less those with an open offer.

    An owner asks for the open keys at every event, so the sums over holders
    are kept instead of computed: at 78 holders with 70 keys each a sum takes
    milliseconds.
    """

    def __init__(self) -> None:
        self._holders_by_key: dict[
            DemandKey, dict[RouterLife, _HolderDemand]
        ] = {}
        self._free_by_key: dict[DemandKey, int] = {}
        # In order of arrival, so that the same events give the same order.
        self._keys_by_holder: dict[RouterLife, dict[DemandKey, None]] = {}
        self._sequence_by_holder: dict[RouterLife, int] = {}

    def update(self, holder: RouterLife, message: Demand, now: float) -> bool:
        """Take over a holder's demand.

        Returns:
            Whether the message was newer than the last one of that holder.
        """
        if message.sequence <= self._sequence_by_holder.get(holder, -1):
            return False
        self._sequence_by_holder[holder] = message.sequence
        for entry in message.entries:
            self._set(holder, entry, now)
        if message.full:
            listed = {
                DemandKey(entry.workspace, entry.model)
                for entry in message.entries
            }
            for key in list(self._keys_by_holder.get(holder, ())):
                if key not in listed:
                    self._change(key, holder, waiting=0)
        return True

    def remove_holder(self, holder: RouterLife) -> None:
        """Drop the demand of a holder that is gone."""
        self._sequence_by_holder.pop(holder, None)
        for key in list(self._keys_by_holder.get(holder, ())):
            self._change(key, holder, waiting=0, offered=0)

    def open_keys(self) -> Iterator[DemandKey]:
        """Return the keys with requests that have no open offer yet."""
        for key in self._holders_by_key:
            if self._free_by_key.get(key):
                yield key

    def waiting_by_workspace(self) -> dict[str, int]:
        """Return the numbers of waiting requests without an open offer."""
        result: dict[str, int] = {}
        for key in self.open_keys():
            free = self._free_by_key[key]
            result[key.workspace] = result.get(key.workspace, 0) + free
        return result

    def oldest_holder(self, key: DemandKey) -> RouterLife | None:
        """Return the holder whose request of a key has waited longest."""
        free = [
            (held.oldest_since, holder)
            for holder, held in self._holders_by_key.get(key, {}).items()
            if held.free
        ]
        return min(free)[1] if free else None

    def estimate_seconds(self, key: DemandKey, holder: RouterLife) -> float:
        """Return the measured mean cost of such requests, or 0."""
        held = self._held(key, holder)
        return held.estimate_seconds if held else 0.0

    def note_offer(self, key: DemandKey, holder: RouterLife) -> None:
        """Count an open offer."""
        held = self._held(key, holder)
        if held:
            self._change(key, holder, offered=held.offered + 1)

    def note_taken(self, key: DemandKey, holder: RouterLife) -> None:
        """Count a request that an owner elsewhere has offered a slot."""
        held = self._held(key, holder)
        if held:
            self._change(key, holder, waiting=max(0, held.waiting - 1))

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
        held = self._held(key, holder)
        if held is None:
            return
        self._change(
            key,
            holder,
            waiting=max(0, held.waiting - 1) if accepted else 0,
            offered=max(0, held.offered - 1),
        )

    def _held(self, key: DemandKey, holder: RouterLife) -> _HolderDemand | None:
        return self._holders_by_key.get(key, {}).get(holder)

    def _set(self, holder: RouterLife, entry: DemandEntry, now: float) -> None:
        key = DemandKey(entry.workspace, entry.model)
        holders = self._holders_by_key.setdefault(key, {})
        held = holders.setdefault(holder, _HolderDemand())
        self._keys_by_holder.setdefault(holder, {})[key] = None
        held.oldest_since = now - entry.oldest_wait_seconds
        held.estimate_seconds = entry.estimate_seconds
        self._change(key, holder, waiting=entry.waiting)

    def _change(
        self,
        key: DemandKey,
        holder: RouterLife,
        *,
        waiting: int | None = None,
        offered: int | None = None,
    ) -> None:
        """Change counts of a holder and drop it if they are zero."""
        holders = self._holders_by_key[key]
        held = holders[holder]
        free_before = held.free
        held.waiting = held.waiting if waiting is None else waiting
        held.offered = held.offered if offered is None else offered
        free = self._free_by_key.get(key, 0) + held.free - free_before
        self._free_by_key[key] = free
        if held.waiting or held.offered:
            return
        del holders[holder]
        keys = self._keys_by_holder[holder]
        del keys[key]
        if not keys:
            del self._keys_by_holder[holder]
        if not holders:
            del self._holders_by_key[key]
            del self._free_by_key[key]
