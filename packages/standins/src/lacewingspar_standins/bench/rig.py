"""Test rig of the benchmark `path`: a router and bare proxies."""

from dataclasses import dataclass

from lacewingspar_core.documents import (
    RequestClass,
    ServiceDocument,
    ServiceKind,
    Upstream,
)
from lacewingspar_standins.fleet import DEFAULT_READY_SECONDS, Fleet
from lacewingspar_standins.fleet_settings import workspace_entry
from lacewingspar_standins.process import RouterProcess, StandInProcess

PROCESS_MODULE = "lacewingspar_standins.bench.processes"
WORKSPACE = "bench"
MODEL_FAST = "fast"
MODEL_SLOW = "slow"
DATA_CENTRE = "east"
ENGINE_SLOTS = 2048
STEP_MS = 10
# Slow streams use memory of the router but little CPU time.
SLOW_STEP_MS = 1000
# The router estimates the queueing time from its recent grant rate. After an
# idle period the estimate is long, and with a deadline of 60 s the router
# refuses a burst although slots are free. This benchmark does not measure the
# estimate.
LONG_DEADLINE_CLASS = RequestClass(name="default", deadline_seconds=86_400.0)


@dataclass(frozen=True, slots=True)
class PathRig:
    """Running processes of the benchmark.

    Attributes:
        engine: Engine that serves the fast model.
        slow_engine: Engine that serves the slow model.
        proxy: Bare proxy in front of the fast engine.
        slow_proxy: Bare proxy in front of the slow engine.
        router: Router in front of both engines.
        router_address: Caller address of the router.
    """

    engine: StandInProcess
    slow_engine: StandInProcess
    proxy: StandInProcess
    slow_proxy: StandInProcess
    router: RouterProcess
    router_address: str

    def pid_of(self, path: str) -> int:
        """Return the process id of the router or of the bare proxy."""
        process = self.router if path == "router" else self.proxy
        return process.process.pid

    def address_of(self, path: str) -> str:
        """Return the address to which a path's fast-model requests go."""
        return {
            "direct": self.engine.address,
            "bare": self.proxy.address,
            "router": self.router_address,
        }[path]


async def start_path_rig(fleet: Fleet) -> PathRig:
    """Start all processes, publish the document and await readiness."""
    log = await fleet.start_standin("log", name="log")
    vms = await fleet.start_standin("vms", name="vms")
    engine = await _start_engine(fleet, MODEL_FAST, STEP_MS)
    slow_engine = await _start_engine(fleet, MODEL_SLOW, SLOW_STEP_MS)
    proxy = await _start_proxy(fleet, "proxy", engine)
    slow_proxy = await _start_proxy(fleet, "slow-proxy", slow_engine)
    plan = fleet.plan_router("router", DATA_CENTRE)
    router = await fleet.start_router(
        plan, log_url=log.url, vms_url=vms.url, log_level="warning"
    )
    await router.wait_live(plan.admin_address, DEFAULT_READY_SECONDS)
    document = ServiceDocument(
        service="models",
        kind=ServiceKind.MODEL,
        upstreams=(
            _upstream(MODEL_FAST, engine),
            _upstream(MODEL_SLOW, slow_engine),
        ),
        workspaces=(workspace_entry(WORKSPACE, queue_limit=10_000),),
        request_classes=(LONG_DEADLINE_CLASS,),
    )
    await fleet.publish(plan.admin_address, document)
    await router.wait_ready(plan.admin_address, DEFAULT_READY_SECONDS)
    return PathRig(
        engine=engine,
        slow_engine=slow_engine,
        proxy=proxy,
        slow_proxy=slow_proxy,
        router=router,
        router_address=plan.caller_address,
    )


async def _start_engine(
    fleet: Fleet, model: str, step_ms: float
) -> StandInProcess:
    return await fleet.start_standin(
        "engine",
        name=f"engine-{model}",
        module=PROCESS_MODULE,
        model=model,
        slots=ENGINE_SLOTS,
        step_ms=step_ms,
    )


async def _start_proxy(
    fleet: Fleet, name: str, engine: StandInProcess
) -> StandInProcess:
    return await fleet.start_standin(
        "proxy", name=name, module=PROCESS_MODULE, target=engine.url
    )


def _upstream(model: str, engine: StandInProcess) -> Upstream:
    return Upstream(
        id=model,
        data_centre=DATA_CENTRE,
        address=engine.url,
        slots=ENGINE_SLOTS,
        models=(model,),
    )
