"""Tests of one sound request that many callers send beside crashes."""

import asyncio
from collections import Counter

import pytest
from tests.router.deployed.conftest import Caller, Deployment, manifest, until

from lacewingspar_core.crash_evidence import SUSPICION_SECONDS
from lacewingspar_core.prompt_quarantine import PROBE_SECONDS
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.crash_exchange import CLEARING_DELAY_SECONDS

UPSTREAMS = 6
REQUESTS_PER_SECOND = 32
CRASHES_AT_SECONDS = (0.7, 1.3, 1.9)
RETURN_SECONDS = 0.2
LOAD_SECONDS = 2.6
CRASHING_BODY = "poison"
# More than three retries may not reach upstreams after the third crash, and
# those in flight at once cannot be held back.
MAX_CRASHES = 6


async def start(
    deployment: Deployment, service: str, delay_seconds: float, events: int = 5
) -> list[Caller]:
    """Start upstreams and two routers that know each other."""
    deployment.publish(manifest())
    for number in range(UPSTREAMS):
        await deployment.add_upstream(
            f"u{number}",
            service,
            events=events,
            response_delay_seconds=delay_seconds,
        )
    callers = [await deployment.add_router("r1")]
    seed = deployment.apps[0].settings.peer_address
    callers.append(await deployment.add_router("r2", seed_hosts=[seed]))
    await until(
        lambda: all(
            len(app.get(PEERS).alive_by_router_id) == len(callers)
            for app in deployment.apps
        )
    )
    return callers


async def end_upstreams(deployment: Deployment, service: str) -> None:
    """End busy upstreams one by one; each comes back under another id."""
    begun_at = asyncio.get_running_loop().time()
    for at_seconds in CRASHES_AT_SECONDS:
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(begun_at + at_seconds - now)
        upstreams = [
            upstream
            for upstream in deployment.upstream_by_id.values()
            if not upstream.crashes
        ]
        if upstreams:
            max(upstreams, key=lambda upstream: upstream.running).crash()
        await asyncio.sleep(RETURN_SECONDS)
        await deployment.restart_crashed(service)


async def call_often(
    callers: list[Caller],
    path: str,
    body: str,
    per_second: int = REQUESTS_PER_SECOND,
    **headers: str,
) -> Counter[str]:
    """Send requests at a fixed rate; return how often each ended how.

    Args:
        callers: Callers of the routers, used in turn.
        path: Path of the requests.
        body: Body; `{n}` stands for the number of the request.
        per_second: Requests a second.
        **headers: Headers, with the same.
    """
    calls = []
    for number in range(round(LOAD_SECONDS * per_second)):
        caller = Caller(callers[number % len(callers)].address)
        text = {name: value.format(n=number) for name, value in headers.items()}
        calls.append(
            asyncio.create_task(
                caller.call(
                    path,
                    body=body.format(n=number).encode(),
                    budget_ms=8000,
                    **text,
                )
            )
        )
        await asyncio.sleep(1 / per_second)
    responses = await asyncio.gather(*calls)
    return Counter(
        response.body.decode()
        if b"crashed" in response.body
        else str(response.status)
        for response in responses
    )


@pytest.mark.parametrize(
    ("path", "delay_seconds", "events"),
    [
        ("/read/", 0.3, 1),
        ("/write/", 0.3, 1),
        ("/read/", 2.0, 1),
        ("/stream/", 0.06, 5),
        ("/stream/", 0.05, 40),
    ],
    ids=["short", "once only", "longer than all", "streams", "long streams"],
)
async def test_popular_request_is_not_blamed_for_crashes_beside_it(
    deployment: Deployment, path: str, delay_seconds: float, events: int
) -> None:
    """Guards against refusing a request that runs to its end all the time.

    Identical requests are in flight at every upstream that ends by itself.
    """
    service = "engines" if "stream" in path else "plain"
    callers = await start(deployment, service, delay_seconds, events)
    refusals, _ = await asyncio.gather(
        call_often(callers, path, "", x_prompt_prefix="{n}a:10"),
        end_upstreams(deployment, service),
    )
    assert not [reason for reason in refusals if "crashed" in reason]
    assert refusals["200"] > LOAD_SECONDS * REQUESTS_PER_SECOND / 2


