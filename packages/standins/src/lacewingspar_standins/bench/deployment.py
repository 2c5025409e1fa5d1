"""The two reference deployments, run on one machine."""

import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lacewingspar_core.documents import (
    Limits,
    RequestClass,
    ServiceDocument,
    ServiceKind,
    Upstream,
    Workspace,
)
from lacewingspar_standins.fleet import Fleet
from lacewingspar_standins.fleet_settings import RouterPlan
from lacewingspar_standins.process import RouterProcess, StandInProcess

MODEL = "model"
SERVICE_CHAT = "chat"
SERVICE_PLAIN = "plain"
READY_SECONDS = 60.0
PROCESS_MODULE = "lacewingspar_standins.bench.processes"
_DEFAULT_LIMITS = Limits()


@dataclass(frozen=True, slots=True)
class Shape:
    """Size and layout of a deployment.

    Attributes:
        name: Name of the deployment.
        data_centres: Names of the data centres.
        routers: Number of routers in each data centre.
        engines: Number of model engines in each data centre.
        plains: Number of plain service runners in each data centre.
        delay_ms: One-way delay between data centres.
        engine_slots: Slots of each engine.
        plain_slots: Slots of each plain service runner.
    """

    name: str
    data_centres: tuple[str, ...]
    routers: tuple[int, ...]
    engines: tuple[int, ...]
    plains: tuple[int, ...]
    delay_ms: float
    engine_slots: int = 8
    plain_slots: int = 4


SHAPES_BY_NAME = {
    shape.name: shape
    for shape in (
        Shape(
            name="a",
            data_centres=("dc-1", "dc-2", "dc-3"),
            routers=(3, 3, 2),
            engines=(2, 2, 1),
            plains=(1, 1, 1),
            delay_ms=1.0,
        ),
        Shape(
            name="b",
            data_centres=("dc-1", "dc-2", "dc-3", "dc-4"),
            routers=(2, 2, 2, 2),
            engines=(2, 2, 1, 1),
            plains=(1, 1, 1, 1),
            delay_ms=0.5,
        ),
    )
}


