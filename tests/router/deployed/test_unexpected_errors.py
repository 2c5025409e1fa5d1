"""Tests of requests whose handling raises an error that nobody expects."""

from typing import Any

import pytest
import structlog
from tests.router.connections import async_open_connection
from tests.router.deployed.conftest import (
    Deployment,
    ReceivedResponse,
    receive,
)

from lacewingspar_router.components.forwarding.acceptance import (
    RequestAcceptor,
)
from lacewingspar_router.components.forwarding.crash_guard import CrashGuard
from lacewingspar_router.components.forwarding.sending import UpstreamSender
from lacewingspar_router.platform.wire_format import PlatformWireFormat
from lacewingspar_standins.deployed.documents import request_bytes


def explode(*_: Any, **__: Any) -> Any:
    raise RuntimeError("exploded")


@pytest.mark.parametrize(
    ("owner", "method"),
    [
        (PlatformWireFormat, "parse_metadata"),
        (RequestAcceptor, "accept"),
        (CrashGuard, "check"),
        (UpstreamSender, "async_send"),
    ],
)
async def test_unexpected_error_ends_one_request_with_a_code(
    served: Deployment,
    monkeypatch: pytest.MonkeyPatch,
    owner: type,
    method: str,
) -> None:
    """Guards against an empty 500 and a log line that names no request."""
    caller = await served.add_router()
    connection = await async_open_connection(caller.address)
    with (
        monkeypatch.context() as patch,
        structlog.testing.capture_logs() as lines,
    ):
        patch.setattr(owner, method, explode)
        connection.send(request_bytes("/read/x?y", "a-failed", 3000))
        failed = await receive(connection, ReceivedResponse())
    connection.send(request_bytes("/read/x", "a-next", 3000, method="GET"))
    following = await receive(connection, ReceivedResponse())
    connection.abort()
    assert (failed.status, following.status) == (500, 200)
    assert failed.body.startswith(b"internal_error: ")
    assert failed.headers["x-attempt-id"] == "a-failed"
    (line,) = [
        item for item in lines if item["event"] == "request failed unexpectedly"
    ]
    assert line["request_id"] == "a-failed"
    assert (line["method"], line["path"]) == ("POST", "/read/x")
    ends = [item for item in lines if item["event"] == "request ended"]
    assert {item["outcome"] for item in ends} <= {"internal_error"}
