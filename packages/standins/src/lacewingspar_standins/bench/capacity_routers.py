"""Cost of one real router process."""

import asyncio
import time
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import httpx
import msgspec

from lacewingspar_core.documents import ServiceDocument, ServiceKind, Upstream
from lacewingspar_core.platform import Vm, VmList, VmState
from lacewingspar_standins.bench.load_processes import start_load
from lacewingspar_standins.bench.router_figures import (
    METRIC_RECEIVED_BYTES,
    METRIC_SENT_BYTES,
    metric_by_type,
    read_process,
)
from lacewingspar_standins.bench.synthetic_peers import (
    SyntheticPeer,
    SyntheticPeersOptions,
)
from lacewingspar_standins.fleet import Fleet
from lacewingspar_standins.fleet_settings import (
    RouterPlan,
    token_of,
    workspace_entry,
)
from lacewingspar_standins.load_options import LoadOptions, WorkspaceLoad
from lacewingspar_standins.process import RouterProcess, StandInProcess

DATA_CENTRES = 5
SEED_HOSTS = 5
# Routers of the data centre that share its upstreams.
SHARING_ROUTERS = 20
READY_SECONDS = 60.0
SETTLE_SECONDS = 6.0
PEERS_MODULE = "lacewingspar_standins.bench.synthetic_peers"
SERVICE = "plain"
_RATES = ("sent B/s", "received B/s", "HTTP received B/s", "processor ms/s")


@dataclass(slots=True)
class _Rig:
    """A router and the stand-ins that it depends on."""

    fleet: Fleet
    log: StandInProcess
    vms: StandInProcess
    plan: RouterPlan
    router: RouterProcess | None = None

    async def start(
        self,
        peers: tuple[RouterPlan, ...] = (),
        address_map: Mapping[str, str] | None = None,
    ) -> None:
        self.router = await self.fleet.start_router(
            self.plan,
            log_url=self.log.url,
            vms_url=self.vms.url,
            peers=peers,
            address_map=address_map or {},
        )
        await self.router.wait_live(self.plan.admin_address, READY_SECONDS)

    def plan_peers(
        self, routers: int, data_centres: int
    ) -> tuple[RouterPlan, ...]:
        """Reserve the ports of the synthetic peers."""
        return tuple(
            self.fleet.plan_router(
                f"router-{index:03}", f"dc-{index % data_centres + 1}"
            )
            for index in range(1, routers)
        )

    async def start_peers(
        self, peers: tuple[RouterPlan, ...], seed: int
    ) -> None:
        """Start the process that simulates the other routers."""
        options = SyntheticPeersOptions(
            target=_synthetic_peer(self.plan),
            peers=tuple(_synthetic_peer(peer) for peer in peers),
            seed=seed,
        )
        options_file = self.fleet.folder / "peers.json"
        options_file.write_bytes(msgspec.json.encode(options))
        await self.fleet.start_module(
            "peers", [str(options_file)], module=PEERS_MODULE
        )

    async def figures(self, seconds: float) -> dict[str, float]:
        """Measure traffic, processor time and memory for some seconds."""
        await asyncio.sleep(SETTLE_SECONDS)
        before = await self._read()
        await asyncio.sleep(seconds)
        after = await self._read()
        elapsed = after["at"] - before["at"]
        rates = {
            name: (after[name] - before[name]) / elapsed for name in _RATES
        }
        return {**rates, "memory MB": after["memory"]}

    async def _read(self) -> dict[str, float]:
        assert self.router is not None
        async with httpx.AsyncClient(trust_env=False) as client:
            page = await client.get(f"http://{self.plan.admin_address}/metrics")
        pid = self.router.process.pid
        process = await asyncio.to_thread(read_process, pid)
        http = await asyncio.to_thread(_read_http_bytes, pid)
        return {
            "at": time.monotonic(),
            "sent B/s": sum(
                metric_by_type(page.text, METRIC_SENT_BYTES).values()
            ),
            "received B/s": sum(
                metric_by_type(page.text, METRIC_RECEIVED_BYTES).values()
            ),
            "HTTP received B/s": http,
            "processor ms/s": process[0] * 1000,
            "memory": process[1] / 1e6,
        }


