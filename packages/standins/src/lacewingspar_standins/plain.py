"""Stand-in for a plain service that counts how often each call runs."""

import asyncio
import hashlib
import os
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from lacewingspar_core.platform import LoadReport
from lacewingspar_standins.accounts import SlotAccounts, account_of
from lacewingspar_standins.asgi import BadRequestError, Request
from lacewingspar_standins.faults import Faults, StandIn
from lacewingspar_standins.lagged import Lagged
from lacewingspar_standins.run_journal import RecordedRun, RunJournal

CRASH_STATUS = 3
HEADER_REQUEST_ID = "x-request-id"
HEADER_KEY = "idempotency-key"
HEADER_WORK_MS = "x-work-ms"


class PlainFaults(Faults):
    """Faults of the plain service.

    Attributes:
        refuse: Respond to new calls with 503 without running them.
        silent: Setting it to true silences the calls in flight. Later calls
            work, so it always reads as false.
        crash_marker: Text in a body that ends the process when the call
            starts to run.
        lose_replies: Number of next calls that run but whose connection is
            closed without a reply.
        delay_ms: Delay between the end of the work and the reply.
    """

    refuse: bool = False
    silent: bool = False
    crash_marker: str | None = None
    lose_replies: int = 0
    delay_ms: float = 0


@dataclass(frozen=True, slots=True)
class PlainOptions:
    """Options of the plain service.

    Attributes:
        slots: Maximum number of calls that run at the same time.
        work_seconds: Duration of a call without `X-Work-Ms`.
        load_lag_seconds: Age of load reports.
        runs_file: File that preserves the runs across restarts, or None.
    """

    slots: int = 8
    work_seconds: float = 0.02
    load_lag_seconds: float = 0.2
    runs_file: Path | None = None


class _MarkedBody(msgspec.Struct, frozen=True):
    """Body of a plain call of the load generator."""

    marker: str


@dataclass(slots=True)
class Runs:
    """Number of runs by key, digest and request id.

    Attributes:
        arrived: Calls received by this process, including those that did not
            run.
        total: Number of runs.
        by_key: Runs by idempotency key.
        by_digest: Runs by digest of the body.
        by_request_id: Runs by request id.
    """

    arrived: int = 0
    total: int = 0
    by_key: Counter[str] = field(default_factory=Counter)
    by_digest: Counter[str] = field(default_factory=Counter)
    by_request_id: Counter[str] = field(default_factory=Counter)

    def add(self, run: RecordedRun) -> None:
        """Count a run."""
        self.total += 1
        self.by_digest[run.digest] += 1
        if run.key is not None:
            self.by_key[run.key] += 1
        if run.request_id is not None:
            self.by_request_id[run.request_id] += 1


class PlainService(StandIn[PlainFaults]):
    """HTTP interface of the plain service.

    Args:
        options: Options.
        faults: Faults from the start.
        work: Performs the work of a call, given its duration in seconds.
    """

    def __init__(
        self,
        options: PlainOptions,
        faults: PlainFaults,
        work: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        super().__init__(faults)
        self._options = options
        self._work = work
        self._slots = asyncio.Semaphore(options.slots)
        self._running = 0
        self._waiting = 0
        self._load = Lagged((0, 0), options.load_lag_seconds)
        self._silence_count = 0
        self._journal = RunJournal(options.runs_file)
        self.runs = Runs()
        for run in self._journal.read():
            self.runs.add(run)
        self.accounts = SlotAccounts()

    def faults_changed(self) -> None:
        """Silence the calls in flight."""
        if self.faults.silent:
            self.faults.silent = False
            self._silence_count += 1

    async def handle(self, request: Request) -> None:
        """Respond to a call."""
        match request.method, request.path:
            case "GET", "/_runs":
                await request.reply(200, self.runs)
            case "GET", "/accounts":
                await request.reply(200, self.accounts.as_json())
            case "GET", "/load":
                await request.reply(200, self._load_report())
            case "GET", "/health":
                status = 503 if self.faults.refuse else 200
                await request.reply(status, {"status": status})
            case _:
                await self._call(request)

    def _load_report(self) -> LoadReport:
        running, waiting = self._load.get()
        age_ms = round(self._options.load_lag_seconds * 1000)
        return LoadReport(running, waiting, age_ms)

    async def _call(self, request: Request) -> None:
        silence_count = self._silence_count
        self.runs.arrived += 1
        body = await request.body()
        work_seconds = self._work_seconds(request)
        if self.faults.refuse:
            await request.reply(503, {"error": "service refuses calls"})
            return
        closed = asyncio.create_task(request.wait_closed())
        try:
            run = await self._run(request, body, work_seconds, closed)
            if run is None:
                return
            await asyncio.sleep(self.faults.delay_ms / 1000)
            if silence_count != self._silence_count:
                await closed
                return
        finally:
            closed.cancel()
        await self._reply(request, body, run)

    def _work_seconds(self, request: Request) -> float:
        text = request.headers.get(HEADER_WORK_MS)
        if text is None:
            return self._options.work_seconds
        try:
            return max(0.0, float(text) / 1000)
        except ValueError as error:
            raise BadRequestError("X-Work-Ms must be a number") from error

    async def _run(
        self,
        request: Request,
        body: bytes,
        work_seconds: float,
        closed: asyncio.Task[None],
    ) -> int | None:
        """Run a call and return its number, or None if it did not run."""
        self._change_load(0, 1)
        try:
            await self._slots.acquire()
        finally:
            self._change_load(0, -1)
        try:
            # Skip a call whose client disconnected while it waited. A running
            # call is not interrupted.
            if closed.done():
                return None
            number = self._count_run(request, body)
            await self._occupy_slot(body, work_seconds)
            return number
        finally:
            self._slots.release()

    async def _occupy_slot(self, body: bytes, work_seconds: float) -> None:
        """Perform the work and charge its duration to the account."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._change_load(1, 0)
        try:
            await self._work(work_seconds)
        finally:
            self._change_load(-1, 0)
            self.accounts.add(_account(body), loop.time() - started_at)

    def _count_run(self, request: Request, body: bytes) -> int:
        marker = self.faults.crash_marker
        if marker and marker.encode() in body:
            os._exit(CRASH_STATUS)
        run = RecordedRun(
            digest=_digest(body),
            key=request.headers.get(HEADER_KEY),
            request_id=request.headers.get(HEADER_REQUEST_ID),
        )
        self._journal.append(run)
        self.runs.add(run)
        return self.runs.total

    def _change_load(self, running: int, waiting: int) -> None:
        self._running += running
        self._waiting += waiting
        self._load.set((self._running, self._waiting))

    async def _reply(self, request: Request, body: bytes, run: int) -> None:
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            await request.abort()
            return
        value = {
            "method": request.method,
            "path": request.path,
            "digest": _digest(body),
            "run": run,
            "finished_at_ms": time.time_ns() // 1_000_000,
        }
        request_id = request.headers.get(HEADER_REQUEST_ID)
        headers = ((HEADER_REQUEST_ID, request_id),) if request_id else ()
        await request.reply(200, value, headers)


def _account(body: bytes) -> str:
    """Return the account named by the marker in a body, or ""."""
    try:
        return account_of(msgspec.json.decode(body, type=_MarkedBody).marker)
    except msgspec.MsgspecError:
        return ""


def _digest(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()
