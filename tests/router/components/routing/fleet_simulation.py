"""Simulation of routers that share the upstream list, in virtual time.

The routing component runs as it is. The clock, the store and the network
between routers are replaced, so that a simulation takes milliseconds and the
same schedule gives the same result.
"""

import asyncio
import contextlib
import itertools
import random
import selectors
from collections.abc import Callable, Iterable
from typing import Any
from unittest import mock

import msgspec
from tests.router.conftest import NO_PORT, settings

from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.log_positions import (
    ResponseUse,
    log_position,
    offset_of,
    response_use,
)
from lacewingspar_core.messages import (
    AnyPeerMessage,
    MemberRecord,
    RouterState,
)
from lacewingspar_core.peer_message import PeerMessage
from lacewingspar_router.application import Application
from lacewingspar_router.components import routing
from lacewingspar_router.components.peers.models import PEERS, ReceivedMessage
from lacewingspar_router.components.routing.errors import (
    TopicRestoredError,
    TopicTruncatedError,
    TopicUnavailableError,
)
from lacewingspar_router.components.routing.models import (
    ROUTING,
    ROUTING_SOURCE,
    KeyedRecord,
    RoutingSource,
    TopicListing,
    TopicRecords,
)
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.hand_over_tokens import (
    HAND_OVER_TOKENS,
    HandOverTokens,
)
from lacewingspar_router.platform import names
from lacewingspar_router.platform.evacuation import decode_evacuation
from lacewingspar_router.platform.manifest import decode_configuration
from lacewingspar_router.platform.upstream_list import decode_upstream
from lacewingspar_router.settings import PlatformSettings, Settings
from lacewingspar_standins.deployed.store import PlatformStore, StoreFaults

