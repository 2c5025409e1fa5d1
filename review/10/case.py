"""A sound request is refused beside requests that crash runners."""

import asyncio
import sys
import zlib
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

import load
import rig

FOLDER = Path(__file__).resolve().parent
ZONES = ("hal-a", "hal-b")
RUNNERS = 6
STABLE_WINDOW_S = 3.0
SOUND_PER_S = 1.0
PLAY_S = 89.0
# Requests with the crashing part come from this time on, in this interval.
PARTS_FROM_S = 21.0
PART_GAP_S = 2.0
PARTS = 34
# Then two runners crash, one after the other, each while it runs the popular
# request, and are back after `CRASH_FOR_S`.
CRASHES_AT_S = 28.0
CRASH_FOR_S = 3.8
BESIDE_SOUND_S = 0.05
CRASHING_PART = "badc0de"
SHARED_PART = "5c1e07a2"
# Time until the first event, and until the part crashes the runner.
PREFILL_S = 0.4
PART_PREFILL_S = 0.1
EVENTS = 10
EVENT_S = 0.04
DOWN_S = 2.0
LEAST_REQUESTS = 20


def has_crashing_part(request: rig.Message) -> bool:
    """Return whether a part other than the last crashes runners."""
    text = request.headers.get("x-prompt-prefix", "")
    ids = [item.partition(":")[0] for item in text.split(",")]
    return CRASHING_PART in ids[:-1]


