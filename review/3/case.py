"""A late extra answer makes the system deny the run of another request."""

import asyncio
import random
from collections import Counter
from pathlib import Path

from rig import (
    HAS_TROUBLE,
    Request,
    Runner,
    Site,
    response,
    run_case,
)

SECONDS = 70.0
REQUESTS_PER_SECOND = 100.0
RUNNERS = 3
# Of the runners, one sheds part of its requests (srv_grey: a share of 0.15 and
# x of 0.4 at most) and sends a second answer late beside a few of its answers
# (garble: a share of 0.6 and x of 0.03 at most).
SHED_SHARE = 0.4
EXTRA_SHARE = 0.03


class FaultyRunner:
    """Answers of the runner in trouble."""

    def __init__(self) -> None:
        self._random = random.Random(1)
        self._extra_by_channel: dict[asyncio.StreamWriter, bytes] = {}
        self.extras: list[str] = []

    async def answer(
        self, _: Runner, request: Request, writer: asyncio.StreamWriter
    ) -> bool | None:
        """Shed a request, or let the runner run it."""
        extra = self._extra_by_channel.pop(writer, None)
        if extra is not None:
            self.extras.append(request.attempt)
            writer.write(extra)
        if self._random.random() >= SHED_SHARE:
            return None
        # As `fleetbench wire` shows it: a server sheds.
        shed = response(503, {"X-Not-Executed": "1"}, b"")
        writer.write(shed)
        if self._random.random() < EXTRA_SHARE:
            self._extra_by_channel[writer] = shed
        return True


async def async_case(site: Site) -> str:
    """Record swaps and compare the answers with the runs."""
    await site.async_start(routers=2, runners={"plain": RUNNERS, "models": 1})
    for runner in site.runners.values():
        runner.work_seconds = 0.09
    faulty = FaultyRunner()
    if HAS_TROUBLE:
        site.runners["plain-0"].answer = faulty.answer
        site.record.write("runner plain-0 sheds, and sends extra answers late")
    routers = list(site.routers.values())
    status_by_attempt: dict[str, int] = {}

    async def async_send(number: int) -> None:
        attempt, result = await site.async_call(
            routers[number % len(routers)], "/write/swap", 4000
        )
        status_by_attempt[attempt] = result.status

    generator = random.Random(2)
    tasks: list[asyncio.Task[None]] = []
    for number in range(round(SECONDS * REQUESTS_PER_SECOND)):
        tasks.append(asyncio.create_task(async_send(number)))
        await asyncio.sleep(generator.expovariate(REQUESTS_PER_SECOND))
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.5)
    served = sum(status == 200 for status in status_by_attempt.values())
    site.record.write(
        f"{len(status_by_attempt)} sent, {served} served,"
        f" {len(faulty.extras)} late extra answers"
    )
    return broken_rules(site, status_by_attempt)


def broken_rules(site: Site, status_by_attempt: dict[str, int]) -> str:
    """Compare the answers with the runs."""
    runs = Counter(
        request.attempt
        for runner in site.runners.values()
        for request in runner.runs
    )
    denied = [
        attempt
        for attempt, status in status_by_attempt.items()
        if status in (408, 421, 429, 503) and runs[attempt]
    ]
    twice = [attempt for attempt, count in runs.items() if count > 1]
    for attempt in denied:
        site.record.write(
            f"{attempt} was answered {status_by_attempt[attempt]} and has run"
        )
    for attempt in twice:
        site.record.write(f"{attempt} has run {runs[attempt]} times")
    if denied:
        return f"REFUSED: {len(denied)} answered as not run have run"
    if twice:
        return f"TWICE: {len(twice)} have run more than once"
    return ""


if __name__ == "__main__":
    run_case(Path(__file__).parent, async_case)
