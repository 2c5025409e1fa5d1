"""Load generator that sends requests to routers and checks the responses."""

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from lacewingspar_standins.http_client import ClientError, ConnectionPool
from lacewingspar_standins.load_check import (
    ErrorBody,
    ErrorEventError,
    WrongResponseError,
)
from lacewingspar_standins.load_exchange import Exchange, RefusedError
from lacewingspar_standins.load_options import (
    LoadOptions,
    PlannedRequest,
    WorkspaceLoad,
    plan_request,
)
from lacewingspar_standins.load_result import (
    LoadResult,
    Recorder,
    WorkspaceRecorder,
)

OUTCOME_OK = "ok"
OUTCOME_TIMEOUT = "timeout"
OUTCOME_NOT_SENT = "not_sent"
RUN_NOT_RUN = "not_run"
BROKEN_OUTCOMES = frozenset({"no_answer", "broken"})
BROKEN_RETRY_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class _AttemptResult:
    """Result of one attempt.

    Attributes:
        outcome: Outcome under which the attempt is counted.
        retry_after_seconds: Time to wait before the next attempt.
        may_repeat: Whether the request may be sent again without the risk of
            a second run.
    """

    outcome: str
    retry_after_seconds: float = 0.0
    may_repeat: bool = False


class LoadGenerator:
    """One run of the load generator.

    Args:
        options: Options of the run.
        read_addresses: Returns the addresses of the routers that accept
            requests now, like a load balancer; None uses those of the
            options.
    """

    def __init__(
        self,
        options: LoadOptions,
        read_addresses: Callable[[], Sequence[str]] | None = None,
    ) -> None:
        self._options = options
        self._read_addresses = read_addresses or (lambda: options.addresses)
        self._pool = ConnectionPool()
        self._recorder = Recorder(tuple(w.name for w in options.workspaces))
        self._address_draw = random.Random(options.seed)
        self._ends_at = 0.0
        self._stopped = asyncio.Event()
        self._in_flight = 0

    async def run(self) -> LoadResult:
        """Send all requests and return the result."""
        started_at = time.monotonic()
        self._ends_at = started_at + self._options.max_seconds
        self._recorder.start_gap()
        try:
            async with asyncio.TaskGroup() as group:
                for workspace in self._options.workspaces:
                    group.create_task(self._run_workspace(workspace))
        finally:
            self._pool.close()
        self._recorder.update_longest_gap()
        return self._recorder.result(time.monotonic() - started_at)

    def stop(self) -> None:
        """Stop starting requests; requests in flight continue."""
        self._ends_at = time.monotonic()
        self._stopped.set()

    async def _wait_until_end(self, seconds: float) -> None:
        """Wait for a time or until the run ends, whichever comes first."""
        remaining = max(0.0, self._ends_at - time.monotonic())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(seconds, remaining)):
                await self._stopped.wait()

    async def _run_workspace(self, workspace: WorkspaceLoad) -> None:
        numbers = iter(range(self._options.max_requests))
        async with asyncio.TaskGroup() as group:
            for _ in range(workspace.concurrency):
                group.create_task(self._run_client(workspace, numbers))
            if workspace.rate > 0:
                group.create_task(self._run_open_loop(workspace, numbers))

    async def _run_client(
        self, workspace: WorkspaceLoad, numbers: Iterator[int]
    ) -> None:
        for number in numbers:
            now = time.monotonic()
            if now >= self._ends_at:
                return
            await self._run_request(workspace, number, now)

    async def _run_open_loop(
        self, workspace: WorkspaceLoad, numbers: Iterator[int]
    ) -> None:
        draw = random.Random(f"{workspace.name}/{self._options.seed}")
        due_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for number in numbers:
                due_at += draw.expovariate(workspace.rate)
                if due_at >= self._ends_at:
                    return
                await asyncio.sleep(max(0.0, due_at - time.monotonic()))
                if self._in_flight >= self._options.max_in_flight:
                    recorder = self._recorder.by_workspace[workspace.name]
                    recorder.finals[OUTCOME_NOT_SENT] += 1
                    continue
                group.create_task(self._run_request(workspace, number, due_at))

    async def _run_request(
        self, workspace: WorkspaceLoad, number: int, started_at: float
    ) -> None:
        planned = plan_request(self._options, workspace, number)
        recorder = self._recorder.by_workspace[workspace.name]
        self._in_flight += 1
        attempt = _AttemptResult(OUTCOME_NOT_SENT)
        for _ in range(self._options.max_attempts):
            address = self._address_draw.choice(self._read_addresses())
            attempt = await self._attempt(
                planned, workspace, started_at, address
            )
            recorder.attempts[attempt.outcome] += 1
            self._recorder.attempts_by_address[address][attempt.outcome] += 1
            await self._wait_until_end(attempt.retry_after_seconds)
            if not attempt.may_repeat or time.monotonic() >= self._ends_at:
                break
        self._in_flight -= 1
        recorder.finals[attempt.outcome] += 1
        if attempt.outcome == OUTCOME_OK:
            recorder.record_latency(time.monotonic() - started_at)

    async def _attempt(
        self,
        planned: PlannedRequest,
        workspace: WorkspaceLoad,
        started_at: float,
        address: str,
    ) -> _AttemptResult:
        """Send a request once."""
        recorder = self._recorder.by_workspace[workspace.name]
        exchange = Exchange(
            planned, workspace.token, address, started_at, recorder
        )
        try:
            async with asyncio.timeout(self._options.timeout_seconds):
                request_id = await exchange.run(self._pool)
        except TimeoutError:
            return _AttemptResult(
                OUTCOME_TIMEOUT, may_repeat=planned.key is not None
            )
        except RefusedError as refusal:
            self._record_error(recorder, refusal.error)
            is_repeatable = refusal.error.run == RUN_NOT_RUN
            return _AttemptResult(
                refusal.outcome,
                refusal.retry_after_seconds,
                is_repeatable or planned.key is not None,
            )
        except ErrorEventError as event:
            self._record_error(recorder, event.error)
            return _AttemptResult(event.outcome)
        except WrongResponseError as problem:
            self._recorder.record_problem(f"{planned.marker}: {problem}")
            return _AttemptResult(problem.outcome)
        except ClientError as failure:
            if failure.outcome in BROKEN_OUTCOMES:
                self._recorder.record_broken(
                    address, failure.outcome, planned.marker
                )
            return _AttemptResult(
                failure.outcome, BROKEN_RETRY_SECONDS, planned.key is not None
            )
        self._recorder.record_answered(request_id)
        if planned.key is not None:
            self._recorder.answered_keys.append(planned.key)
        return _AttemptResult(OUTCOME_OK)

    def _record_error(
        self, recorder: WorkspaceRecorder, error: ErrorBody
    ) -> None:
        recorder.runs[error.run] += 1
        if error.run == RUN_NOT_RUN:
            self._recorder.record_not_run(error.request_id)


async def run_load(
    options: LoadOptions,
    read_addresses: Callable[[], Sequence[str]] | None = None,
) -> LoadResult:
    """Run the load generator and return its result."""
    return await LoadGenerator(options, read_addresses).run()


async def run_load_until_signal(options: LoadOptions) -> LoadResult:
    """Run the load generator until it ends or SIGTERM arrives."""
    generator = LoadGenerator(options)
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, generator.stop
    )
    return await generator.run()
