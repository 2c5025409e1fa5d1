"""Which routers of a data centre read the shared topics themselves."""

import asyncio

import structlog

from lacewingspar_core.ownership import rank_of
from lacewingspar_router.application import Application
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.routing import const

_LOGGER = structlog.get_logger(__name__)


class ReadingRole:
    """Whether this router reads the shared topics, or follows a reader.

    Calls to the log service are dear, and a fleet in which each router reads
    makes more of them than the service takes. Some routers of each data centre
    read, and confirm to the others after each read how new the state is. A
    router without a confirmation for some time reads itself.

    Attributes:
        is_reader: Whether this router reads for its data centre.

    Args:
        app: The application.
    """

    def __init__(self, app: Application) -> None:
        self._app = app
        self._peers = app.get(PEERS)
        self._confirmed_at = float("-inf")
        self._is_following = False
        self.is_reader = True
        self._peers.add_listener(self._choose)
        self._choose()

    @property
    def is_following(self) -> bool:
        """Return whether a reader has confirmed the state recently."""
        return self._follow_seconds() > 0

    def note_confirmation(self, router_id: str) -> None:
        """Take over that a reader has confirmed its state."""
        self._confirmed_at = self._app.now()
        if not self.is_reader and not self._is_following:
            self._is_following = True
            _LOGGER.info("following a reader of the log", reader=router_id)

    async def async_wait_to_read(self) -> None:
        """Wait until this router has to read the topics itself."""
        while True:
            seconds = self._follow_seconds()
            if seconds <= 0:
                break
            await asyncio.sleep(seconds)
        if self._is_following:
            self._is_following = False
            _LOGGER.warning(
                "reading the log itself",
                is_reader=self.is_reader,
                confirmation_age_ms=round(
                    (self._app.now() - self._confirmed_at) * 1000
                ),
            )

    def _follow_seconds(self) -> float:
        """Return how long this router may still rely on a reader."""
        if self.is_reader:
            return 0.0
        age = self._app.now() - self._confirmed_at
        return max(0.0, const.CONFIRMATION_SECONDS - age)

    def _choose(self) -> None:
        own_id = self._app.life.router_id
        data_centre = self._app.settings.data_centre
        serving = [
            router_id
            for router_id, record in self._peers.alive_by_router_id.items()
            if record.data_centre == data_centre and record.state.is_serving
        ]
        key = f"readers/{data_centre}"
        rank = rank_of(own_id, key, serving)
        self.is_reader = rank < const.READERS_PER_DATA_CENTRE
