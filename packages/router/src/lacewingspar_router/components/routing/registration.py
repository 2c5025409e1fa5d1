"""Registers this router and finds the others."""

import asyncio
from collections.abc import Iterable

import msgspec
import structlog

from lacewingspar_core.identity import RouterLife, start_ms
from lacewingspar_core.membership import Seed
from lacewingspar_router.application import Application
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.routing import const
from lacewingspar_router.components.routing.errors import TopicUnavailableError
from lacewingspar_router.components.routing.models import KeyedTopic

_LOGGER = structlog.get_logger(__name__)

# Stands for the unknown name of a router on a seed host.
_SEED_PREFIX = "seed:"


class _RegisteredRouter(msgspec.Struct, frozen=True):
    """Record of a router; later lives replace earlier ones."""

    life: RouterLife
    data_centre: str
    address: str


class Registration:
    """Record of this router in the topic of all routers.

    Of two routers that start at the same time, the one that registers later
    lists the other and sends it a heartbeat, so that each is found.

    Args:
        app: The application.
        topic: Topic of all routers.
    """

    def __init__(self, app: Application, topic: KeyedTopic) -> None:
        self._app = app
        self._topic = topic
        self._peers = app.get(PEERS)

    def contact_seeds(self, hosts: Iterable[str]) -> None:
        """Contact routers on hosts where one may be running.

        All routers of a fleet use the same port for peers.
        """
        _, _, port = self._app.settings.peer_address.rpartition(":")
        names = [host.rpartition(":")[0] or host for host in hosts]
        self._peers.add_seeds(
            Seed(f"{_SEED_PREFIX}{name}", "", f"tcp://{name}:{port}")
            for name in names
        )

    async def async_register(self) -> None:
        """Register this router and contact the others; retry until done."""
        while True:
            try:
                await self._async_write()
                await self._async_contact()
            except TopicUnavailableError as error:
                _LOGGER.warning("registration failed", reason=str(error))
                await asyncio.sleep(const.REGISTER_PAUSE_SECONDS)
            else:
                return

    async def _async_write(self) -> None:
        record = _RegisteredRouter(
            self._app.life,
            self._app.settings.data_centre,
            f"tcp://{self._app.settings.peer_address}",
        )
        await self._topic.async_append(
            self._app.life.router_id, msgspec.msgpack.encode(record)
        )

    async def _async_contact(self) -> None:
        listing = await self._topic.async_newest()
        decoder = msgspec.msgpack.Decoder(_RegisteredRouter)
        seeds: list[Seed] = []
        for key, stored in listing.record_by_key.items():
            try:
                record = decoder.decode(stored.value)
            except msgspec.MsgspecError as error:
                _LOGGER.warning(
                    "router record ignored", key=key, problem=str(error)
                )
                continue
            if not self._is_stale(record.life):
                seeds.append(Seed(key, record.data_centre, record.address))
        self._peers.add_seeds(seeds)
        _LOGGER.info("routers listed", count=len(seeds))

    def _is_stale(self, life: RouterLife) -> bool:
        age_ms = start_ms(self._app.life) - start_ms(life)
        return age_ms > const.STALE_MEMBER_SECONDS * 1000
