"""Selects the routers of a data centre that read the shared topics."""

import asyncio

import structlog

from lacewingspar_core.ownership import rendezvous_rank
from lacewingspar_router.application import Application
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.routing import const

_LOGGER = structlog.get_logger(__name__)


class LogReaderRole:
    """Decides whether this router reads the log or follows a reader.

    The log service cannot serve reads from every router of a fleet. A few
    routers of each data centre read, and after each read confirm to the others
    which offset they have reached. A router that receives no confirmation for
    `READER_CONFIRMATION_TIMEOUT_SECONDS` reads the log itself.

    Attributes:
        is_reader: Whether this router is a reader of its data centre.

    Args:
        app: The application.
    """

    def __init__(self, app: Application) -> None:
        self._app = app
        self._peers = app.get(PEERS)
        self._confirmed_at = float("-inf")
        self._is_following = False
        self.is_reader = True
        self._peers.add_listener(self._update_role)
        self._update_role()

    @property
    def is_following(self) -> bool:
        """Return whether a reader has sent a confirmation recently."""
        return self._seconds_until_read_due() > 0

    def record_confirmation(self, router_id: str) -> None:
        """Record that a reader has confirmed its state."""
        self._confirmed_at = self._app.now()
        if not self.is_reader and not self._is_following:
            self._is_following = True
            _LOGGER.info("following a log reader", reader=router_id)

    async def async_wait_until_read_due(self) -> None:
        """Wait until this router has to read the log itself."""
        while True:
            seconds = self._seconds_until_read_due()
            if seconds <= 0:
                break
            await asyncio.sleep(seconds)
        if self._is_following:
            self._is_following = False
            _LOGGER.warning(
                "no confirmation from a log reader; reading the log",
                is_reader=self.is_reader,
                confirmation_age_ms=round(
                    (self._app.now() - self._confirmed_at) * 1000
                ),
            )

    def _seconds_until_read_due(self) -> float:
        """Return the time until the last confirmation times out."""
        if self.is_reader:
            return 0.0
        age = self._app.now() - self._confirmed_at
        return max(0.0, const.READER_CONFIRMATION_TIMEOUT_SECONDS - age)

    def _update_role(self) -> None:
        own_id = self._app.instance.router_id
        data_centre = self._app.settings.data_centre
        serving = [
            router_id
            for router_id, record in self._peers.alive_by_router_id.items()
            if record.data_centre == data_centre and record.state.is_serving
        ]
        key = f"readers/{data_centre}"
        rank = rendezvous_rank(own_id, key, serving)
        self.is_reader = rank < const.READERS_PER_DATA_CENTRE
