"""Requests of the load generator."""

import msgspec
import pytest

from lacewingspar_standins.load_options import (
    LoadOptions,
    WorkspaceLoad,
    plan_request,
)

WORKSPACE = WorkspaceLoad(name="a", token="t")
OPTIONS = LoadOptions(
    addresses=("127.0.0.1:1",),
    workspaces=(WORKSPACE,),
    chat_share=0.5,
    keyed_share=0.5,
)


def test_requests_depend_only_on_seed_and_number() -> None:
    """Guards against runs that cannot be repeated."""
    first = [plan_request(OPTIONS, WORKSPACE, n) for n in range(50)]
    again = [plan_request(OPTIONS, WORKSPACE, n) for n in reversed(range(50))]
    other_options = msgspec.structs.replace(OPTIONS, seed=2)
    other = [plan_request(other_options, WORKSPACE, n) for n in range(50)]
    assert first == again[::-1]
    assert {r.body for r in first}.isdisjoint(r.body for r in other)


@pytest.mark.parametrize(
    ("chat", "stream", "keyed"), [(0, 0, 0), (0, 0, 1), (1, 0, 0), (1, 1, 0)]
)
def test_shares_choose_the_kind(chat: int, stream: int, keyed: int) -> None:
    options = msgspec.structs.replace(
        OPTIONS, chat_share=chat, stream_share=stream, keyed_share=keyed
    )
    for number in range(20):
        request = plan_request(options, WORKSPACE, number)
        assert (request.tokens > 0) == bool(chat)
        assert request.is_stream == bool(stream)
        assert ("idempotency-key" in request.headers) == bool(keyed)
