"""Applies the operators' requests to evacuate data centres."""

from collections.abc import Callable, Iterable

import structlog

from lacewingspar_core.directory import (
    EXPIRY_GRACE_SECONDS,
    UpstreamDirectory,
)
from lacewingspar_core.evacuations import Evacuations
from lacewingspar_core.log_positions import era_of
from lacewingspar_router.application import Application
from lacewingspar_router.components.routing import const
from lacewingspar_router.components.routing.models import (
    KeyedRecord,
    TopicListing,
)
from lacewingspar_router.components.telemetry.models import TELEMETRY

_LOGGER = structlog.get_logger(__name__)


class EvacuationState:
    """The evacuated data centres known to this router.

    After the log was restored to an older state, evacuations that it lacks go
    on for `EXPIRY_GRACE_SECONDS`: the operators write their records again.

    Attributes:
        current: The evacuated data centres, as read.

    Args:
        app: The application.
        decode_key: Returns the data centre of a key of the operators' topic,
            or None for other keys.
        directory: Withholds the upstreams of evacuated data centres.
        on_change: Called after every change.
    """

    def __init__(
        self,
        app: Application,
        decode_key: Callable[[str], str | None],
        directory: UpstreamDirectory,
        on_change: Callable[[], None],
    ) -> None:
        self._app = app
        self._telemetry = app.get(TELEMETRY)
        self._decode_key = decode_key
        self._directory = directory
        self._on_change = on_change
        self._kept_until_by_data_centre: dict[str, float] = {}
        self.current = Evacuations()

    @property
    def kept_data_centres(self) -> frozenset[str]:
        """Return the evacuated data centres that a restored log lacks."""
        return frozenset(self._kept_until_by_data_centre)

    def apply_listing(self, listing: TopicListing, origin: str) -> None:
        """Replace the set by that of a listing of the operators' topic.

        A listing contains no removed keys, so an evacuation that is missing has
        ended.
        """
        listed = (
            self._decode_key(key)
            for key, record in listing.record_by_key.items()
            if record.value
        )
        data_centres = frozenset(item for item in listed if item is not None)
        self.adopt(Evacuations(data_centres, listing.end_offset), origin)

    def apply_records(
        self, records: Iterable[KeyedRecord], origin: str
    ) -> None:
        """Apply records of the operators' topic in order."""
        evacuations = self.current
        for record in records:
            data_centre = self._decode_key(record.key)
            if data_centre is not None and record.offset >= evacuations.offset:
                self._kept_until_by_data_centre.pop(data_centre, None)
                evacuations = evacuations.after_record(
                    data_centre, record.offset, is_evacuated=bool(record.value)
                )
        self.adopt(evacuations, origin)

    def adopt(
        self,
        evacuations: Evacuations,
        origin: str,
        kept_data_centres: frozenset[str] = frozenset(),
    ) -> None:
        """Use a set that was read or received if it is newer.

        Args:
            evacuations: The set.
            origin: Source of the set, for log lines.
            kept_data_centres: Evacuated data centres that a restored log lacks,
                by the router that has sent the set.
        """
        previous = self.current
        self.current = previous.newest(evacuations)
        if self.current is previous:
            return
        if not previous.is_known:
            self._keep(kept_data_centres)
        elif era_of(self.current.offset) > era_of(previous.offset):
            self._keep(previous.data_centres)
        for data_centre in self.current.data_centres:
            self._kept_until_by_data_centre.pop(data_centre, None)
        self._publish(origin, is_first=not previous.is_known)

    def expire(self) -> None:
        """End the evacuations whose records were not written again in time."""
        now = self._app.now()
        due = [
            data_centre
            for data_centre, until in self._kept_until_by_data_centre.items()
            if until <= now
        ]
        for data_centre in due:
            del self._kept_until_by_data_centre[data_centre]
        if due:
            self._publish("expiry")

    def _keep(self, data_centres: Iterable[str]) -> None:
        until = self._app.now() + EXPIRY_GRACE_SECONDS
        for data_centre in data_centres:
            self._kept_until_by_data_centre.setdefault(data_centre, until)

    def _publish(self, origin: str, *, is_first: bool = False) -> None:
        """Put the set into effect and log what has changed."""
        previous = self._directory.evacuated_data_centres
        evacuated = self.current.data_centres | self.kept_data_centres
        for data_centre in sorted(evacuated ^ previous):
            _LOGGER.warning(
                "evacuation of a data centre began"
                if data_centre in evacuated
                else "evacuation of a data centre ended",
                data_centre=data_centre,
                offset=self.current.offset,
                origin=origin,
            )
        self._telemetry.gauge(
            const.METRIC_EVACUATED_DATA_CENTRES, len(evacuated)
        )
        self._directory.evacuated_data_centres = evacuated
        if evacuated != previous or is_first:
            self._on_change()
