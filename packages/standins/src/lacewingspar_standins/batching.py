"""Continuous batching of the engine stand-in."""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from lacewingspar_core.platform import LoadReport
from lacewingspar_standins.accounts import SlotAccounts
from lacewingspar_standins.lagged import Lagged
from lacewingspar_standins.prefix_cache import PrefixCache


@dataclass(frozen=True, slots=True)
class BatchOptions:
    """Options of continuous batching.

    Attributes:
        slots: Maximum number of requests that generate at the same time.
        step_seconds: Duration of a step, which adds one token to each running
            request.
        prompt_token_seconds: Prefill time of a prompt token that is not in
            the prefix cache.
        load_lag_seconds: Age of load reports.
    """

    slots: int = 16
    step_seconds: float = 0.01
    prompt_token_seconds: float = 0.0002
    load_lag_seconds: float = 0.2


class Generation:
    """Progress of one request of the batch.

    Args:
        words: Words of the prompt, which stand for its tokens.
        first_token: Index of the first token to generate.
        token_count: Number of tokens of the whole response.
        account: Account to which the slot time is charged.
    """

    def __init__(
        self,
        words: Sequence[str],
        first_token: int,
        token_count: int,
        account: str = "",
    ) -> None:
        self.account = account
        self.words = words
        self.first_token = first_token
        self.token_count = token_count
        self.produced = first_token
        self.cached_words = 0
        self.ready_at = 0.0
        self.is_cancelled = False
        self._changed = asyncio.Event()

    @property
    def is_finished(self) -> bool:
        """Return whether all tokens have been generated."""
        return self.produced >= self.token_count

    async def wait_beyond(self, sent: int) -> None:
        """Wait until more than `sent` tokens exist or generation ends."""
        while self.produced <= sent and not (
            self.is_finished or self.is_cancelled
        ):
            await self._changed.wait()
            self._changed.clear()

    def wake(self) -> None:
        """Wake the task that waits for tokens."""
        self._changed.set()


class Batch:
    """Running and waiting requests, in order of admission.

    Args:
        options: Options of continuous batching.
        cache: Prefix cache.
        on_start: Called with each request when it gets a slot.
    """

    def __init__(
        self,
        options: BatchOptions,
        cache: PrefixCache,
        on_start: Callable[[Generation], None],
    ) -> None:
        self._options = options
        self._cache = cache
        self._on_start = on_start
        self._running: dict[Generation, None] = {}
        self._waiting: deque[Generation] = deque()
        self._task: asyncio.Task[None] | None = None
        self._load: Lagged[tuple[int, int]] = Lagged(
            (0, 0), options.load_lag_seconds
        )
        self.slot_seconds = 0.0
        self.accounts = SlotAccounts()

    def submit(self, generation: Generation) -> None:
        """Start a request or queue it until a slot is free."""
        self._waiting.append(generation)
        self._start_waiting()
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    def cancel(self, generation: Generation) -> None:
        """Remove a request whose client has disconnected."""
        if generation.is_finished or generation.is_cancelled:
            return
        generation.is_cancelled = True
        if generation in self._running:
            del self._running[generation]
        else:
            self._waiting.remove(generation)
        generation.wake()
        self._start_waiting()

    def load(self) -> LoadReport:
        """Return the load of `load_lag_seconds` ago."""
        running, waiting = self._load.get()
        age_ms = round(self._options.load_lag_seconds * 1000)
        return LoadReport(running, waiting, age_ms)

    def _start_waiting(self) -> None:
        now = asyncio.get_running_loop().time()
        while self._waiting and len(self._running) < self._options.slots:
            generation = self._waiting.popleft()
            self._on_start(generation)
            generation.cached_words = self._cache.use(generation.words)
            # A resumed request also prefills the tokens generated before.
            unprocessed = (
                len(generation.words)
                - generation.cached_words
                + generation.first_token
            )
            prompt_seconds = unprocessed * self._options.prompt_token_seconds
            generation.ready_at = now + prompt_seconds
            self._running[generation] = None
        self._load.set((len(self._running), len(self._waiting)))

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        step_at = last_at = loop.time()
        while self._running:
            # Like a real engine, do not catch up on late steps.
            started_at = max(step_at, loop.time() - self._options.step_seconds)
            step_at = started_at + self._options.step_seconds
            await asyncio.sleep(max(0.0, step_at - loop.time()))
            now = loop.time()
            self._step(now, now - last_at)
            last_at = now

    def _step(self, now: float, elapsed_seconds: float) -> None:
        self.slot_seconds += len(self._running) * elapsed_seconds
        finished: list[Generation] = []
        for generation in self._running:
            self.accounts.add(generation.account, elapsed_seconds)
            if generation.ready_at <= now:
                generation.produced += 1
                generation.wake()
            if generation.is_finished:
                finished.append(generation)
        for generation in finished:
            del self._running[generation]
        if finished:
            self._start_waiting()