class Pool:
    """The model runners, with their crashes."""

    def __init__(self, store: rig.Store, record: rig.Record) -> None:
        self._store = store
        self._record = record
        self._boots = [0] * RUNNERS
        self._down: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        # The runner that has begun the last sound request.
        self.last_used: rig.Runner | None = None
        self.has_begun = asyncio.Event()
        self.part_crashed_at: list[float] = []
        self.begun_at: dict[str, float] = {}

    async def async_start(self, number: int, port: int = 0) -> None:
        """Start a runner, under a new id."""
        self._boots[number] += 1
        runner = rig.Runner(
            f"lw-{number}-boot-{self._boots[number]}",
            "lw-models",
            self._async_behave,
            self._record,
        )
        runner.zone = ZONES[number % len(ZONES)]
        runner.number = number
        runner.port = port
        await runner.async_listen()
        runner.keep_registered(self._store)

    async def _async_behave(
        self,
        runner: rig.Runner,
        request: rig.Message,
        _reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        attempt = runner.note_run(request)
        if has_crashing_part(request) and rig.with_trouble():
            await asyncio.sleep(PART_PREFILL_S)
            if runner.name not in self._down:
                now = asyncio.get_running_loop().time()
                self.part_crashed_at.append(now)
            self.crash(runner, DOWN_S)
            return False
        self.begun_at[attempt] = asyncio.get_running_loop().time()
        self.last_used = runner
        self.has_begun.set()
        self.has_begun.clear()
        await asyncio.sleep(PREFILL_S)
        lines = [
            "HTTP/1.1 200 OK",
            *runner.head(request),
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(1, EVENTS + 1):
            writer.write(rig.chunk(rig.event(number)))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        return True

    def crash(self, runner: rig.Runner, down_s: float) -> None:
        """Crash a runner; it is back after some time."""
        if runner.name in self._down:
            return
        self._down.add(runner.name)
        self._record(f"{runner.name} crashes")
        runner.crash()
        task = asyncio.create_task(self._async_come_back(runner, down_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_come_back(self, runner: rig.Runner, down_s: float) -> None:
        await asyncio.sleep(down_s)
        await self.async_start(runner.number, runner.port)
        # The old entry goes after three heartbeat intervals of silence.
        await asyncio.sleep(max(0.0, 3 * rig.HEARTBEAT_S - down_s))
        runner.leave(self._store)


def sound_request(attempt: str) -> bytes:
    """Return the popular request: only its id differs."""
    return rig.request(
        "/chat/x",
        attempt,
        10000,
        b'{"ask": "opening hours"}',
        X_Model="m",
        X_Token_Counts="6010,76",
        X_Prompt_Prefix=f"{SHARED_PART}:5382,0a11:628",
    )


def part_request(attempt: str) -> bytes:
    """Return a request with the crashing part; no two are alike."""
    own = f"{zlib.crc32(attempt.encode()):x}:328"
    return rig.request(
        "/chat/x",
        attempt,
        10000,
        attempt.encode(),
        X_Model="m",
        X_Token_Counts="6010,76",
        X_Prompt_Prefix=f"{SHARED_PART}:5382,{CRASHING_PART}:300,{own}",
    )


async def async_run(record: rig.Record, temporary: Path) -> int:
    """Play the case; return 1 if the rule was broken."""
    store = rig.Store()
    await store.async_start()
    chat = rig.route(
        "/chat/", "streaming", "lw-models", timeoutMs=12000, maxAttempts=1
    )
    store.publish(rig.manifest(1, [chat], [rig.engine_service("lw-models")]))
    pool = Pool(store, record)
    for number in range(RUNNERS):
        await pool.async_start(number)
    routers = [
        rig.Router(f"front-{zone}-1", zone, ip, store, temporary)
        for zone, ip in zip(ZONES, rig.own_hosts(len(ZONES)), strict=True)
    ]
    try:
        return await _async_play(record, pool, routers)
    finally:
        for router in routers:
            await router.async_stop()


class Play:
    """Requests and crashes of the case."""

    def __init__(
        self, record: rig.Record, pool: Pool, routers: list[rig.Router]
    ) -> None:
        self._pool = pool
        self._callers = [load.Callers(item.front, record) for item in routers]
        self._others = [load.Callers(item.front, record) for item in routers]
        self.started_at = 0.0
        self.last_part_at = 0.0
        self.sent_at: dict[str, float] = {}

    async def async_run(self) -> None:
        """Send all requests and wait for the answers."""
        self.started_at = asyncio.get_running_loop().time()
        await asyncio.gather(
            self._async_send_parts(),
            self._async_crash_runners(),
            *(self._async_send_sound(item) for item in range(len(ZONES))),
        )
        for caller in self._callers + self._others:
            await caller.async_finish()

    async def _async_send_parts(self) -> None:
        await asyncio.sleep(PARTS_FROM_S)
        for number in range(PARTS):
            attempt = f"part-{number}"
            self._others[number % len(ZONES)].send(
                attempt, part_request(attempt), 8.0
            )
            self.last_part_at = asyncio.get_running_loop().time()
            await asyncio.sleep(PART_GAP_S)

    async def _async_crash_runners(self) -> None:
        await asyncio.sleep(CRASHES_AT_S)
        for _ in range(2 * rig.with_trouble()):
            await self._pool.has_begun.wait()
            await asyncio.sleep(BESIDE_SOUND_S)
            if self._pool.last_used is not None:
                self._pool.crash(self._pool.last_used, CRASH_FOR_S)

    async def _async_send_sound(self, machine: int) -> None:
        """Send the popular request; the machines take turns."""

        def make(number: int) -> tuple[str, bytes]:
            attempt = f"sound-{machine}-{number}"
            self.sent_at[attempt] = asyncio.get_running_loop().time()
            return attempt, sound_request(attempt)

        await asyncio.sleep(machine / SOUND_PER_S)
        await self._callers[machine].async_play(
            SOUND_PER_S / len(ZONES), PLAY_S, make, 10.0
        )


async def _async_play(
    record: rig.Record, pool: Pool, routers: list[rig.Router]
) -> int:
    for router in routers:
        await router.async_start()
    for router in routers:
        await router.async_wait_ready()
    await asyncio.sleep(STABLE_WINDOW_S + 1.0)
    play = Play(record, pool, routers)
    await play.async_run()
    return judge(record, pool, play)


def judge(record: rig.Record, pool: Pool, play: Play) -> int:
    """Return 1 if the rule was broken."""
    crashes = pool.part_crashed_at
    undisturbed_until = play.started_at + PARTS_FROM_S
    judged_from = (
        crashes[:5][-1] + 2 * STABLE_WINDOW_S if crashes else undisturbed_until
    )
    before = [
        item for item, at in play.sent_at.items() if at < undisturbed_until
    ]
    after = [
        item
        for item, at in play.sent_at.items()
        if judged_from <= at <= play.last_part_at
    ]
    share_before = share_begun(before, pool)
    share_after = share_begun(after, pool)
    record.say(
        f"{len(crashes)} crashes by the part; sound requests begun at the "
        f"first attempt: {share_before:.2f} of {len(before)} before, "
        f"{share_after:.2f} of {len(after)} later than "
        f"{2 * STABLE_WINDOW_S} s after the last of them"
    )
    broken = (
        len(before) >= LEAST_REQUESTS
        and len(after) >= LEAST_REQUESTS
        and share_after < share_before / 2
    )
    record.say("rule LOST broken" if broken else "rule LOST held")
    return int(broken)


def share_begun(attempts: list[str], pool: Pool) -> float:
    """Return the share of requests that a runner has begun."""
    begun = sum(attempt in pool.begun_at for attempt in attempts)
    return begun / max(1, len(attempts))


if __name__ == "__main__":
    rig.main(async_run, FOLDER)
