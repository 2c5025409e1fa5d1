"""Fleet of the demo: two data centres with routers and stand-ins."""

from dataclasses import dataclass, field

from lacewingspar_core.documents import (
    Limits,
    ServiceDocument,
    ServiceKind,
    Upstream,
    Workspace,
)
from lacewingspar_standins.fleet import DEFAULT_READY_SECONDS, Fleet
from lacewingspar_standins.fleet_settings import RouterPlan
from lacewingspar_standins.process import RouterProcess, StandInProcess

SERVICE_MODEL = "chat"
SERVICE_PLAIN = "orders"
MODEL = "demo-model"
DATA_CENTRES = ("east", "west")
DRAIN_LIMIT_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """Size of the fleet.

    Attributes:
        workspaces: Workspaces of both services.
        routers_per_data_centre: Routers in each data centre.
        engines_per_data_centre: Model engines in each data centre.
        plains_per_data_centre: Plain services in each data centre.
        engine_slots: Slots of an engine.
        plain_slots: Slots of a plain service.
        step_ms: Time between two tokens of a request.
    """

    workspaces: tuple[Workspace, ...]
    routers_per_data_centre: int = 2
    engines_per_data_centre: int = 2
    plains_per_data_centre: int = 1
    engine_slots: int = 4
    plain_slots: int = 4
    step_ms: float = 10


@dataclass(slots=True)
class SmallFleet:
    """Processes of a fleet with two services.

    Attributes:
        fleet: Harness that owns the processes.
        options: Size of the fleet.
        plans: Routers by id.
        routers: Router processes by id.
        upstreams: Stand-ins by (service, upstream id).
    """

    fleet: Fleet
    options: FleetOptions
    plans: dict[str, RouterPlan] = field(default_factory=dict)
    routers: dict[str, RouterProcess] = field(default_factory=dict)
    upstreams: dict[tuple[str, str], StandInProcess] = field(
        default_factory=dict
    )
    _log_url: str = ""
    _vms_url: str = ""

    @property
    def caller_addresses(self) -> tuple[str, ...]:
        """Return the caller addresses of all routers."""
        return tuple(plan.caller_address for plan in self.plans.values())

    def upstreams_of(self, service: str) -> dict[str, StandInProcess]:
        """Return the stand-ins of a service by upstream id."""
        return {
            upstream_id: standin
            for (name, upstream_id), standin in self.upstreams.items()
            if name == service
        }

    def slots_of(self, service: str) -> int:
        """Return the number of slots of one upstream of a service."""
        if service == SERVICE_MODEL:
            return self.options.engine_slots
        return self.options.plain_slots

    async def start(self) -> None:
        """Start all processes, publish the documents and wait until ready."""
        await self._start_upstreams()
        log = await self.fleet.start_standin("log", name="log")
        vms = await self.fleet.start_standin("vms", name="vms")
        self._log_url, self._vms_url = log.url, vms.url
        self._plan_routers()
        for router_id in self.plans:
            await self._start_router(router_id)
        for router_id, plan in self.plans.items():
            await self.routers[router_id].wait_live(
                plan.admin_address, DEFAULT_READY_SECONDS
            )
        for document in self.documents():
            first = next(iter(self.plans.values()))
            await self.fleet.publish(first.admin_address, document)
        for router_id in self.plans:
            await self._wait_ready(router_id)

    async def add_router(self, router_id: str, data_centre: str) -> None:
        """Start an additional router and wait until it is ready."""
        self.plans[router_id] = self.fleet.plan_router(router_id, data_centre)
        await self._start_router(router_id)
        await self._wait_ready(router_id)

    def documents(self) -> tuple[ServiceDocument, ServiceDocument]:
        """Return the documents of the model service and the plain service."""
        limits = Limits(silent_after_seconds=10.0)
        return (
            ServiceDocument(
                service=SERVICE_MODEL,
                kind=ServiceKind.MODEL,
                upstreams=self._entries(SERVICE_MODEL, (MODEL,)),
                workspaces=self.options.workspaces,
                limits=limits,
            ),
            ServiceDocument(
                service=SERVICE_PLAIN,
                kind=ServiceKind.PLAIN,
                upstreams=self._entries(SERVICE_PLAIN, ()),
                workspaces=self.options.workspaces,
                limits=limits,
            ),
        )

    def _entries(
        self, service: str, models: tuple[str, ...]
    ) -> tuple[Upstream, ...]:
        return tuple(
            Upstream(
                id=upstream_id,
                data_centre=upstream_id.split("-")[0],
                address=standin.url,
                slots=self.slots_of(service),
                models=models,
            )
            for upstream_id, standin in self.upstreams_of(service).items()
        )

    async def _start_upstreams(self) -> None:
        options = self.options
        for data_centre in DATA_CENTRES:
            for number in range(1, options.engines_per_data_centre + 1):
                name = f"{data_centre}-engine-{number}"
                engine = await self.fleet.start_standin(
                    "engine",
                    name=name,
                    model=MODEL,
                    slots=options.engine_slots,
                    step_ms=options.step_ms,
                )
                self.upstreams[(SERVICE_MODEL, name)] = engine
            for number in range(1, options.plains_per_data_centre + 1):
                name = f"{data_centre}-plain-{number}"
                plain = await self.fleet.start_standin(
                    "plain", name=name, slots=options.plain_slots
                )
                self.upstreams[(SERVICE_PLAIN, name)] = plain

    def _plan_routers(self) -> None:
        for data_centre in DATA_CENTRES:
            for number in range(1, self.options.routers_per_data_centre + 1):
                router_id = f"{data_centre}-router-{number}"
                plan = self.fleet.plan_router(router_id, data_centre)
                self.plans[router_id] = plan

    async def _start_router(self, router_id: str) -> None:
        self.routers[router_id] = await self.fleet.start_router(
            self.plans[router_id],
            log_url=self._log_url,
            vms_url=self._vms_url,
            peers=tuple(self.plans.values()),
            drain_limit_seconds=DRAIN_LIMIT_SECONDS,
        )

    async def _wait_ready(self, router_id: str) -> None:
        await self.routers[router_id].wait_ready(
            self.plans[router_id].admin_address, DEFAULT_READY_SECONDS
        )
