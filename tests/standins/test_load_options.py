"""Tests of the requests of the load generator."""

import msgspec

from lacewingspar_standins.load_options import (
    LoadOptions,
    WorkspaceLoad,
    plan_request,
)

WORKSPACE = WorkspaceLoad(name="a", token="t")
OPTIONS = LoadOptions(
    addresses=(), workspaces=(), chat_share=0.5, keyed_share=0.5
)


def test_requests_depend_only_on_seed_and_number() -> None:
    """Guards against runs that are not reproducible."""
    first = [plan_request(OPTIONS, WORKSPACE, n) for n in range(50)]
    again = [plan_request(OPTIONS, WORKSPACE, n) for n in reversed(range(50))]
    other_options = msgspec.structs.replace(OPTIONS, seed=2)
    other = [plan_request(other_options, WORKSPACE, n) for n in range(50)]
    assert first == again[::-1]
    assert {r.body for r in first}.isdisjoint(r.body for r in other)
