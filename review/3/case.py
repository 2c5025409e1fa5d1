"""A failed continuation is written into the middle of a stream."""

import asyncio
import random
from pathlib import Path

from rig import (
    HAS_TROUBLE,
    NO_ANSWER_BYTES,
    Request,
    Result,
    Runner,
    Site,
    response,
    run_case,
)

STREAMS = 600
STREAMS_PER_SECOND = 20.0
RUNNERS = 7
# srv_grey: a share of 0.15 of the runners (one of seven) fails x (0.4 at most)
# of its requests.
FAILED_SHARE = 0.4
FAILED_STATUS = 400
# A sound runner may fall silent for a second or so and go on.
SILENT_SHARE = 0.25
SILENT_SECONDS = 1.4
SILENT_AFTER = 5


class Answers:
    """Answers of the runners."""

    def __init__(self) -> None:
        self._random = random.Random(1)
        self.failed: list[str] = []

    async def answer(
        self, runner: Runner, request: Request, writer: asyncio.StreamWriter
    ) -> bool | None:
        """Fail a request, or answer it with a silence now and then."""
        if (
            HAS_TROUBLE
            and runner.name == "models-6"
            and self._random.random() < FAILED_SHARE
        ):
            runner.record_run(request)
            self.failed.append(request.attempt)
            writer.write(response(FAILED_STATUS, runner.head(request), b"bad"))
            return True
        is_silent = (
            "last-event-id" not in request.headers
            and self._random.random() < SILENT_SHARE
        )
        runner.record_run(request)
        await runner.async_stream(
            request,
            writer,
            silence=(SILENT_AFTER, SILENT_SECONDS) if is_silent else None,
        )
        return True


async def async_case(site: Site) -> str:
    """Send streams and check what the requesters get."""
    await site.async_start(routers=2, runners={"plain": 1, "models": RUNNERS})
    answers = Answers()
    for runner in site.runners.values():
        if runner.service == "models":
            runner.answer = answers.answer
            runner.events = 30
            runner.event_seconds = 0.03
    routers = list(site.routers.values())
    results: dict[str, Result] = {}

    async def async_send(number: int) -> None:
        attempt, result = await site.async_call(
            routers[number % len(routers)],
            "/stream/draft",
            10_000,
            X_Model="m",
            X_Token_Counts="200,60",
            X_Prompt_Prefix=f"{number % 20 + 1:x}:100,{number + 1000:x}:100",
        )
        results[attempt] = result

    generator = random.Random(2)
    tasks: list[asyncio.Task[None]] = []
    for number in range(STREAMS):
        tasks.append(asyncio.create_task(async_send(number)))
        await asyncio.sleep(generator.expovariate(STREAMS_PER_SECOND))
    await asyncio.gather(*tasks)
    mixed = [
        attempt
        for attempt, result in results.items()
        if result.problem.startswith(NO_ANSWER_BYTES)
    ]
    complete = sum(
        result.is_complete and result.status == 200
        for result in results.values()
    )
    site.record.write(
        f"{len(results)} streams sent, {complete} complete,"
        f" {len(answers.failed)} requests failed by the runner in trouble"
    )
    for attempt in mixed:
        site.record.write(f"{attempt}: {results[attempt].problem}")
    if mixed:
        return f"MIXED: {len(mixed)} streams with bytes that are no answer"
    return ""


if __name__ == "__main__":
    run_case(Path(__file__).parent, async_case)
