"""Tests of the work that the choice of an upstream takes."""

from typing import Any

import pytest
from tests.core.engine_model import SERVICE, admission, entry

from lacewingspar_core.admission_events import (
    Admission,
    AdmissionDecision,
    Declined,
    Granted,
)
from lacewingspar_core.pool_admission import PoolAdmission
from lacewingspar_core.upstream_load import EngineLoad

ENGINES = 16
PREFILL_TOKENS_PER_SECOND = 80_000.0
# More than half of the maximum prefill backlog of an engine, so that no second
# request of this length fits.
LONG_PROMPT_TOKENS = 6000


def full_pool() -> tuple[PoolAdmission, list[Admission]]:
    """Return a pool in which each engine prefills one long prompt."""
    pool = PoolAdmission("models/0")
    engines = {f"e{number}": entry(f"e{number}") for number in range(ENGINES)}
    pool.set_upstreams(engines, SERVICE, PREFILL_TOKENS_PER_SECOND, 0.0)
    running = [
        admission(number, 0.0, tokens=LONG_PROMPT_TOKENS)
        for number in range(ENGINES)
    ]
    for request in running:
        pool.submit(request, 0.0)
    return pool, running


@pytest.mark.parametrize("waiting", [1, 3])
def test_event_of_one_engine_does_not_assess_all_engines(
    monkeypatch: pytest.MonkeyPatch, waiting: int
) -> None:
    """Guards against a pool owner that can't keep up with the events.

    Load: requests wait while each of 16 engines prefills a long prompt.
    """
    pool, running = full_pool()
    for number in range(waiting):
        request = admission(
            100 + number, 0.0, f"w{number}", tokens=LONG_PROMPT_TOKENS
        )
        pool.submit(request, 0.0)
    assessed = 0
    assess = EngineLoad.assess

    def counted(load: EngineLoad, request: Admission) -> Any:
        nonlocal assessed
        assessed += 1
        return assess(load, request)

    monkeypatch.setattr(EngineLoad, "assess", counted)
    decisions: list[AdmissionDecision] = pool.record_first_chunk(
        running[0].key, 0.01
    )
    assert len(decisions) == 1
    # For each request, before the grant and again after it: the engine that
    # changed and the best engine of the request.
    assert assessed <= 2 * 2 * waiting


@pytest.mark.parametrize(
    ("has_other_pools", "decision"), [(False, Granted), (True, Declined)]
)
def test_pool_without_reachable_upstreams_leaves_requests_to_others(
    has_other_pools: bool, decision: type[AdmissionDecision]
) -> None:
    """Guards against callers that only get the dead engines near them.

    Load: all engines of a data centre have crashed but are still listed.
    """
    pool = PoolAdmission("models/dc/0", has_other_pools=has_other_pools)
    engines = {f"e{number}": entry(f"e{number}") for number in range(2)}
    pool.set_upstreams(engines, SERVICE, PREFILL_TOKENS_PER_SECOND, 0.0)
    for upstream_id in engines:
        pool.record_unreachable(upstream_id, 0.0)
    (answer,) = pool.submit(admission(1, 0.01), 0.01)
    assert isinstance(answer, decision)
    # Later one request tries the engines again.
    (later,) = pool.submit(admission(2, 10.0), 10.0)
    assert isinstance(later, Granted)