async def test_popular_crashing_request_is_contained_beside_other_crashes(
    deployment: Deployment,
) -> None:
    """Guards against excusing a request because others crash too."""
    callers = await start(deployment, "plain", 0.02)
    for upstream in deployment.upstream_by_id.values():
        upstream.faults.crash_marker = CRASHING_BODY
    refusals, sound, _ = await asyncio.gather(
        call_often(callers, "/write/", CRASHING_BODY),
        call_often(callers, "/write/", "fine"),
        end_upstreams(deployment, "plain"),
    )
    crashes = sum(item.crashes for item in deployment.upstream_by_id.values())
    assert crashes <= MAX_CRASHES + len(CRASHES_AT_SECONDS)
    assert refusals["200"] == 0
    assert not [reason for reason in sound if "crashed" in reason]


@pytest.mark.parametrize(
    ("delay_seconds", "events", "per_second"),
    [(0.06, 5, 32), (0.05, 40, 32), (2.5, 1, 12)],
    ids=["short", "long", "late first output"],
)
async def test_popular_prompt_part_is_not_blamed_for_crashes_beside_it(
    deployment: Deployment, delay_seconds: float, events: int, per_second: int
) -> None:
    """Guards against refusing a system prompt that responses begin with."""
    callers = await start(deployment, "engines", delay_seconds, events)
    refusals, _ = await asyncio.gather(
        call_often(
            callers,
            "/stream/",
            "{n}",
            per_second,
            x_prompt_prefix="5c1e07a2:50,91bd3f06:20,{n}a:10",
        ),
        end_upstreams(deployment, "engines"),
    )
    assert not [reason for reason in refusals if "crashed" in reason]
    assert refusals["200"] > LOAD_SECONDS * per_second / 2


async def async_check_return(callers: list[Caller]) -> None:
    """Check that a suspected request is soon probed, and then served."""
    refused = [await caller.call("/write/") for caller in callers]
    for response in refused:
        assert response.status == 503
        assert 0 < float(response.headers["retry-after"]) <= PROBE_SECONDS
    await asyncio.sleep(SUSPICION_SECONDS)
    # One of the routers sends the probe.
    returned = [await caller.call("/write/") for caller in callers]
    assert 200 in {response.status for response in returned}
    await asyncio.sleep(2 * CLEARING_DELAY_SECONDS)
    for caller in callers:
        assert (await caller.call("/write/")).status == 200


async def test_request_that_has_run_well_is_probed_after_two_crashes(
    deployment: Deployment,
) -> None:
    """Guards against ten minutes' refusal of a sound popular request.

    Review case 10: it has run to its end, then meets two crashes in a row.
    """
    callers = await start(deployment, "plain", 0.3)
    for caller in callers:
        assert (await caller.call("/write/")).status == 200
    for caller in callers:
        call = asyncio.create_task(caller.call("/write/"))
        upstreams = list(deployment.upstream_by_id.values())
        await until(lambda items=upstreams: any(i.running for i in items))
        next(item for item in upstreams if item.running).crash()
        assert (await call).status >= 500
        await asyncio.sleep(2 * CLEARING_DELAY_SECONDS)
    assert sum(u.crashes for u in deployment.upstream_by_id.values()) == 2
    await async_check_return(callers)


async def test_request_at_upstreams_that_end_together_may_soon_return(
    deployment: Deployment,
) -> None:
    """Guards against ten minutes' refusal for what is not proved."""
    callers = await start(deployment, "plain", 0.4)
    calls = [
        asyncio.create_task(callers[0].call("/write/")),
        asyncio.create_task(Caller(callers[0].address).call("/write/")),
    ]
    await asyncio.sleep(0.2)
    for upstream in deployment.upstream_by_id.values():
        if upstream.running:
            upstream.crash()
    await asyncio.gather(*calls)
    assert sum(u.crashes for u in deployment.upstream_by_id.values()) == 2
    await asyncio.sleep(0.2)
    await async_check_return(callers)