@dataclass(slots=True)
class Deployment:
    """A running deployment.

    Attributes:
        shape: Its size and layout.
        fleet: Harness that owns the processes.
        log: Log service.
        vms: VM list.
        engines: Model engines by upstream id.
        plains: Plain service runners by upstream id.
        plans: Routers in the order of their names.
        routers: Router processes by router id.
        links: Links by data centre of the caller and of the target; links
            to the platform have the target "platform".
        documents: Published documents by service.
        records_events: Whether routers write traces to the fleet's folder.
        balancers: Baseline balancers by data centre, if used instead of
            routers.
        step_ms: Duration of an engine's step.
        upstream_addresses: Reserved addresses by upstream id.
    """

    shape: Shape
    fleet: Fleet
    log: StandInProcess
    vms: StandInProcess
    engines: dict[str, StandInProcess] = field(default_factory=dict)
    plains: dict[str, StandInProcess] = field(default_factory=dict)
    plans: list[RouterPlan] = field(default_factory=list)
    routers: dict[str, RouterProcess] = field(default_factory=dict)
    links: dict[tuple[str, str], StandInProcess] = field(default_factory=dict)
    documents: dict[str, ServiceDocument] = field(default_factory=dict)
    records_events: bool = False
    balancers: dict[str, list[StandInProcess]] = field(default_factory=dict)
    step_ms: float = 10.0
    upstream_addresses: dict[str, str] = field(default_factory=dict)

    @property
    def upstreams(self) -> dict[str, StandInProcess]:
        """Return all upstreams by id."""
        return {**self.engines, **self.plains}

    def caller_addresses(self, *data_centres: str) -> tuple[str, ...]:
        """Return the caller addresses of routers, by default of all."""
        entries = [
            (plan.data_centre, plan.caller_address) for plan in self.plans
        ]
        entries += [
            (data_centre, balancer.address)
            for data_centre, balancers in self.balancers.items()
            for balancer in balancers
        ]
        return tuple(
            address
            for data_centre, address in entries
            if not data_centres or data_centre in data_centres
        )

    async def start_router(self, plan: RouterPlan) -> RouterProcess:
        """Start or restart a router."""
        router = await self.fleet.start_router(
            plan,
            log_url=self.log.url,
            vms_url=self.vms.url,
            peers=self.plans,
            address_map=self._address_map(plan.data_centre),
            **self._record_setting(plan),
        )
        self.routers[plan.router_id] = router
        return router

    async def start_upstream(self, name: str) -> StandInProcess:
        """Start an upstream, or restart it with its previous run counts."""
        address = self.upstream_addresses.get(name)
        if address is None:
            address = self.fleet.reserve_address()
            self.upstream_addresses[name] = address
        common: dict[str, Any] = {
            "name": name,
            "port": address.rpartition(":")[2],
            "runs_file": self.fleet.folder / f"{name}.runs",
        }
        if name.startswith("engine"):
            standin = await self.fleet.start_standin(
                "engine",
                model=MODEL,
                slots=self.shape.engine_slots,
                step_ms=self.step_ms,
                **common,
            )
            self.engines[name] = standin
        else:
            standin = await self.fleet.start_standin(
                "plain", slots=self.shape.plain_slots, **common
            )
            self.plains[name] = standin
        return standin

    async def set_data_centre_isolated(
        self, data_centre: str, *, isolated: bool
    ) -> None:
        """Disconnect a data centre from all others, or reconnect it."""
        for (source, target), link in self.links.items():
            if target != "platform" and data_centre in (source, target):
                await link.inject(cut=isolated)

    async def set_platform_unreachable(
        self, data_centre: str, *, unreachable: bool
    ) -> None:
        """Disconnect a data centre from the platform, or reconnect it."""
        await self.links[(data_centre, "platform")].inject(cut=unreachable)

    def _record_setting(self, plan: RouterPlan) -> dict[str, str]:
        if not self.records_events:
            return {}
        file = self.fleet.folder / f"{plan.router_id}.trace.jsonl"
        return {"event_record_file": str(file)}

    def _address_map(self, data_centre: str) -> dict[str, str]:
        return {
            target: relay
            for (source, _), link in self.links.items()
            if source == data_centre
            for target, relay in link.address_by_name.items()
            if ":" in target
        }


@contextlib.asynccontextmanager
async def deployed(
    shape: Shape,
    workspaces: tuple[Workspace, ...],
    *,
    step_ms: float,
    limits: Limits = _DEFAULT_LIMITS,
    log_options: dict[str, Any] | None = None,
    folder: Path | None = None,
    records_events: bool = False,
) -> AsyncIterator[Deployment]:
    """Run a deployment with published documents until the context ends.

    Args:
        shape: Size and layout.
        workspaces: Workspaces of both services.
        step_ms: Duration of an engine's step.
        limits: Limits of both services.
        log_options: Options of the log service stand-in.
        folder: Folder that keeps settings and logs, or None.
        records_events: Whether the routers also write traces there.
    """
    async with Fleet(folder) as fleet:
        log = await fleet.start_standin("log", name="log", **log_options or {})
        vms = await fleet.start_standin("vms", name="vms")
        deployment = Deployment(
            shape,
            fleet,
            log,
            vms,
            step_ms=step_ms,
            records_events=records_events,
        )
        await _start_upstreams(deployment)
        _plan_routers(deployment)
        await _start_links(deployment)
        for plan in deployment.plans:
            await deployment.start_router(plan)
        await _publish(deployment, workspaces, limits)
        for plan in deployment.plans:
            router = deployment.routers[plan.router_id]
            await router.wait_ready(plan.admin_address, READY_SECONDS)
        yield deployment


