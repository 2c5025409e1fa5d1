"""Deployment of the fault soak: router processes behind faulty links."""

import asyncio
import contextlib
import itertools
import time
from collections import Counter
from contextlib import AsyncExitStack
from functools import partial

import msgspec

from lacewingspar_standins.bench.soak_configuration import (
    ENGINE_SLOTS,
    SoakConfiguration,
    first_configuration,
)
from lacewingspar_standins.deployed.documents import upstream_entry
from lacewingspar_standins.deployed.store import (
    PlatformStore,
    StoreFaults,
    Topic,
)
from lacewingspar_standins.deployed.upstream import Upstream
from lacewingspar_standins.fleet import Fleet
from lacewingspar_standins.fleet_settings import RouterPlan
from lacewingspar_standins.link import Link, LinkFaults
from lacewingspar_standins.process import RouterProcess
from lacewingspar_standins.server import running, split_address

DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
SERVICE_BY_UPSTREAM = {
    "e1": "engines",
    "e2": "engines",
    "e3": "engines",
    "p1": "plain",
    "p2": "plain",
    "p3": "plain",
    "f1": "spare-engines",
    "f2": "spare-engines",
    "q1": "spare",
    "q2": "spare",
}
EVENTS = 8
EVENT_SECONDS = 0.01
STOP_GRACE_SECONDS = 4.0
HEARTBEAT_SECONDS = 0.4
# The entry of an upstream is removed after this long without a heartbeat.
EXPIRY_SECONDS = 3 * HEARTBEAT_SECONDS
# Time from a restoration of the store until the operators write again; less
# than the time for which routers keep what the store lacks.
REWRITE_SECONDS = 1.5
READY_SECONDS = 30.0
HISTORY_RECORDS = 400
# An upstream that leaves checks this often whether its last request has ended.
LEAVE_CHECK_SECONDS = 0.01
LEAVE_CHECKS = 1000


