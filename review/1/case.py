"""A restarted router takes grants of its predecessor for its own requests."""

import asyncio
from pathlib import Path

from rig import (
    HAS_TROUBLE,
    CaseError,
    Request,
    Result,
    Router,
    Runner,
    Site,
    manifest,
    response,
    run_case,
)

# Routers in two zones: seven and the spare ones. The router `OWNER` decides on
# the requests to both services, and those of `VICTIMS` are killed in turn, one
# in a round.
ROUTERS = {
    f"front-{number}": "dc-a" if number < 923 else "dc-b"
    for number in range(920, 930)
}
OWNER = "front-928"
VICTIMS = ("front-922", "front-920", "front-925", "front-927")
MODEL_RUNNERS = 2
SLOTS = 8
# Streams that wait for a model runner when their router is killed, and swaps
# that reach it once it is back.
WAITING_STREAMS = 14
SWAPS = 16
SWAP_GAP_SECONDS = 0.01
# The streams that keep the model runners busy end one after the other, the
# first when the router is back.
UNDISTURBED_SECONDS = 0.7
FIRST_END_SECONDS = 0.05
END_GAP_SECONDS = 0.02


class Workload:
    """Long runs that keep the runners busy until they are let go.

    Attributes:
        foreign: Runs of a service to which no manifest allows them to go.
    """

    def __init__(self, site: Site) -> None:
        self.foreign: list[str] = []
        self._site = site
        self._streams: list[asyncio.Event] = []
        self._calls = asyncio.Event()
        self._held: list[asyncio.Task[tuple[str, Result]]] = []

    async def answer(
        self, runner: Runner, request: Request, writer: asyncio.StreamWriter
    ) -> bool | None:
        """Hold long runs, and note requests of another service."""
        is_model = request.target.startswith("/stream/")
        service = "models" if is_model else "plain"
        if "/hold" in request.target:
            await self._async_hold(runner, request, writer)
            return True
        if service != runner.service:
            runner.record_run(request)
            self.foreign.append(request.attempt)
            body = f"{runner.name} of {runner.service}".encode()
            writer.write(response(200, runner.head(request), body))
            return True
        return None

    async def _async_hold(
        self, runner: Runner, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        if runner.service == "plain":
            await self._calls.wait()
            writer.write(response(200, runner.head(request), b"held"))
            return
        head = runner.head(
            request,
            Content_Type="text/event-stream",
            Transfer_Encoding="chunked",
        )
        writer.write(response(200, head))
        end = asyncio.Event()
        self._streams.append(end)
        number = 0
        while not end.is_set():
            number += 1
            event = f"id: {number}\ndata: held\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            try:
                async with asyncio.timeout(0.1):
                    await end.wait()
            except TimeoutError:
                continue
        writer.write(b"0\r\n\r\n")

    async def async_fill(self, routers: list[Router]) -> None:
        """Take all slots of all runners."""
        self._streams = []
        self._calls = asyncio.Event()
        self._held = []
        for number in range(MODEL_RUNNERS * SLOTS + SLOTS):
            router = routers[number % len(routers)]
            call = (
                async_stream(self._site, router, "/stream/hold", number)
                if number < MODEL_RUNNERS * SLOTS
                else self._site.async_call(router, "/read/hold", 9000, "GET")
            )
            self._held.append(asyncio.create_task(call))
        await asyncio.sleep(0.6)
        if len(self._streams) < MODEL_RUNNERS * SLOTS:
            raise CaseError(f"only {len(self._streams)} streams run")

    async def async_let_go(self) -> None:
        """End the streams one after the other, then the calls."""
        for end in self._streams:
            end.set()
            await asyncio.sleep(END_GAP_SECONDS)
        self._calls.set()
        await asyncio.gather(*self._held)


async def async_stream(
    site: Site, router: Router, path: str, number: int
) -> tuple[str, Result]:
    """Send a stream with a prompt of its own."""
    return await site.async_call(
        router,
        path,
        9000,
        X_Model="m",
        X_Token_Counts="100,60",
        X_Prompt_Prefix=f"{number + 1:x}:50,{number + 1000:x}:50",
    )


async def async_restart(site: Site, router: Router) -> None:
    """Kill a router; it is started again at once."""
    router.kill()
    site.record.write(f"{router.name} was killed")
    router.start()
    await router.async_wait_ready(interval_seconds=0.01)
    site.record.write(f"{router.name} is ready again")


async def async_round(site: Site, workload: Workload, name: str) -> None:
    """Kill one router while streams of its requesters wait for a runner."""
    victim = site.routers[name]
    others = [
        router
        for router in site.routers.values()
        if router.name == OWNER or router.name not in VICTIMS
    ]
    await workload.async_fill(others)
    waiting = [
        asyncio.create_task(async_stream(site, victim, "/stream/x", number))
        for number in range(WAITING_STREAMS)
    ]
    await asyncio.sleep(0.15)

    async def async_end_runs() -> None:
        await asyncio.sleep(FIRST_END_SECONDS)
        await workload.async_let_go()

    if HAS_TROUBLE:
        await async_restart(site, victim)
    else:
        await asyncio.sleep(UNDISTURBED_SECONDS)
    ends = asyncio.create_task(async_end_runs())
    swaps = []
    for _ in range(SWAPS):
        swaps.append(
            asyncio.create_task(site.async_call(victim, "/write/swap", 4000))
        )
        await asyncio.sleep(SWAP_GAP_SECONDS)
    await asyncio.gather(ends, *waiting, *swaps)


async def async_case(site: Site) -> str:
    """Play rounds until a request runs at a runner of another service."""
    await site.store.async_start()
    value = manifest()
    for route in value["routes"]:
        route["targetLatencyMs"] = 800
    site.store.publish(value)
    workload = Workload(site)
    for number in range(MODEL_RUNNERS):
        await site.async_add_runner(f"models-{number}", "models", "dc-a")
    await site.async_add_runner("plain-0", "plain", "dc-b")
    for runner in site.runners.values():
        runner.answer = workload.answer
    for name, zone in ROUTERS.items():
        site.add_router(name, zone)
    for router in site.routers.values():
        await router.async_wait_ready()
    for name in VICTIMS:
        # Heartbeats between the routers spread within seconds.
        await asyncio.sleep(5.0)
        await async_round(site, workload, name)
        if workload.foreign:
            for attempt in workload.foreign:
                site.record.write(f"{attempt} has run at a model runner")
            return (
                f"ROUTE: {len(workload.foreign)} swaps have run at runners of"
                " another service"
            )
    return ""


if __name__ == "__main__":
    run_case(Path(__file__).parent, async_case)
