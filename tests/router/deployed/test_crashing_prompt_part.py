"""Tests of prompt parts that crash each upstream that runs them."""

import asyncio

import pytest
from tests.router.deployed.conftest import (
    Caller,
    Deployment,
    manifest,
    until,
)
from tests.router.deployed.test_forwarding import STREAM

from lacewingspar_core.prompt_suspects import (
    CRASHES_UNTIL_REFUSED,
)
from lacewingspar_router.components.peers.models import PEERS

CRASHING = "c0ffee01"
# Requests may reach upstreams so often after the fifth crash.
MAX_CRASHES = 5 + 3
ROUTERS = ("r1", "r2", "r3")
UPSTREAMS = 12
PROMPTS = {
    "second part": "aaaa0001:50,c0ffee01:40,{n}:30",
    "first part": "c0ffee01:50,bbbb0001:40,{n}:30",
    "only shared part": "c0ffee01:50,{n}:30",
    "behind a part of its own": "{n}:50,c0ffee01:40,{n}f:30",
}


# How the connections of a crashed upstream end.
CRASHES: list[dict[str, bool]] = [
    {},
    {"crash_cleanly": True},
    {"crash_cleanly": True, "unframed": True},
]


async def start(deployment: Deployment, **faults: bool) -> list[Caller]:
    """Start upstreams that crash on a part, and routers."""
    deployment.publish(manifest())
    for number in range(UPSTREAMS):
        upstream = await deployment.add_upstream(f"e{number}", "engines")
        upstream.faults.crash_part = CRASHING
        for name, value in faults.items():
            setattr(upstream.faults, name, value)
    callers = [await deployment.add_router(ROUTERS[0])]
    seed = deployment.apps[0].settings.peer_address
    callers += [
        await deployment.add_router(name, seed_hosts=[seed])
        for name in ROUTERS[1:]
    ]
    await until(
        lambda: all(
            len(app.get(PEERS).alive_by_router_id) == len(ROUTERS)
            for app in deployment.apps
        )
    )
    return callers


def total_crashes(deployment: Deployment) -> int:
    return sum(item.crashes for item in deployment.upstream_by_id.values())


@pytest.mark.parametrize("path", ["/stream/", "/stream-once/"])
@pytest.mark.parametrize("prompt", PROMPTS.values(), ids=PROMPTS.keys())
async def test_requests_with_a_crashing_part_stop_reaching_upstreams(
    deployment: Deployment, prompt: str, path: str
) -> None:
    """Guards against a part that crashes upstream after upstream.

    No two requests are alike. Sound ones with all other parts are served.
    """
    await check_that_crashes_end(deployment, prompt, path)


@pytest.mark.parametrize("path", ["/stream/", "/stream-once/"])
@pytest.mark.parametrize("faults", CRASHES, ids=["reset", "close", "unframed"])
async def test_crashes_are_recognised_by_the_end_of_the_connection(
    deployment: Deployment, faults: dict[str, bool], path: str
) -> None:
    """Guards against a crash that is taken for a complete, empty response."""
    await check_that_crashes_end(
        deployment, PROMPTS["second part"], path, **faults
    )


async def test_crashing_request_is_not_repeated_once_its_part_is_known(
    deployment: Deployment,
) -> None:
    """Guards against a retry that is faster than the verdict on its request."""
    callers = await start(deployment)
    for number in range(4):
        await callers[0].call(
            "/stream/",
            body=f"{number}".encode(),
            x_prompt_prefix=PROMPTS["only shared part"].format(n=number),
        )
    assert total_crashes(deployment) <= CRASHES_UNTIL_REFUSED


async def test_new_router_refuses_a_part_that_the_others_know(
    deployment: Deployment,
) -> None:
    """Guards against a verdict that a router forgets when it restarts."""
    callers = await start(deployment)
    prompt = PROMPTS["only shared part"]
    for number in range(4):
        await callers[0].call(
            "/stream/",
            body=f"{number}".encode(),
            x_prompt_prefix=prompt.format(n=number),
        )
    crashes = total_crashes(deployment)
    seed = deployment.apps[0].settings.peer_address
    caller = await deployment.add_router("r4", seed_hosts=[seed])
    await until(
        lambda: all(
            len(app.get(PEERS).alive_by_router_id) == len(ROUTERS) + 1
            for app in deployment.apps
        )
    )
    await asyncio.sleep(0.2)
    response = await caller.call(
        "/stream/", body=b"new", x_prompt_prefix=prompt.format(n="9")
    )
    assert (response.status, total_crashes(deployment)) == (503, crashes)


async def test_interrupted_stream_does_not_meet_its_crashing_request_again(
    deployment: Deployment,
) -> None:
    """Guards against sound streams that lose two upstreams to one request."""
    deployment.publish(manifest())
    for number in range(4):
        upstream = await deployment.add_upstream(
            f"e{number}", "engines", events=30, response_delay_seconds=0.02
        )
        upstream.faults.crash_part = CRASHING
    caller = await deployment.add_router()
    engines = deployment.upstream_by_id.values()
    for number in range(6):
        prompt = PROMPTS["second part"].format(n=number)
        sound = prompt.replace(CRASHING, "dddd0001")
        stream = asyncio.create_task(
            Caller(caller.address).call(
                "/stream/", body=b"%d" % number, x_prompt_prefix=sound
            )
        )
        await until(lambda: any(engine.running for engine in engines))
        await asyncio.sleep(0.3)
        await caller.call(
            "/stream/", body=b"c%d" % number, x_prompt_prefix=prompt
        )
        response = await stream
        assert (response.status, response.is_complete) == (200, True)
        await deployment.restart_crashed("engines")


async def check_that_crashes_end(
    deployment: Deployment, prompt: str, path: str, **faults: bool
) -> None:
    """Send crashing and sound requests in turn, no two of them alike."""
    callers = await start(deployment, **faults)
    for number in range(3 * MAX_CRASHES):
        caller = callers[number % len(callers)]
        own_part = f"{number:08x}"
        crashing = await caller.call(
            path,
            body=f"crashing {number}".encode(),
            x_prompt_prefix=prompt.format(n=own_part),
        )
        await asyncio.sleep(0.05)
        await deployment.restart_crashed("engines")
        sound = prompt.replace(CRASHING, "dddd0001")
        response = await caller.call(
            path,
            body=f"sound {number}".encode(),
            x_prompt_prefix=sound.format(n=own_part),
        )
        assert (response.status, response.is_complete) == (200, True)
        assert response.body == STREAM
    assert total_crashes(deployment) <= MAX_CRASHES
    assert crashing.status == 503