@contextlib.asynccontextmanager
async def deployed_baseline(
    shape: Shape, *, step_ms: float
) -> AsyncIterator[Deployment]:
    """Run a deployment with baseline balancers instead of routers.

    Args:
        shape: Size and layout.
        step_ms: Duration of an engine's step.
    """
    async with Fleet() as fleet:
        log = await fleet.start_standin("log", name="log")
        vms = await fleet.start_standin("vms", name="vms")
        deployment = Deployment(shape, fleet, log, vms, step_ms=step_ms)
        await _start_upstreams(deployment)
        for data_centre, count in zip(
            shape.data_centres, shape.routers, strict=True
        ):
            deployment.balancers[data_centre] = [
                await fleet.start_standin(
                    "balancer",
                    name=f"balancer-{data_centre}-{number}",
                    module=PROCESS_MODULE,
                    chat=[item.url for item in deployment.engines.values()],
                    plain=[item.url for item in deployment.plains.values()],
                )
                for number in range(count)
            ]
        yield deployment


async def _start_upstreams(deployment: Deployment) -> None:
    shape = deployment.shape
    for index, data_centre in enumerate(shape.data_centres):
        for number in range(shape.engines[index]):
            await deployment.start_upstream(f"engine-{data_centre}-{number}")
        for number in range(shape.plains[index]):
            await deployment.start_upstream(f"plain-{data_centre}-{number}")


def _plan_routers(deployment: Deployment) -> None:
    shape = deployment.shape
    for index, data_centre in enumerate(shape.data_centres):
        for number in range(shape.routers[index]):
            plan = deployment.fleet.plan_router(
                f"router-{data_centre}-{number}", data_centre
            )
            deployment.plans.append(plan)


async def _start_links(deployment: Deployment) -> None:
    shape = deployment.shape
    platform = [deployment.log.address, deployment.vms.address]
    for source in shape.data_centres:
        await _start_link(deployment, source, "platform", platform, 0.0)
        for target in shape.data_centres:
            if target == source:
                continue
            addresses = [
                plan.peer_address
                for plan in deployment.plans
                if plan.data_centre == target
            ]
            addresses += [
                upstream.address
                for name, upstream in deployment.upstreams.items()
                if data_centre_of(name) == target
            ]
            await _start_link(
                deployment, source, target, addresses, shape.delay_ms
            )


async def _start_link(
    deployment: Deployment,
    source: str,
    target: str,
    addresses: list[str],
    delay_ms: float,
) -> None:
    deployment.links[(source, target)] = await deployment.fleet.start_standin(
        "link-group",
        name=f"link-{source}-{target}",
        target=addresses,
        delay_ms=delay_ms,
    )


async def _publish(
    deployment: Deployment, workspaces: tuple[Workspace, ...], limits: Limits
) -> None:
    first = deployment.plans[0]
    router = deployment.routers[first.router_id]
    await router.wait_live(first.admin_address, READY_SECONDS)
    for document in (
        _document(deployment, SERVICE_CHAT, workspaces, limits),
        _document(deployment, SERVICE_PLAIN, workspaces, limits),
    ):
        deployment.documents[document.service] = document
        await deployment.fleet.publish(first.admin_address, document)


def data_centre_of(name: str) -> str:
    """Extract the data centre from a name such as `engine-dc-1-0`."""
    _, prefix, number, _ = name.split("-")
    return f"{prefix}-{number}"


def _document(
    deployment: Deployment,
    service: str,
    workspaces: tuple[Workspace, ...],
    limits: Limits,
) -> ServiceDocument:
    is_chat = service == SERVICE_CHAT
    standins = deployment.engines if is_chat else deployment.plains
    shape = deployment.shape
    return ServiceDocument(
        service=service,
        kind=ServiceKind.MODEL if is_chat else ServiceKind.PLAIN,
        upstreams=tuple(
            Upstream(
                id=name,
                data_centre=data_centre_of(name),
                address=standin.url,
                slots=shape.engine_slots if is_chat else shape.plain_slots,
                models=(MODEL,) if is_chat else (),
                vm=name,
            )
            for name, standin in standins.items()
        ),
        workspaces=workspaces,
        limits=limits,
        request_classes=(
            RequestClass(name="default", deadline_seconds=120.0),
            RequestClass(name="urgent", priority=1, deadline_seconds=30.0),
        ),
    )