async def async_measure_peers(
    routers: int, seed: int, seconds: float
) -> dict[str, float]:
    """Return the cost of a router for a number of peers."""
    async with _rig() as rig:
        peers = rig.plan_peers(routers, DATA_CENTRES)
        await rig.start(peers[:SEED_HOSTS])
        await rig.start_peers(peers, seed)
        return await rig.figures(seconds)


async def async_measure_upstreams(
    upstreams: int, _seed: int, seconds: float
) -> dict[str, float]:
    """Return the cost of a router for a number of local upstreams."""
    async with _rig() as rig:
        standin = await rig.fleet.start_standin("plain", name="plain", slots=64)
        document = _document(upstreams)
        await rig.start(address_map=_address_map(document, standin))
        await rig.fleet.publish(rig.plan.admin_address, document)
        return await rig.figures(seconds)


async def async_measure_shared_upstreams(
    upstreams: int, seed: int, seconds: float
) -> dict[str, float]:
    """Return the cost of a router that shares its upstreams with peers."""
    async with _rig() as rig:
        standin = await rig.fleet.start_standin("plain", name="plain", slots=64)
        document = _document(upstreams)
        peers = rig.plan_peers(SHARING_ROUTERS, data_centres=1)
        await rig.start(peers[:SEED_HOSTS], _address_map(document, standin))
        await rig.start_peers(peers, seed)
        await rig.fleet.publish(rig.plan.admin_address, document)
        return await rig.figures(seconds)


async def async_measure_vms(
    vms: int, _seed: int, seconds: float
) -> dict[str, float]:
    """Return the cost of a router for a number of VMs in the list."""
    vm_list = VmList(
        tuple(
            Vm(f"vm-{index:05}", f"dc-{index % DATA_CENTRES + 1}", VmState.LIVE)
            for index in range(vms)
        )
    )
    async with _rig() as rig:
        await rig.vms.put("/vms", msgspec.to_builtins(vm_list))
        await rig.start()
        return await rig.figures(seconds)


async def async_measure_requests(
    rate: int, seed: int, seconds: float
) -> dict[str, float]:
    """Return the cost of a router for a request rate."""
    async with _rig() as rig:
        standin = await rig.fleet.start_standin("plain", name="plain", slots=64)
        document = _document(1)
        await rig.start(address_map=_address_map(document, standin))
        await rig.fleet.publish(rig.plan.admin_address, document)
        workspace = WorkspaceLoad(
            name="ws-0000", token=token_of("ws-0000"), rate=rate
        )
        options = LoadOptions(
            addresses=(rig.plan.caller_address,),
            workspaces=(workspace,),
            seed=seed,
            max_requests=1_000_000,
            max_seconds=seconds + SETTLE_SECONDS,
            chat_share=0.0,
            plain_path=f"/services/{SERVICE}/work",
        )
        await start_load(rig.fleet, "load", options)
        return await rig.figures(seconds)


@asynccontextmanager
async def _rig() -> AsyncIterator[_Rig]:
    async with Fleet() as fleet:
        log = await fleet.start_standin("log", name="log")
        vms = await fleet.start_standin("vms", name="vms")
        yield _Rig(fleet, log, vms, fleet.plan_router("router-000", "dc-1"))


def _read_http_bytes(pid: int) -> float:
    """Return the bytes that a router has read from HTTP connections.

    The event loop calls `read`, which the kernel counts in /proc. ZeroMQ calls
    `recv`, which is not counted there.
    """
    text = Path(f"/proc/{pid}/io").read_text(encoding="ascii")
    return float(text.split("rchar:")[1].split()[0])


def _synthetic_peer(plan: RouterPlan) -> SyntheticPeer:
    return SyntheticPeer(plan.router_id, plan.data_centre, plan.peer_address)


def _address_map(
    document: ServiceDocument, standin: StandInProcess
) -> dict[str, str]:
    """Map the distinct address of each upstream to one stand-in."""
    return {
        upstream.address.removeprefix("http://"): standin.address
        for upstream in document.upstreams
    }


def _document(upstreams: int) -> ServiceDocument:
    return ServiceDocument(
        service=SERVICE,
        kind=ServiceKind.PLAIN,
        upstreams=tuple(
            Upstream(
                f"plain-{index:04}",
                "dc-1",
                f"http://10.20.{index // 250}.{index % 250}:8000",
                slots=64,
            )
            for index in range(upstreams)
        ),
        workspaces=(workspace_entry("ws-0000"),),
    )