class Changes:
    """Wakes those that wait for the next change of the deployment."""

    def __init__(self) -> None:
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wake all that wait now."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def async_wait(self, limit_seconds: float) -> None:
        """Wait for the next change, at most this long."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_seconds):
                await self._changed.wait()


class SoakFleet:
    """Store, upstreams and routers, with a link in front of each.

    Attributes:
        store: The store, in this process.
        upstream_by_id: The upstreams, in this process, also those that left.
        service_by_upstream: Services of the upstreams.
        present: Upstreams that have not left.
        configuration: The newest configuration.
        link_by_name: Links: `store/ROUTER`, `peer/ROUTER`, `upstream/ID`.
        plan_by_id: Names and addresses of the routers.
        router_by_id: The latest process of each router.
        starting: Routers that start and are not ready yet.
        evacuated: Data centres that the operators have evacuated.
        draining: Upstreams that announce the state `draining`.
        crashing_part: Prompt part that crashes engines, or "".
        crashing_text: Request body that crashes upstreams, or "".
        crashed_by_request: Upstreams that one of them has crashed.
        loaded: Number of reasons to send heavy bursts to a router, by its id.
        changes: Signals, configurations and settings that reach routers.

    Args:
        fleet: Owner of the processes.
        stack: Stops the store, the upstreams and the links.
        routers: Number of routers.
    """

    def __init__(
        self, fleet: Fleet, stack: AsyncExitStack, routers: int
    ) -> None:
        self._fleet = fleet
        self._stack = stack
        self._routers = routers
        self.store = PlatformStore(StoreFaults())
        self.upstream_by_id: dict[str, Upstream] = {}
        self.service_by_upstream: dict[str, str] = {}
        self.present: set[str] = set()
        self.configuration = first_configuration()
        self.link_by_name: dict[str, Link] = {}
        self.plan_by_id: dict[str, RouterPlan] = {}
        self.router_by_id: dict[str, RouterProcess] = {}
        self.evacuated: set[str] = set()
        self.draining: set[str] = set()
        self.starting: set[str] = set()
        self.crashing_part = ""
        self.crashing_text = ""
        self.crashed_by_request: asyncio.Queue[str] = asyncio.Queue()
        self.loaded: Counter[str] = Counter()
        self.changes = Changes()
        self._address_by_link: dict[str, str] = {}
        self._started_ms_by_upstream: dict[str, int] = {}
        self._down: set[str] = set()
        self._sequences = itertools.count(1)
        self._version = itertools.count(1)

    async def async_start(self) -> None:
        """Start everything and wait until all routers are ready."""
        store_address = await self._stack.enter_async_context(
            running(self.store, self._fleet.host)
        )
        self.publish(self.configuration)
        for name, service in SERVICE_BY_UPSTREAM.items():
            await self.async_add_upstream(name, service)
        for number in range(self._routers):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            plan = self._fleet.plan_router(f"r{number}", data_centre)
            self.plan_by_id[plan.router_id] = plan
            await self._async_link(f"store/{plan.router_id}", store_address)
            await self._async_link(f"peer/{plan.router_id}", plan.peer_address)
        for router_id in self.plan_by_id:
            await self.async_start_router(router_id)
        for router_id in self.plan_by_id:
            await self.async_wait_ready(router_id)

    async def async_add_upstream(self, name: str, service: str) -> None:
        """Start an upstream and write its entry."""
        upstream = self.upstream_by_id[name] = Upstream(
            name, EVENTS, EVENT_SECONDS
        )
        upstream.faults.crash_part = self.crashing_part
        upstream.faults.crash_marker = self.crashing_text
        upstream.on_crash = partial(self._record_crash, name)
        self.service_by_upstream[name] = service
        self.present.add(name)
        # It may be started again at this address after a crash.
        await upstream.async_start(
            *split_address(self._fleet.reserve_address())
        )
        self._stack.push_async_callback(upstream.async_stop)
        await self._async_link(f"upstream/{name}", upstream.address)
        self._started_ms_by_upstream[name] = int(time.time() * 1000)
        self.write_entry(name)

    async def async_remove_upstream(self, name: str) -> None:
        """End an upstream after its last request."""
        upstream = self.upstream_by_id[name]
        for _ in range(LEAVE_CHECKS):
            if not upstream.running:
                break
            await asyncio.sleep(LEAVE_CHECK_SECONDS)
        upstream.crash()
        self.remove_entry(name)
        self.present.discard(name)
        del self.link_by_name[f"upstream/{name}"]

    async def async_restart_router(self, router_id: str) -> None:
        """Start a router that has ended and wait until it is ready."""
        await self.async_start_router(router_id)
        await self.async_wait_ready(router_id)

    def reload_settings(self, router_id: str, log_level: str) -> None:
        """Change the settings file of a router and tell the router."""
        file = self._fleet.folder / f"{router_id}.json"
        settings = msgspec.json.decode(file.read_bytes())
        file.write_bytes(
            msgspec.json.encode(settings | {"log_level": log_level})
        )
        self.router_by_id[router_id].hang_up()
        self.changes.notify()

    async def async_stop_router(self, router_id: str) -> None:
        """Signal a router to stop and kill it after the grace."""
        self.changes.notify()
        await self.router_by_id[router_id].end(STOP_GRACE_SECONDS)

    async def async_start_router(self, router_id: str) -> None:
        """Start a router, or restart it after it has ended."""
        self.starting.add(router_id)
        plan = self.plan_by_id[router_id]
        store = self._address_by_link[f"store/{router_id}"]
        seeds = [
            other.peer_address
            for other in self.plan_by_id.values()
            if other.router_id != router_id
        ]
        self.router_by_id[router_id] = await self._fleet.start_router(
            plan,
            log_url=f"http://{store}",
            vms_url=f"http://{store}",
            peers=list(self.plan_by_id.values()),
            address_map={
                other.peer_address: self._address_by_link[
                    f"peer/{other.router_id}"
                ]
                for other in self.plan_by_id.values()
                if other.router_id != router_id
            },
            platform={
                "metrics_address": self._fleet.reserve_address(),
                "seed_hosts": seeds[:1],
                "stop_grace_seconds": STOP_GRACE_SECONDS,
            },
        )

    async def async_wait_ready(self, router_id: str) -> None:
        """Wait until a router is ready.

        Raises:
            FleetError: The router ended or was not ready in time.
        """
        await self.router_by_id[router_id].wait_ready(
            self.plan_by_id[router_id].admin_address, READY_SECONDS, "/readyz"
        )
        self.starting.discard(router_id)

    async def async_renew_entries(self) -> None:
        """Renew the entries of the upstreams until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for name in sorted(self.present - self._down):
                self.write_entry(name)
            topic = self.store.topic("keyed.servers")
            if len(topic.records) > HISTORY_RECORDS:
                topic.compact()

    def write_entry(self, upstream_id: str) -> None:
        """Write the entry of an upstream."""
        entry = upstream_entry(
            self.service_by_upstream[upstream_id],
            self._address_by_link[f"upstream/{upstream_id}"],
            next(self._sequences),
            slots=ENGINE_SLOTS,
            zone=data_centre_of(upstream_id),
            state="draining" if upstream_id in self.draining else "ready",
            born=self._started_ms_by_upstream[upstream_id],
        )
        self.store.topic("keyed.servers").append(
            upstream_id, msgspec.json.encode(entry)
        )

    def remove_entry(self, name: str) -> None:
        """Remove the entry of an upstream, which is not renewed again."""
        self._down.add(name)
        self.store.topic("keyed.servers").append(name, b"")

    async def async_crash_upstream(self, name: str, seconds: float) -> None:
        """Crash an upstream and restart it."""
        self.upstream_by_id[name].crash()
        await self.async_restart_upstream(name, seconds)

    async def async_restart_upstream(self, name: str, seconds: float) -> None:
        """Restart an upstream that has crashed, after a time."""
        if seconds > EXPIRY_SECONDS:
            await asyncio.sleep(EXPIRY_SECONDS)
            self.remove_entry(name)
            seconds -= EXPIRY_SECONDS
        await asyncio.sleep(seconds)
        upstream = self.upstream_by_id[name]
        await upstream.async_start(*split_address(upstream.address))
        link_name = f"upstream/{name}"
        await self.link_by_name[link_name].async_listen(
            *split_address(self._address_by_link[link_name])
        )
        self._started_ms_by_upstream[name] = int(time.time() * 1000)
        self._down.discard(name)
        self.write_entry(name)

    def crash_on(self, part: str = "", text: str = "") -> None:
        """Let a prompt part or a request body crash all upstreams, or none."""
        self.crashing_part, self.crashing_text = part, text
        for upstream in self.upstream_by_id.values():
            upstream.faults.crash_part = part
            upstream.faults.crash_marker = text

    def _record_crash(self, name: str, by_request: bool) -> None:
        """Refuse connections, as a crashed upstream does not listen."""
        was_down = name in self._down
        self._down.add(name)
        link = self.link_by_name.get(f"upstream/{name}")
        if link is not None:
            link.stop_listening()
        if by_request and not was_down:
            self.crashed_by_request.put_nowait(name)

    def publish(self, configuration: SoakConfiguration) -> None:
        """Publish a configuration."""
        self.configuration = configuration
        data = msgspec.json.encode(configuration.document(next(self._version)))
        self.store.topic("keyed.op").append("config", data)
        self.changes.notify()

    def write_evacuation(self, data_centre: str) -> None:
        """Write whether a data centre is evacuated."""
        value = b"{}" if data_centre in self.evacuated else b""
        self.store.topic("keyed.op").append(f"evacuate/{data_centre}", value)

    async def async_restore_store(self, copied: dict[str, Topic]) -> None:
        """Restore the store to a copy; all write their records again."""
        self.store.restore(copied)
        await asyncio.sleep(REWRITE_SECONDS)
        self.publish(self.configuration)
        for data_centre in DATA_CENTRES:
            self.write_evacuation(data_centre)
        # Present upstreams have renewed their entries; the others expire.
        for name in self.upstream_by_id.keys() - (self.present - self._down):
            self.store.topic("keyed.servers").append(name, b"")

    async def _async_link(self, name: str, target: str) -> None:
        link = Link(target, LinkFaults())
        self.link_by_name[name] = link
        self._address_by_link[name] = await self._stack.enter_async_context(
            link.listening(*split_address(self._fleet.reserve_address()))
        )


def data_centre_of(upstream_id: str) -> str:
    """Return the data centre of an upstream."""
    return DATA_CENTRES[int(upstream_id[1:]) % len(DATA_CENTRES) - 1]
