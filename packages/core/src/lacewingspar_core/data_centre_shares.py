"""Division of a router's requests among the data centres.

Designed for one data centre that gets more requests than its upstreams can
serve, for example from the callers of one large workspace, while others have
room. Requests stay in the own data centre unless they would wait there longer
than elsewhere, and requests with the same shared prompt parts go the same way.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from lacewingspar_core.ownership import weighted_choice

# Mean wait for an upstream above which requests leave the own data centre. It
# is below the waits at which requests are declined.
HIGH_WAIT_SECONDS = 0.03
# Mean wait below which they return.
LOW_WAIT_SECONDS = 0.01
# A data centre is preferred only if it saves this much waiting, which is more
# than a message to another data centre takes.
WAIT_MARGIN_SECONDS = 0.02
# Interval at which the share that leaves is adapted.
ADAPTATION_INTERVAL_SECONDS = 0.1
# Largest change of the share in one adaptation.
MAX_SHARE_CHANGE = 0.05
# Decrease of the share while requests hardly wait in the own data centre.
SHARE_DECREASE = 0.02
# Weight of a new wait in the mean, and the time constant with which a mean
# without new waits falls.
WAIT_WEIGHT = 0.1
WAIT_DECAY_SECONDS = 1.0
# Another data centre gets half as many requests for each such step of its mean
# wait, down to a minimum. Steps keep requests from moving with every wait.
WAIT_STEP_SECONDS = 0.1
MAX_WAIT_STEPS = 3
# A data centre whose pool owner did not respond gets no requests for this long.
EXCLUSION_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class ShareAdaptation:
    """How fast the share of the requests that leave follows the waits.

    Small differences of the waits cause small changes, because queues follow a
    change of the share only after some time.

    Attributes:
        change_per_second: Change of the share for each second that requests
            wait longer in one data centre than in the others.
        mean_weight: Weight of a router's share in the mean of its data centre,
            for each request that it sends to the pool owner.
        adoption_weight: Weight of that mean for each decision.
    """

    change_per_second: float
    mean_weight: float
    adoption_weight: float


GRADUAL_ADAPTATION = ShareAdaptation(0.1, 0.05, 0.2)
# Keeps most of a router's own change, where routers with few requests would
# otherwise hold back a full one. More bytes cross data centres.
FAST_ADAPTATION = ShareAdaptation(0.2, 0.2, 0.1)


@dataclass(slots=True)
class _MeanWait:
    """Moving average of the waits in a data centre."""

    seconds: float = 0.0
    updated_at: float = 0.0

    def at(self, now: float) -> float:
        age = max(0.0, now - self.updated_at)
        return self.seconds * WAIT_DECAY_SECONDS / (WAIT_DECAY_SECONDS + age)

    def add(self, seconds: float, now: float) -> None:
        mean = self.at(now)
        self.seconds = mean + WAIT_WEIGHT * (seconds - mean)
        self.updated_at = now


class MeanLeavingShare:
    """Mean of the leaving shares of the routers of one data centre.

    Routers approach the mean, so that all send the same prompts to the same
    data centre. The pool owner computes it from the requests that it gets.

    Attributes:
        value: The mean, from 0 to 1.

    Args:
        adaptation: How fast the mean follows.
    """

    def __init__(
        self, adaptation: ShareAdaptation = GRADUAL_ADAPTATION
    ) -> None:
        self.value = 0.0
        self._adaptation = adaptation

    def add(self, share: float) -> None:
        """Add the share of a router that has sent a request."""
        self.value += self._adaptation.mean_weight * (share - self.value)


class DataCentreShares:
    """Chooses the data centre for the requests of one service.

    Attributes:
        leaving_share: Share of the requests that leave the own data centre,
            from 0 to 1.

    Args:
        own_data_centre: Data centre of this router.
        adaptation: How fast the share follows the waits.
    """

    def __init__(
        self,
        own_data_centre: str,
        adaptation: ShareAdaptation = GRADUAL_ADAPTATION,
    ) -> None:
        self._own = own_data_centre
        self._adaptation = adaptation
        self.leaving_share = 0.0
        self._adapted_at = float("-inf")
        self._wait_by_data_centre: dict[str, _MeanWait] = {}
        self._excluded_until_by_data_centre: dict[str, float] = {}

    def record_wait(self, data_centre: str, seconds: float, now: float) -> None:
        """Record how long a request has waited, or would have to wait.

        Args:
            data_centre: Data centre of the pool.
            seconds: Wait until the grant, or the expected wait of a request
                that was declined.
            now: Time in seconds.
        """
        wait = self._wait_by_data_centre.setdefault(data_centre, _MeanWait())
        wait.add(seconds, now)

    def adopt(self, mean_leaving_share: float) -> None:
        """Approach the mean share of the routers of this data centre."""
        difference = mean_leaving_share - self.leaving_share
        self.leaving_share += self._adaptation.adoption_weight * difference

    def mean_wait(self, data_centre: str, now: float) -> float:
        """Return the mean of the recent waits in seconds, 0 if unknown."""
        wait = self._wait_by_data_centre.get(data_centre)
        return 0.0 if wait is None else wait.at(now)

    def mean_waits(self, now: float) -> dict[str, float]:
        """Return the mean of the recent waits by data centre, in seconds."""
        return {
            data_centre: wait.at(now)
            for data_centre, wait in self._wait_by_data_centre.items()
        }

    def exclude(self, data_centre: str, now: float) -> None:
        """Leave out another data centre whose pool owner did not respond."""
        if data_centre != self._own:
            until = now + EXCLUSION_SECONDS
            self._excluded_until_by_data_centre[data_centre] = until

    def choose(
        self,
        key: str,
        upstream_count_by_data_centre: Mapping[str, int],
        now: float,
        rejected: Collection[str] = (),
    ) -> str | None:
        """Return the data centre for a request.

        Args:
            key: Requests with the same key go the same way.
            upstream_count_by_data_centre: Upstreams of the service.
            now: Time in seconds.
            rejected: Data centres that have declined the request.

        Returns:
            The data centre, or None if all have been rejected.
        """
        candidates = {
            data_centre: count
            for data_centre, count in upstream_count_by_data_centre.items()
            if data_centre not in rejected
        }
        if not candidates:
            return None
        reachable = {
            data_centre: count
            for data_centre, count in candidates.items()
            if now >= self._excluded_until_by_data_centre.get(data_centre, 0.0)
        }
        candidates = reachable or candidates
        if not rejected:
            self._adapt(candidates, now)
        return weighted_choice(key, self._weights(candidates, now))

    def _weights(
        self, count_by_data_centre: Mapping[str, int], now: float
    ) -> dict[str, float]:
        """Return the share of the requests of each data centre."""
        weight_by_data_centre = {
            data_centre: count / 2 ** self._wait_steps(data_centre, now)
            for data_centre, count in count_by_data_centre.items()
            if data_centre != self._own
        }
        if self._own not in count_by_data_centre:
            return weight_by_data_centre
        total = sum(weight_by_data_centre.values())
        if not total:
            return {self._own: 1.0}
        shares = {
            data_centre: self.leaving_share * weight / total
            for data_centre, weight in weight_by_data_centre.items()
        }
        return {self._own: 1.0 - self.leaving_share} | shares

    def _wait_steps(self, data_centre: str, now: float) -> int:
        steps = int(self.mean_wait(data_centre, now) / WAIT_STEP_SECONDS)
        return min(MAX_WAIT_STEPS, steps)

    def _adapt(
        self, count_by_data_centre: Mapping[str, int], now: float
    ) -> None:
        """Move requests to where they wait less, or back."""
        if now < self._adapted_at + ADAPTATION_INTERVAL_SECONDS:
            return
        self._adapted_at = now
        others = [item for item in count_by_data_centre if item != self._own]
        if self._own not in count_by_data_centre or not others:
            return
        own = self.mean_wait(self._own, now)
        other = sum(self.mean_wait(item, now) for item in others) / len(others)
        difference = own - other
        change = min(
            MAX_SHARE_CHANGE,
            self._adaptation.change_per_second * abs(difference),
        )
        if own > HIGH_WAIT_SECONDS and difference > WAIT_MARGIN_SECONDS:
            self.leaving_share += change
        elif difference < -WAIT_MARGIN_SECONDS:
            self.leaving_share -= change
        elif own < LOW_WAIT_SECONDS:
            self.leaving_share -= SHARE_DECREASE
        self.leaving_share = min(1.0, max(0.0, self.leaving_share))
