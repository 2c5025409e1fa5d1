"""The part of this router in reading the shared topics for the fleet."""

import asyncio
from collections.abc import Callable, Mapping

import structlog

from lacewingspar_core.confirmed_state import LackedState, StatePosition
from lacewingspar_core.log_readers import ReaderAssignment, ReaderRank
from lacewingspar_router.application import Application
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.routing import const
from lacewingspar_router.components.telemetry.models import TELEMETRY

_LOGGER = structlog.get_logger(__name__)

_CONFIRMATION_TIMEOUT_SECONDS_BY_RANK = {
    ReaderRank.READER: 0.0,
    ReaderRank.FIRST_RELAY: const.FIRST_RELAY_TIMEOUT_SECONDS,
    ReaderRank.SECOND_RELAY: const.SECOND_RELAY_TIMEOUT_SECONDS,
    ReaderRank.FOLLOWER: const.FOLLOWER_TIMEOUT_SECONDS,
}
# The reader and the first relays are expected to make the first calls after an
# outage.
_RETRY_DELAY_SECONDS_BY_RANK = {
    ReaderRank.READER: const.READ_RETRY_DELAY_SECONDS,
    ReaderRank.FIRST_RELAY: const.READ_RETRY_DELAY_SECONDS,
    ReaderRank.SECOND_RELAY: const.FOLLOWER_READ_RETRY_DELAY_SECONDS,
    ReaderRank.FOLLOWER: const.FOLLOWER_READ_RETRY_DELAY_SECONDS,
}


