"""What upstreams have announced about accepting requests.

The state of an upstream without a notice is not stored: it accepts requests.
One that is gone is forgotten some time after its entry was removed.
"""

from collections.abc import Collection
from dataclasses import dataclass

# After the time for which an upstream asked a router to wait, one request
# probes it and the others are withheld for this long, unless the probe ends.
PROBE_SECONDS = 0.5
# Maximum number of probes of one upstream whose responses end the probing.
MAX_PROBES = 16
# Notices of upstreams that are not listed are kept for this long, as their
# entries may arrive later. Copies of entries are delayed by seconds at most.
UNLISTED_MEMORY_SECONDS = 120.0
# Maximum number of upstreams with a notice; a fleet has some hundred upstreams.
MAX_NOTICES = 4096


@dataclass(frozen=True, slots=True)
class Leaving:
    """The upstream is shutting down and must get no new requests."""


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """The upstream refused a request and asked this router to wait.

    Attributes:
        seconds: Time for which it wants no requests of this router.
    """

    seconds: float


UpstreamNotice = Leaving | RetryAfter


@dataclass(frozen=True, slots=True)
class _Waiting:
    """The upstream gets no request until a time, then one as a probe."""

    until: float


@dataclass(frozen=True, slots=True)
class _Probing:
    """One request probes the upstream; the others are withheld until a time.

    Attributes:
        until: Time until which the others are withheld.
        numbers: Numbers of the latest probes, any of which may still end.
    """

    until: float
    numbers: tuple[int, ...]


_State = Leaving | _Waiting | _Probing


@dataclass(frozen=True, slots=True)
class _Record:
    """State of one incarnation of an upstream."""

    born_ms: int
    state: _State
    recorded_at: float


class UpstreamNotices:
    """The notices that this router knows, by upstream and incarnation.

    Incarnations are told apart by their start time, `UpstreamEntry.born_ms`.
    All other times are in seconds on the router's own clock.
    """

    def __init__(self) -> None:
        self._record_by_id: dict[str, _Record] = {}

    def record(
        self,
        upstream_id: str,
        born_ms: int,
        notice: UpstreamNotice,
        now: float,
    ) -> bool:
        """Record a notice of one incarnation of an upstream.

        Returns:
            Whether it is news: not a repetition, nor a longer wait.
        """
        known = self._record_by_id.get(upstream_id)
        if known is not None and known.born_ms > born_ms:
            return False
        state = (
            None if known is None or known.born_ms < born_ms else known.state
        )
        following = _state_after(state, notice, now)
        if state == following:
            return False
        if known is None:
            self._make_room()
        self._record_by_id[upstream_id] = _Record(born_ms, following, now)
        return not (
            isinstance(following, _Waiting) and _is_withheld(state, now)
        )

    def record_incarnation(self, upstream_id: str, born_ms: int) -> None:
        """Forget what earlier incarnations of a listed upstream announced."""
        known = self._record_by_id.get(upstream_id)
        if known is not None and known.born_ms < born_ms:
            del self._record_by_id[upstream_id]

    def is_leaving(self, upstream_id: str, born_ms: int) -> bool:
        """Return whether an incarnation, or a later one, is leaving."""
        known = self._record_by_id.get(upstream_id)
        return (
            known is not None
            and known.born_ms >= born_ms
            and isinstance(known.state, Leaving)
        )

    def withheld(self, now: float) -> frozenset[str]:
        """Return the upstreams that must not get a request now."""
        return frozenset(
            upstream_id
            for upstream_id, record in self._record_by_id.items()
            if _is_withheld(record.state, now)
        )

    def returns_at(self, upstream_id: str) -> float | None:
        """Return the time until which an upstream asked to wait, or None."""
        match self._record_by_id.get(upstream_id):
            case _Record(state=_Waiting(until) | _Probing(until)):
                return until
            case _:
                return None

    def try_begin(self, upstream_id: str, number: int, now: float) -> bool:
        """Record that a request is about to be sent, possibly as a probe.

        May be called again for the same request.

        Args:
            upstream_id: Upstream of the request.
            number: Number of the request.
            now: Time in seconds.

        Returns:
            Whether the request may be sent.
        """
        known = self._record_by_id.get(upstream_id)
        if known is None:
            return True
        probes: tuple[int, ...] = ()
        match known.state:
            case _Probing(numbers=probes) if number in probes:
                return True
        if _is_withheld(known.state, now):
            return False
        probes = (*probes, number)[-MAX_PROBES:]
        self._record_by_id[upstream_id] = _Record(
            known.born_ms, _Probing(now + PROBE_SECONDS, probes), now
        )
        return True

    def end_probe(self, upstream_id: str, number: int) -> None:
        """Record that a request was not answered with a new notice."""
        match self._record_by_id.get(upstream_id):
            case _Record(state=_Probing(numbers=probes)) if number in probes:
                del self._record_by_id[upstream_id]

    def forget_unlisted(self, listed: Collection[str], now: float) -> None:
        """Forget upstreams that have not been listed for some time."""
        oldest = now - UNLISTED_MEMORY_SECONDS
        for upstream_id, record in list(self._record_by_id.items()):
            if upstream_id not in listed and record.recorded_at < oldest:
                del self._record_by_id[upstream_id]

    def _make_room(self) -> None:
        """Forget the oldest notice if there are too many."""
        if len(self._record_by_id) >= MAX_NOTICES:
            del self._record_by_id[next(iter(self._record_by_id))]


def _state_after(
    state: _State | None, notice: UpstreamNotice, now: float
) -> _State:
    """Return the state after a notice; leaving is final."""
    match (state, notice):
        case (Leaving(), _) | (_, Leaving()):
            return Leaving()
        case (_Waiting(until), RetryAfter(seconds)):
            return _Waiting(max(until, now + seconds))
        case (_, RetryAfter(seconds)):
            return _Waiting(now + seconds)


def _is_withheld(state: _State | None, now: float) -> bool:
    match state:
        case None:
            return False
        case Leaving():
            return True
        case _Waiting(until) | _Probing(until):
            return now < until