# Each step of the event loop takes time, as it does on a real clock.
STEP_SECONDS = 1e-6
STORE_CALL_SECONDS = 0.002
MESSAGE_SECONDS = 0.001
# Time until all routers know that another one serves, or has left.
MEMBERSHIP_SECONDS = 0.2


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Selector that advances a clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("the simulation waits for nothing")
        self.now += max(STEP_SECONDS, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer."""

    def __init__(self) -> None:
        self._clock = _VirtualTimeSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._clock.now


class SimulatedTopic:
    """Topic of the store, as one router reaches it."""

    def __init__(
        self, store: PlatformStore, name: str, is_reachable: Callable[[], bool]
    ) -> None:
        self.name = name
        self._store = store
        self._is_reachable = is_reachable

    async def async_read_newest(self) -> TopicListing:
        await self._async_call()
        topic = self._store.topic(self.name)
        return TopicListing(
            {
                key: KeyedRecord(key, value, self._position(offset))
                for key, (offset, value) in topic.newest_by_key.items()
            },
            self._position(topic.end),
        )

    async def async_read(
        self, from_offset: int, wait_seconds: float
    ) -> TopicRecords:
        await self._async_call()
        topic = self._store.topic(self.name)
        if self._position(topic.end) == from_offset:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_seconds):
                    await topic.changed.wait()
            self._check_available()
        match response_use(from_offset, self._era):
            case ResponseUse.LIST_AGAIN:
                raise TopicRestoredError("later era")
            case ResponseUse.DROP:
                raise TopicUnavailableError("earlier era")
            case ResponseUse.APPLY:
                pass
        topic = self._store.topic(self.name)
        first = offset_of(from_offset)
        if not topic.first <= first <= topic.end:
            raise TopicTruncatedError("no such offset")
        records = [
            KeyedRecord(key, value, self._position(offset))
            for offset, (key, value) in enumerate(
                topic.records[first - topic.first :], first
            )
        ]
        return TopicRecords(records, self._position(topic.end))

    async def async_append(self, key: str, value: bytes) -> int:
        await self._async_call()
        self._store.topic(self.name).append(key, value)
        return self._era

    @property
    def _era(self) -> int:
        return self._store.era or 0

    def _position(self, offset: int) -> int:
        return log_position(self._era, offset)

    async def _async_call(self) -> None:
        await asyncio.sleep(STORE_CALL_SECONDS)
        self._check_available()

    def _check_available(self) -> None:
        if self._store.faults.outage or not self._is_reachable():
            raise TopicUnavailableError("outage")


class SimulatedApplication(Application):
    """Application on the virtual clock."""

    def __init__(self, settings: Settings, start_number: int) -> None:
        super().__init__(settings)
        self.random = random.Random(f"{settings.router_id}/{start_number}")
        self.instance = RouterInstance(settings.router_id, start_number)

    def now(self) -> float:
        return asyncio.get_running_loop().time()


class SimulatedPeers:
    """Connections of one router to the others."""

    def __init__(self, app: Application, network: "SimulatedNetwork") -> None:
        self.app = app
        self.handler_by_type: dict[type, Callable[[ReceivedMessage], None]] = {}
        self.listeners: list[Callable[[], None]] = []
        self._network = network

    @property
    def alive_by_router_id(self) -> dict[str, MemberRecord]:
        return self._network.alive_by_router_id

    def send(self, router_id: str, message: AnyPeerMessage) -> int:
        self._network.send(self.app, router_id, None, message)
        return 0

    def send_to_instance(
        self, receiver: RouterInstance, message: AnyPeerMessage
    ) -> int:
        self._network.send(self.app, receiver.router_id, receiver, message)
        return 0

    def add_seeds(self, seeds: Iterable[Any]) -> None:
        del seeds

    def announce_to(
        self, router_ids: Iterable[str], registered_count: int
    ) -> None:
        del router_ids, registered_count

    def set_applied_offset_source(self, read: Callable[[], int]) -> None:
        del read

    def set_busy_source(self, read: Callable[[], bool]) -> None:
        del read

    def subscribe(
        self,
        message_type: type[PeerMessage],
        handler: Callable[[ReceivedMessage], None],
    ) -> None:
        self.handler_by_type[message_type] = handler

    def add_listener(self, listener: Callable[[], None]) -> None:
        self.listeners.append(listener)


class SimulatedNetwork:
    """Delivers messages between running routers, and knows who is alive.

    Attributes:
        peers_by_router_id: Connections of the running routers.
        alive_by_router_id: Member records that all routers know.
        cut_off: Routers whose messages are lost. They are taken for alive.
    """

    def __init__(self) -> None:
        self.peers_by_router_id: dict[str, SimulatedPeers] = {}
        self.alive_by_router_id: dict[str, MemberRecord] = {}
        self.cut_off: set[str] = set()

    def send(
        self,
        sender: Application,
        router_id: str,
        instance: RouterInstance | None,
        message: AnyPeerMessage,
    ) -> None:
        """Deliver a message, unless its receiver does not run any more."""

        def deliver() -> None:
            peers = self.peers_by_router_id.get(router_id)
            if peers is None or instance not in (None, peers.app.instance):
                return
            if self.cut_off & {router_id, sender.settings.router_id}:
                return
            handler = peers.handler_by_type.get(type(message))
            if handler is not None:
                data_centre = sender.settings.data_centre
                handler(ReceivedMessage(sender.instance, data_centre, message))

        asyncio.get_running_loop().call_later(MESSAGE_SECONDS, deliver)

    async def async_spread_membership(self) -> None:
        """Tell all routers who is alive until cancelled."""
        while True:
            alive = {
                router_id: _member_record(peers.app)
                for router_id, peers in self.peers_by_router_id.items()
            }
            if alive != self.alive_by_router_id:
                self.alive_by_router_id = alive
                for peers in list(self.peers_by_router_id.values()):
                    for listener in peers.listeners:
                        listener()
            await asyncio.sleep(MEMBERSHIP_SECONDS)


def _member_record(app: Application) -> MemberRecord:
    is_ready = app.get(ROUTING).is_ready
    return MemberRecord(
        app.instance,
        app.settings.data_centre,
        f"tcp://{app.settings.peer_address}",
        RouterState.SERVING if is_ready else RouterState.STARTING,
        heartbeat=1,
        applied_offset=0,
    )


class SimulatedFleet:
    """The store and the routers of a simulation.

    Attributes:
        store: The store.
        without_store: Routers that do not reach the store.
    """

    def __init__(self) -> None:
        self.store = PlatformStore(StoreFaults())
        self.without_store: set[str] = set()
        self._network = SimulatedNetwork()
        self._start_numbers = itertools.count(1)
        self._membership = asyncio.create_task(
            self._network.async_spread_membership()
        )

    async def async_start_router(
        self, router_id: str, data_centre: str
    ) -> None:
        """Start a router that reads the store and talks to the others."""
        app = SimulatedApplication(
            settings(
                router_id=router_id,
                data_centre=data_centre,
                platform=PlatformSettings(metrics_address=NO_PORT),
            ),
            next(self._start_numbers),
        )
        peers: Any = SimulatedPeers(app, self._network)
        app.register(PEERS, peers)
        app.register(TELEMETRY, mock.Mock())
        app.register(HAND_OVER_TOKENS, HandOverTokens())
        app.register(
            ROUTING_SOURCE,
            RoutingSource(
                configuration=self._topic(names.TOPIC_CONFIGURATION, router_id),
                configuration_key=names.KEY_CONFIGURATION,
                upstreams=self._topic(names.TOPIC_UPSTREAMS, router_id),
                routers=self._topic(names.TOPIC_ROUTERS, router_id),
                decode_configuration=decode_configuration,
                decode_evacuation=decode_evacuation,
                decode_upstream=decode_upstream,
            ),
        )
        await routing.async_setup(app)
        self._network.peers_by_router_id[router_id] = peers

    async def async_stop_router(self, router_id: str) -> None:
        """Stop a router."""
        await self._network.peers_by_router_id.pop(router_id).app.async_stop()

    async def async_cut_off(self, router_id: str, seconds: float) -> None:
        """Lose all messages from and to a router for a time."""
        self._network.cut_off.add(router_id)
        await asyncio.sleep(seconds)
        self._network.cut_off.discard(router_id)

    async def async_withhold_store(
        self, router_id: str, seconds: float
    ) -> None:
        """Let a router not reach the store for a time."""
        self.without_store.add(router_id)
        self.store.faults_changed()
        await asyncio.sleep(seconds)
        self.without_store.discard(router_id)

    async def async_stop(self) -> None:
        """Stop all routers."""
        for router_id in list(self._network.peers_by_router_id):
            await self.async_stop_router(router_id)
        self._membership.cancel()

    def write_configuration(self, document: dict[str, Any]) -> None:
        """Write the operators' configuration."""
        self.store.topic(names.TOPIC_CONFIGURATION).append(
            names.KEY_CONFIGURATION, msgspec.json.encode(document)
        )

    def write_upstream(self, upstream_id: str, value: bytes) -> None:
        """Write the record of an upstream, unless the store is away."""
        if not self.store.faults.outage:
            self.store.topic(names.TOPIC_UPSTREAMS).append(upstream_id, value)

    def begin_outage(self) -> None:
        """Let all calls of the store fail."""
        self.store.faults.outage = True
        self.store.faults_changed()

    def end_outage(self, copied: Any) -> None:
        """Let the store return from a copy."""
        self.store.restore(copied)
        self.store.faults.outage = False

    def ready_by_router_id(self, service: str) -> dict[str, set[str]]:
        """Return the ready upstreams that each router lists."""
        return {
            router_id: set(
                peers.app.get(ROUTING).directory.ready_upstreams(service)
            )
            for router_id, peers in self._network.peers_by_router_id.items()
        }

    def _topic(self, name: str, router_id: str) -> SimulatedTopic:
        return SimulatedTopic(
            self.store, name, lambda: router_id not in self.without_store
        )
