"""Registers this router and discovers the others."""

import asyncio
from collections.abc import Callable, Iterable

import msgspec
import structlog

from lacewingspar_core.decoding import DECODE_ERRORS
from lacewingspar_core.identity import RouterInstance, started_at_ms
from lacewingspar_core.membership import Seed
from lacewingspar_router.application import Application
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.routing import const
from lacewingspar_router.components.routing.errors import TopicUnavailableError
from lacewingspar_router.components.routing.models import KeyedTopic
from lacewingspar_router.components.routing.reader_role import LogReaderRole
from lacewingspar_router.hand_over_tokens import (
    HAND_OVER_TOKENS,
    HandOverTarget,
)
from lacewingspar_router.loop_guard import LoopGuard

_LOGGER = structlog.get_logger(__name__)

# Prefix of placeholder ids for routers on seed hosts, whose ids are unknown.
_SEED_PREFIX = "seed:"


class _RegisteredRouter(msgspec.Struct, frozen=True):
    """Registration of a router; each restart replaces it.

    Attributes:
        instance: The router and its start.
        data_centre: Data centre of the router.
        address: ZeroMQ endpoint of the router.
        token: Token of requests that are handed over to it, or "" if it takes
            none.
        caller_address: Address for callers, or "" if it takes none.
    """

    instance: RouterInstance = msgspec.field(name="life")
    data_centre: str
    address: str
    token: str = ""
    caller_address: str = ""


class Registration:
    """Registers this router in the topic of routers.

    A router registers before it lists the others. When two routers start at the
    same time, the one that registers later therefore finds the other and sends
    it a heartbeat.

    Args:
        app: The application.
        topic: Topic in which routers register.
        role: Told which routers are registered.
        request_state: Requests the shared state from some routers.
    """

    def __init__(
        self,
        app: Application,
        topic: KeyedTopic,
        role: LogReaderRole,
        request_state: Callable[[Iterable[str]], None],
    ) -> None:
        self._app = app
        self._request_state = request_state
        self._role = role
        self._topic = topic
        self._peers = app.get(PEERS)
        self._tokens = app.get(HAND_OVER_TOKENS)
        self._tokens_wanted = asyncio.Event()
        self._tokens.set_refresh(self._tokens_wanted.set)
        self._log_restored = asyncio.Event()
        # Era of the log in which this router has registered last.
        self._registered_era = -1

    def record_log_restored(self) -> None:
        """Record that the log may have lost the registration."""
        self._log_restored.set()

    def contact_seeds(self, hosts: Iterable[str]) -> None:
        """Contact the routers that may be running on some hosts.

        All routers of a fleet use the same peer port.
        """
        _, _, port = self._app.settings.peer_address.rpartition(":")
        names = [host.rpartition(":")[0] or host for host in hosts]
        self._peers.add_seeds(
            Seed(f"{_SEED_PREFIX}{name}", "", f"tcp://{name}:{port}")
            for name in names
        )

    async def async_register(self) -> None:
        """Register this router and contact the others, with retries."""
        while True:
            try:
                await self._async_append_record()
                await self._async_contact_routers()
            except TopicUnavailableError as error:
                _LOGGER.warning(
                    "router registration failed; will retry", reason=str(error)
                )
                await asyncio.sleep(const.REGISTRATION_RETRY_DELAY_SECONDS)
            else:
                return

    async def async_register_again(
        self, current_era: Callable[[], int]
    ) -> None:
        """Register in each later era of the log, with retries.

        Args:
            current_era: Returns the era of the log.
        """
        while True:
            await self._log_restored.wait()
            self._log_restored.clear()
            await asyncio.sleep(
                self._app.random.uniform(0.0, const.REGISTRATION_SPREAD_SECONDS)
            )
            while self._registered_era < current_era():
                try:
                    await self._async_append_record()
                except TopicUnavailableError as error:
                    _LOGGER.warning(
                        "router registration failed; will retry",
                        reason=str(error),
                    )
                    await asyncio.sleep(const.REGISTRATION_RETRY_DELAY_SECONDS)
                else:
                    _LOGGER.info(
                        "router registered again", era=self._registered_era
                    )

    async def _async_append_record(self) -> None:
        record = _RegisteredRouter(
            self._app.instance,
            self._app.settings.data_centre,
            f"tcp://{self._app.settings.peer_address}",
            self._tokens.own,
            self._app.settings.caller_address,
        )
        self._registered_era = await self._topic.async_append(
            self._app.instance.router_id, msgspec.msgpack.encode(record)
        )

    async def async_read_tokens(self) -> None:
        """Read the registered tokens whenever some are missing."""
        guard = LoopGuard(self._app, "tokens of routers")
        while True:
            await self._tokens_wanted.wait()
            with guard:
                try:
                    await self._async_list_routers()
                except TopicUnavailableError as error:
                    _LOGGER.warning(
                        "tokens of routers not read; will retry",
                        reason=str(error),
                    )
            await asyncio.sleep(const.TOKEN_READ_INTERVAL_SECONDS)
            self._tokens_wanted.clear()

    async def _async_list_routers(self) -> dict[str, _RegisteredRouter]:
        """Return the registered routers by key, and keep their tokens."""
        listing = await self._topic.async_read_newest()
        decoder = msgspec.msgpack.Decoder(_RegisteredRouter)
        router_by_key: dict[str, _RegisteredRouter] = {}
        for key, stored in listing.record_by_key.items():
            try:
                record = decoder.decode(stored.value)
            except DECODE_ERRORS as error:
                _LOGGER.warning(
                    "invalid router registration ignored",
                    key=key,
                    problem=str(error),
                )
                continue
            router_by_key[key] = record
        self._tokens.replace(
            (
                record.instance,
                HandOverTarget(record.caller_address, record.token),
            )
            for record in router_by_key.values()
        )
        return router_by_key

    async def _async_contact_routers(self) -> None:
        routers = await self._async_list_routers()
        seeds = [
            Seed(key, record.data_centre, record.address)
            for key, record in routers.items()
            if not self._is_stale(record.instance)
        ]
        self._peers.add_seeds(seeds)
        self._role.set_registered_routers(
            {seed.router_id: seed.data_centre for seed in seeds}
        )
        readers = self._role.readers_to_contact()
        self._peers.announce_to(readers, len(seeds))
        self._request_state(readers)
        _LOGGER.info("registered routers listed", count=len(seeds))

    def _is_stale(self, instance: RouterInstance) -> bool:
        age_ms = started_at_ms(self._app.instance) - started_at_ms(instance)
        return age_ms > const.MAX_REGISTRATION_AGE_SECONDS * 1000
