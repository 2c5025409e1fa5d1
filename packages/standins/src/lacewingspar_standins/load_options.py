"""Options of the load generator and the requests planned from them."""

import math
import random
from dataclasses import dataclass

import msgspec

from lacewingspar_standins.chat import ChatMessage, ChatRequest


class WorkspaceLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load of one workspace.

    Attributes:
        name: Name of the workspace.
        token: Bearer token of the workspace.
        rate: Mean rate of Poisson arrivals (open loop) per second; 0 for
            none.
        concurrency: Number of clients that each send one request at a time
            (closed loop); 0 for none.
        request_class: Value of `X-Request-Class`, or None.
    """

    name: str
    token: str
    rate: float = 0
    concurrency: int = 0
    request_class: str | None = None


class LoadOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of a run.

    Attributes:
        addresses: Routers as `host:port`; each request picks one at random.
        workspaces: Load by workspace.
        seed: Seed of all random numbers.
        max_requests: Maximum number of requests of each workspace.
        max_seconds: Time after which no further request is started.
        timeout_seconds: Timeout of an attempt.
        max_attempts: Maximum number of attempts of a request.
        max_in_flight: Limit of requests in flight; open-loop requests beyond
            it are counted as `not_sent`.
        chat_share: Share of chat requests; the others are plain calls.
        stream_share: Share of streams among the chat requests.
        keyed_share: Share of plain calls with `Idempotency-Key`.
        model: Model of chat requests.
        plain_path: Path of plain calls.
        prompt_words: Number of words of a prompt.
        shared_words: Number of leading words that all prompts of a workspace
            share.
        median_tokens: Median of the lognormally distributed number of tokens.
        sigma: Standard deviation of the logarithm of that number.
        work_ms: Mean of the exponentially distributed work time of plain
            calls.
        sends_request_id: Whether to send `X-Request-Id` and expect it in the
            response, for runs against stand-ins without a router.
    """

    addresses: tuple[str, ...]
    workspaces: tuple[WorkspaceLoad, ...]
    seed: int = 1
    max_requests: int = 1000
    max_seconds: float = 10
    timeout_seconds: float = 60
    max_attempts: int = 5
    max_in_flight: int = 4096
    chat_share: float = 1.0
    stream_share: float = 0.5
    keyed_share: float = 0.0
    model: str = "model"
    plain_path: str = "/services/plain/work"
    prompt_words: int = 64
    shared_words: int = 32
    median_tokens: float = 32
    sigma: float = 0.5
    work_ms: float = 20
    sends_request_id: bool = False


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request to send.

    Attributes:
        marker: Text that identifies the request in its response.
        path: Path of the request.
        headers: Headers without the bearer token.
        body: Body of the request.
        tokens: Expected number of tokens, or 0 for plain calls.
        is_stream: Whether the response is a stream.
        key: Idempotency key, or None.
    """

    marker: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int = 0
    is_stream: bool = False
    key: str | None = None


def plan_request(
    options: LoadOptions, workspace: WorkspaceLoad, number: int
) -> PlannedRequest:
    """Return a request of a workspace; equal arguments give equal requests."""
    marker = f"{workspace.name}.{options.seed}.{number}"
    draw = random.Random(marker)
    headers = {"content-type": "application/json"}
    if workspace.request_class is not None:
        headers["x-request-class"] = workspace.request_class
    if options.sends_request_id:
        headers["x-request-id"] = marker
    if draw.random() < options.chat_share:
        return _plan_chat(options, workspace, marker, headers, draw)
    return _plan_call(options, marker, headers, draw)


def _plan_chat(
    options: LoadOptions,
    workspace: WorkspaceLoad,
    marker: str,
    headers: dict[str, str],
    draw: random.Random,
) -> PlannedRequest:
    is_stream = draw.random() < options.stream_share
    drawn = draw.lognormvariate(math.log(options.median_tokens), options.sigma)
    tokens = max(1, round(drawn))
    shared = [f"{workspace.name}{n}" for n in range(options.shared_words)]
    own_count = max(0, options.prompt_words - options.shared_words)
    own = [f"w{draw.randrange(10_000)}" for _ in range(own_count)]
    chat = ChatRequest(
        model=options.model,
        messages=(
            ChatMessage("system", " ".join(shared)),
            ChatMessage("user", " ".join([*own, f"marker={marker}"])),
        ),
        stream=is_stream,
        max_tokens=tokens,
    )
    return PlannedRequest(
        marker=marker,
        path="/v1/chat/completions",
        headers=headers,
        body=msgspec.json.encode(chat),
        tokens=tokens,
        is_stream=is_stream,
    )


def _plan_call(
    options: LoadOptions,
    marker: str,
    headers: dict[str, str],
    draw: random.Random,
) -> PlannedRequest:
    work_ms = draw.expovariate(1) * options.work_ms
    headers = {**headers, "x-work-ms": f"{work_ms:.3f}"}
    key = None
    if draw.random() < options.keyed_share:
        key = f"key-{marker}"
        headers["idempotency-key"] = key
    return PlannedRequest(
        marker=marker,
        path=options.plain_path,
        headers=headers,
        body=msgspec.json.encode({"marker": marker}),
        key=key,
    )