class LogReaderRole:
    """Decides whether this router reads the log or follows another one.

    The log service cannot serve reads from every router of a fleet. One router
    reads, and after each read confirms to its data centre and to the relays of
    the others which offset it has reached; the relays pass that on. A router
    that receives no confirmation for the timeout of its rank reads the log
    itself, the first relay of a data centre first. So does one that hears
    confirmations but has lacked what they confirm for
    `LACKED_STATE_TIMEOUT_SECONDS`.

    Attributes:
        rank: Rank of this router.

    Args:
        app: The application.
        read_position: Returns how much of the shared state this router has.
    """

    def __init__(
        self, app: Application, read_position: Callable[[], StatePosition]
    ) -> None:
        self._app = app
        self._read_position = read_position
        self._telemetry = app.get(TELEMETRY)
        self._lacked = LackedState()
        self._peers = app.get(PEERS)
        self._started_at = app.now()
        # A router that starts gives others a moment to send it the state.
        self._confirmed_at = (
            self._started_at
            - const.FOLLOWER_TIMEOUT_SECONDS
            + const.START_WAIT_SECONDS
        )
        self._due_changed = asyncio.Event()
        self._is_following = False
        self._registered_by_router_id: Mapping[str, str] = {}
        self._assignment = ReaderAssignment.of({})
        self.rank = ReaderRank.FOLLOWER
        self._peers.add_listener(self._update_rank)
        self._update_rank()

    @property
    def is_following(self) -> bool:
        """Return whether this router relies on the confirmations of another."""
        return (
            self.rank is not ReaderRank.READER
            and self._is_following
            and self._seconds_until_read_due() > 0
        )

    @property
    def confirms_reads(self) -> bool:
        """Return whether other routers follow this one."""
        return self.rank is not ReaderRank.FOLLOWER

    @property
    def is_relay(self) -> bool:
        """Return whether this router passes on the reads of the reader."""
        return self.rank in (ReaderRank.FIRST_RELAY, ReaderRank.SECOND_RELAY)

    @property
    def retry_delay_seconds(self) -> float:
        """Return the longest delay before a failed read is retried."""
        return _RETRY_DELAY_SECONDS_BY_RANK[self.rank]

    def confirmation_receivers(self) -> list[str]:
        """Return the routers to which this one confirms its own reads.

        The reader includes the relays of other data centres. A relay that
        reads in its place serves its own data centre only.
        """
        own_id = self._app.instance.router_id
        data_centre = self._app.settings.data_centre
        known = self._young_registrations() | {
            router_id: record.data_centre
            for router_id, record in self._peers.alive_by_router_id.items()
        }
        receivers = [
            router_id
            for router_id, other in known.items()
            if other == data_centre and router_id != own_id
        ]
        if self.rank is ReaderRank.READER:
            receivers += self._assignment.relays_elsewhere(data_centre)
        return receivers

    def set_registered_routers(
        self, data_centre_by_router_id: Mapping[str, str]
    ) -> None:
        """Set the routers that are known before they send heartbeats.

        Without them all routers of a fleet that starts at once would read the
        log until their heartbeats have spread.
        """
        self._registered_by_router_id = dict(data_centre_by_router_id)
        self._update_rank()
        # Registered routers that are gone must not keep their rank.
        asyncio.get_running_loop().call_later(
            const.REGISTERED_READERS_SECONDS, self._update_rank
        )

    def readers_to_contact(self) -> list[str]:
        """Return the routers that have to know this one to confirm reads."""
        relays = self._assignment.relays_by_data_centre
        own_id = self._app.instance.router_id
        local = relays.get(self._app.settings.data_centre, ())
        return [
            router_id
            for router_id in (self._assignment.reader, *local)
            if router_id and router_id != own_id
        ]

    @property
    def lacks_confirmed_state(self) -> bool:
        """Return whether this router lacks what a reader has confirmed."""
        return self._lacked_seconds() is not None

    def record_confirmation(
        self, router_id: str, position: StatePosition
    ) -> None:
        """Record that another router has read the log up to a position."""
        now = self._app.now()
        self._confirmed_at = now
        self._lacked = self._lacked.after_confirmation(
            position, self._read_position(), now
        )
        if self.lacks_confirmed_state:
            self._due_changed.set()
        if (
            self.rank is not ReaderRank.READER
            and not self._is_following
            and self._seconds_until_read_due() > 0
        ):
            self._is_following = True
            _LOGGER.info(
                "following a log reader", reader=router_id, rank=self.rank.value
            )

    async def async_wait_until_read_due(self) -> None:
        """Wait until this router has to read the log itself."""
        while True:
            seconds = self._seconds_until_read_due()
            if seconds <= 0:
                break
            self._due_changed.clear()
            try:
                async with asyncio.timeout(seconds):
                    await self._due_changed.wait()
            except TimeoutError:
                continue
        if self._is_following:
            self._is_following = False
            self._log_read_due()

    def _log_read_due(self) -> None:
        """Log why this router reads the log itself from now on."""
        confirmation_age_ms = round(
            (self._app.now() - self._confirmed_at) * 1000
        )
        lacked = self._lacked.newest()
        if lacked is None:
            _LOGGER.warning(
                "no confirmation from a log reader; reading the log",
                rank=self.rank.value,
                confirmation_age_ms=confirmation_age_ms,
            )
            return
        own = self._read_position()
        self._telemetry.count(const.METRIC_READS_OF_LACKED_STATE)
        _LOGGER.warning(
            "confirmed state not received; reading the log",
            rank=self.rank.value,
            confirmation_age_ms=confirmation_age_ms,
            lacked_ms=round((self._lacked_seconds() or 0.0) * 1000),
            confirmed_version=lacked.configuration_version,
            configuration_version=own.configuration_version,
            confirmed_offset=lacked.directory_offset,
            directory_offset=own.directory_offset,
            confirmed_evacuation_offset=lacked.evacuation_offset,
            evacuation_offset=own.evacuation_offset,
        )

    def _seconds_until_read_due(self) -> float:
        """Return the time until this router must not rely on another."""
        timeout = _CONFIRMATION_TIMEOUT_SECONDS_BY_RANK[self.rank]
        silence_left = timeout - (self._app.now() - self._confirmed_at)
        lacked_timeout = (
            const.LACKED_STATE_TIMEOUT_SECONDS
            if self._read_position().is_complete
            else const.START_LACKED_STATE_TIMEOUT_SECONDS
        )
        lacked_left = lacked_timeout - (self._lacked_seconds() or 0.0)
        return max(0.0, min(silence_left, lacked_left))

    def _lacked_seconds(self) -> float | None:
        """Return for how long confirmed state is lacked, if any is."""
        self._lacked = self._lacked.after_progress(self._read_position())
        return self._lacked.age_seconds(self._app.now())

    def _candidates(self) -> dict[str, str]:
        """Return the data centres of the routers that may read, by id."""
        return self._young_registrations() | {
            router_id: record.data_centre
            for router_id, record in self._peers.alive_by_router_id.items()
            if record.state.is_serving
        }

    def _young_registrations(self) -> dict[str, str]:
        """Return the registered routers, until heartbeats have spread."""
        age = self._app.now() - self._started_at
        if age >= const.REGISTERED_READERS_SECONDS:
            return {}
        return dict(self._registered_by_router_id)

    def _update_rank(self) -> None:
        self._assignment = ReaderAssignment.of(self._candidates())
        rank = self._assignment.rank_of(
            self._app.instance.router_id, self._app.settings.data_centre
        )
        if rank is not self.rank:
            _LOGGER.info(
                "rank in reading the log changed",
                rank=rank.value,
                previous_rank=self.rank.value,
                reader=self._assignment.reader,
            )
            self.rank = rank
            self._due_changed.set()
