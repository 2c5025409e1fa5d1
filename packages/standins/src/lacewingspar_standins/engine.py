"""Stand-in for a model engine with an OpenAI-style interface."""

import asyncio
import os
import uuid
from dataclasses import dataclass

from lacewingspar_standins.accounts import account_of
from lacewingspar_standins.asgi import BadRequestError, Request, decode_json
from lacewingspar_standins.batching import Batch, Generation
from lacewingspar_standins.chat import (
    END_OF_STREAM,
    ChatRequest,
    ResponseFormat,
    draw_token_count,
    usage,
)
from lacewingspar_standins.engine_options import (
    EngineFaults,
    EngineOptions,
    EngineStats,
)
from lacewingspar_standins.faults import StandIn
from lacewingspar_standins.prefix_cache import PrefixCache
from lacewingspar_standins.run_journal import RecordedRun, RunJournal

CRASH_STATUS = 3
MAX_TOKENS = 1_000_000
WRONG_ID = "id-of-another-request"
HEADER_REQUEST_ID = "x-request-id"


@dataclass(eq=False, slots=True)
class _Call:
    """A chat request in flight."""

    request: Request
    chat: ChatRequest
    request_id: str
    generation: Generation
    closed: asyncio.Task[None]
    is_silent: bool = False


class Engine(StandIn[EngineFaults]):
    """HTTP interface of the engine."""

    def __init__(self, options: EngineOptions, faults: EngineFaults) -> None:
        super().__init__(faults)
        self._options = options
        self._cache = PrefixCache(options.cache)
        self._batch = Batch(options.batch, self._cache, self._record_start)
        self._call_by_generation: dict[Generation, _Call] = {}
        self._leave_at: float | None = None
        self.stats = EngineStats()
        self._journal = RunJournal(options.runs_file)
        for run in self._journal.read():
            self.stats.runs_by_request_id[run.request_id or ""] += 1

    def faults_changed(self) -> None:
        """Silence the requests in flight and track when `leave` was set."""
        if self.faults.silent:
            self.faults.silent = False
            for call in self._call_by_generation.values():
                call.is_silent = True
        if not self.faults.leave:
            self._leave_at = None
        elif self._leave_at is None:
            self._leave_at = asyncio.get_running_loop().time()

    async def handle(self, request: Request) -> None:
        """Respond to a request."""
        match request.method, request.path:
            case "POST", "/v1/chat/completions":
                await self._chat(request)
            case "GET", "/v1/models":
                await request.reply(200, self._models())
            case "GET", "/load":
                await request.reply(200, self._batch.load())
            case "GET", "/health":
                await self._health(request)
            case "GET", "/cache_events":
                start = request.query_int("from", 0)
                await request.reply(200, self._cache.events_from(start))
            case "GET", "/accounts":
                await request.reply(200, self._batch.accounts.as_json())
            case "GET", "/stats":
                self.stats.slot_seconds = self._batch.slot_seconds
                await request.reply(200, self.stats)
            case _:
                await request.reply(404, {"error": "no such resource"})

    def _models(self) -> dict[str, object]:
        models = [{"id": m, "object": "model"} for m in self._options.models]
        return {"object": "list", "data": models}

    async def _health(self, request: Request) -> None:
        if self.faults.refuse or self.faults.leave:
            status = "leaving" if self.faults.leave else "failing"
            await request.reply(503, {"status": status})
            return
        await request.reply(200, {"status": "ok"})

    async def _chat(self, request: Request) -> None:
        chat = decode_json(await request.body(), ChatRequest)
        self._count_arrival()
        if self.faults.refuse:
            await request.reply(503, {"error": "engine refuses requests"})
            return
        if chat.model not in self._options.models:
            await request.reply(404, {"error": f"no model {chat.model!r}"})
            return
        call = self._new_call(request, chat)
        call.closed.add_done_callback(lambda _: self._finish(call))
        try:
            self._call_by_generation[call.generation] = call
            self._batch.submit(call.generation)
            await (
                self._respond_stream(call)
                if chat.stream
                else self._respond_whole(call)
            )
            if call.is_silent:
                await call.closed
        finally:
            self._finish(call)
            call.closed.cancel()

    def _new_call(self, request: Request, chat: ChatRequest) -> _Call:
        count = chat.max_tokens
        if count is None:
            count = draw_token_count(
                self._options.seed,
                chat.marker(),
                self._options.median_tokens,
                self._options.sigma,
            )
        if not 1 <= count <= MAX_TOKENS or not 0 <= chat.resume_from < count:
            raise BadRequestError("max_tokens or resume_from is out of range")
        return _Call(
            request=request,
            chat=chat,
            request_id=request.headers.get(HEADER_REQUEST_ID, uuid.uuid4().hex),
            generation=Generation(
                chat.words(),
                chat.resume_from,
                count,
                account_of(chat.marker()),
            ),
            closed=asyncio.create_task(request.wait_closed()),
        )

    def _record_start(self, generation: Generation) -> None:
        call = self._call_by_generation[generation]
        crash_marker = self.faults.crash_marker
        if crash_marker and any(
            crash_marker in message.content for message in call.chat.messages
        ):
            os._exit(CRASH_STATUS)
        self._journal.append(RecordedRun(request_id=call.request_id))
        self.stats.started += 1
        self.stats.runs_by_request_id[call.request_id] += 1

    def _finish(self, call: _Call) -> None:
        if self._call_by_generation.pop(call.generation, None) is None:
            return
        generation = call.generation
        self._batch.cancel(generation)
        self.stats.cancelled += generation.is_cancelled
        self.stats.finished += generation.is_finished
        self.stats.tokens += generation.produced - generation.first_token
        self.stats.cached_tokens += generation.cached_words

    def _count_arrival(self) -> None:
        self.stats.arrived += 1
        if self._leave_at is not None:
            now = asyncio.get_running_loop().time()
            self.stats.arrived_after_leave += 1
            self.stats.last_arrival_after_leave_seconds = now - self._leave_at

    def _response_id(self, call: _Call) -> str:
        if self.faults.wrong_id <= 0:
            return call.request_id
        self.faults.wrong_id -= 1
        return WRONG_ID

    async def _respond_whole(self, call: _Call) -> None:
        generation = call.generation
        await generation.wait_beyond(generation.token_count - 1)
        if generation.is_cancelled or call.is_silent:
            return
        response_id = self._response_id(call)
        response_format = ResponseFormat(
            response_id, call.chat.model, call.chat.marker()
        )
        value = response_format.whole(
            generation.first_token, generation.token_count, _usage(generation)
        )
        await call.request.reply(
            200, value, ((HEADER_REQUEST_ID, response_id),)
        )

    async def _respond_stream(self, call: _Call) -> None:
        generation = call.generation
        response_id = self._response_id(call)
        response_format = ResponseFormat(
            response_id, call.chat.model, call.chat.marker()
        )
        sent = generation.first_token
        await generation.wait_beyond(sent)
        while not (generation.is_cancelled or call.is_silent):
            if not call.request.started:
                await call.request.start_events(
                    ((HEADER_REQUEST_ID, response_id),)
                )
            end = self._send_limit(generation)
            events = response_format.token_events(sent, end)
            sent = end
            is_last = sent >= generation.token_count
            if is_last:
                events += [
                    response_format.last_event(_usage(generation)),
                    END_OF_STREAM,
                ]
            await call.request.write(b"".join(events), more=not is_last)
            if is_last:
                return
            if sent < generation.produced:
                await call.request.abort()
                return
            await generation.wait_beyond(sent)

    def _send_limit(self, generation: Generation) -> int:
        """Return the index of the first token that must not be sent yet."""
        if self.faults.cut_after is None:
            return generation.produced
        cut_at = generation.first_token + self.faults.cut_after
        return min(generation.produced, cut_at)


def _usage(generation: Generation) -> dict[str, object]:
    return usage(
        len(generation.words), generation.cached_words, generation.token_count
    )
