"""One entry of another writer keeps every router from using the list."""

import asyncio
import json
import time
from pathlib import Path

from rig import HAS_TROUBLE, CaseError, Site, run_case

DRAIN_SECONDS = 2.0
RECOVER_SECONDS = 12.0
DOWN_SECONDS = 1.3
# Bytes that can't be read: more levels than the routers' decoder can follow.
LEVELS = 1200


def unreadable_entry() -> bytes:
    """Return an entry of another writer, with 2.5 KB of open brackets."""
    entry = {"service": "plain", "zone": "dc-a", "state": "ready"}
    text = json.dumps(entry | {"labels": 0})
    nested = "[" * LEVELS + "]" * LEVELS
    return text.replace('"labels": 0', f'"labels": {nested}').encode()


async def async_count_served(site: Site, rounds: int) -> tuple[int, int]:
    """Send requests to all routers; return how many are served, and sent."""
    served = sent = 0
    for _ in range(rounds):
        for router in site.routers.values():
            _, result = await site.async_call(router, "/read/x", 1000, "GET")
            sent += 1
            served += result.status == 200
            await asyncio.sleep(0.02)
    return served, sent


async def async_drain(site: Site, name: str) -> int:
    """Let a runner leave; return the requests that reach it too late."""
    runner = site.runners[name]
    runner.state = "draining"
    runner.register()
    acked_at = time.monotonic()
    site.record.write(f"the store has accepted that {name} is draining")
    await asyncio.sleep(DRAIN_SECONDS + 0.5)
    sent_after = time.monotonic()
    await async_count_served(site, 10)
    late = [item for at, item in runner.arrivals if at > sent_after]
    for request in late:
        site.record.write(f"{request.attempt} reaches {name} too late")
    site.record.write(f"{name} exits {time.monotonic() - acked_at:.1f} s later")
    await runner.async_end()
    return len(late)


async def async_case(site: Site) -> str:
    """Write the entry, let a runner drain, then kill all routers."""
    await site.async_start(routers=3, runners={"plain": 3, "models": 1})
    served, sent = await async_count_served(site, 5)
    if served < sent:
        raise CaseError(f"{served} of {sent} served before the disruption")
    if HAS_TROUBLE:
        site.store.topic("keyed.servers").append("other", unreadable_entry())
        site.record.write("another writer's entry: bytes that can't be read")
    await asyncio.sleep(3.0)
    used = max(
        (item for item in site.runners.values() if item.service == "plain"),
        key=lambda runner: len(runner.runs),
    )
    late = await async_drain(site, used.name)
    served, sent = await async_count_served(site, 5)
    site.record.write(f"before the final fault: {served} of {sent} served")
    for router in site.routers.values():
        router.kill()
    site.record.write("all routers were killed")
    await asyncio.sleep(DOWN_SECONDS)
    for router in site.routers.values():
        router.start()
    site.record.write("all routers were started")
    await asyncio.sleep(RECOVER_SECONDS + 3.0)
    served_after, sent_after = await async_count_served(site, 10)
    site.record.write(
        f"{RECOVER_SECONDS:.0f} s after they are back:"
        f" {served_after} of {sent_after} served"
    )
    site.log_tail(1)
    broken = []
    if served_after < sent_after / 4 <= served:
        broken.append(f"RECOVER: {served_after} of {sent_after} served")
    if late:
        broken.append(f"DRAIN: {late} requests reached the runner too late")
    return "; ".join(broken)


if __name__ == "__main__":
    run_case(Path(__file__).parent, async_case)
