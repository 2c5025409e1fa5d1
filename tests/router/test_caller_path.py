"""Answers on their way through a router."""

from typing import Any

from tests.router.conftest import routed


async def whole_answer(scope: Any, receive: Any, send: Any) -> None:
    await receive()
    request_id = dict(scope["headers"])[b"x-request-id"]
    headers = [(b"x-request-id", request_id), (b"content-length", b"2")]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": b"{}"})


async def test_whole_answer_reaches_the_caller() -> None:
    """Guards against a path that loses answers or slots."""
    async with routed(whole_answer) as router:
        answer = await router.chat()
        print(answer.text, answer.headers, router.scheduler.released)
        assert answer.status_code == 200
