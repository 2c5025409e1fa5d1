"""Copies of prompt parts from upstreams of other pools."""

from dataclasses import replace

import pytest
from tests.core.engine_model import (
    PREFILL_TOKENS_PER_SECOND,
    PROFILE,
    SERVICE,
    admission,
    entry,
)

from lacewingspar_core import prompt_locations
from lacewingspar_core.admission_events import Granted
from lacewingspar_core.pool_admission import PoolAdmission
from lacewingspar_core.prefix_cache import PromptPart
from lacewingspar_core.prompt_locations import PromptLocations
from lacewingspar_core.routing import UpstreamService

PARTS = (PromptPart(1, 500), PromptPart(2, 5000))


def granted(pool: PoolAdmission, number: int, cached_at: str) -> Granted:
    request = admission(number, 0.0, shared=PARTS, cached_at=cached_at)
    (decision,) = pool.submit(request, 0.0)
    assert isinstance(decision, Granted)
    return decision


@pytest.fixture
def pool() -> PoolAdmission:
    pool = PoolAdmission("models/dc-b/0")
    members = {"e1": entry("e1")}
    pool.set_upstreams(members, SERVICE, PREFILL_TOKENS_PER_SECOND, 0.0)
    return pool


@pytest.mark.parametrize(
    ("cached_at", "fetch_from"),
    [
        ("", ""),
        # The owner of the pool knows better what its own upstream holds.
        ("e1", ""),
        ("other-pool", "other-pool"),
    ],
)
def test_prompt_that_moves_to_another_pool_is_copied(
    pool: PoolAdmission, cached_at: str, fetch_from: str
) -> None:
    """Guards against prompts that are prefilled again in each data centre."""
    assert granted(pool, 1, cached_at).fetch_from == fetch_from


def test_prompt_that_the_pool_holds_is_not_copied(pool: PoolAdmission) -> None:
    granted(pool, 1, "other-pool")
    assert granted(pool, 2, "other-pool").fetch_from == ""


def test_last_upstream_is_remembered() -> None:
    locations = PromptLocations()
    assert locations.find(PARTS) == ""
    locations.record(PARTS, "e1")
    locations.record(PARTS, "e2")
    locations.record((), "e3")
    assert locations.find(PARTS) == "e2"
    assert locations.find(()) == ""


def test_number_of_prompts_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(prompt_locations, "MAX_PROMPTS", 2)
    locations = PromptLocations()
    prompts = [(PromptPart(key, 10),) for key in range(3)]
    locations.record(prompts[0], "e0")
    locations.record(prompts[1], "e1")
    locations.record(prompts[0], "e0")
    locations.record(prompts[2], "e2")
    found = [locations.find(parts) for parts in prompts]
    assert found == ["e0", "", "e2"]


# Bytes per second at which a copy within a data centre takes as long as the
# prefill that it saves, with one byte for each token.
BREAK_EVEN_BYTES_PER_SECOND = PREFILL_TOKENS_PER_SECOND


@pytest.mark.parametrize(
    ("speed", "fetch_from"),
    [(0.9, ""), (1.1, "other-pool"), (4.0, "other-pool")],
)
def test_copy_that_takes_somewhat_longer_than_the_prefill_is_made(
    speed: float, fetch_from: str
) -> None:
    """Guards against engines that prefill what a copy would bring.

    From another data centre a copy takes twice as long.
    """
    profile = replace(
        PROFILE,
        token_bytes=1,
        link_bytes_per_second=speed * BREAK_EVEN_BYTES_PER_SECOND,
    )
    pool = PoolAdmission("models/dc-b/0")
    pool.set_upstreams(
        {"e1": entry("e1")},
        UpstreamService("models", profile),
        PREFILL_TOKENS_PER_SECOND,
        0.0,
    )
    assert granted(pool, 1, "other-pool").fetch_from == fetch_from


def test_prompt_that_another_pool_has_announced_is_copied(
    pool: PoolAdmission,
) -> None:
    """Guards against prompts that each data centre prefills for itself.

    The ingress router has never sent this prompt anywhere.
    """
    pool.record_prompts_elsewhere({PARTS[-1].key: "e9"})
    assert granted(pool, 1, "").fetch_from == "e9"


@pytest.mark.parametrize(
    ("parts", "announced"),
    [(PARTS, {PARTS[-1].key: "e1"}), (PARTS[:1], {}), ((), {})],
)
def test_new_prompts_are_announced_once(
    pool: PoolAdmission,
    parts: tuple[PromptPart, ...],
    announced: dict[int, str],
) -> None:
    for number in range(2):
        pool.submit(admission(number, 0.0, shared=parts), 0.0)
        assert pool.pop_new_prompts() == (announced if number == 0 else {})
