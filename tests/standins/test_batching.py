"""Tests of continuous batching."""

import pytest

from lacewingspar_standins.batching import Batch, BatchOptions, Generation
from lacewingspar_standins.prefix_cache import CacheOptions, PrefixCache

OPTIONS = BatchOptions(2, 0.001, prompt_token_seconds=0, load_lag_seconds=0)


def new_batch() -> tuple[Batch, list[Generation]]:
    started: list[Generation] = []
    return Batch(OPTIONS, PrefixCache(CacheOptions()), started.append), started


async def test_requests_start_in_order_when_slots_are_free() -> None:
    batch, started = new_batch()
    requests = [Generation(["w"], 0, 3) for _ in range(5)]
    for request in requests:
        batch.submit(request)
    assert started == requests[:2]
    assert (batch.load().running, batch.load().waiting) == (2, 3)
    for request in requests:
        await request.wait_beyond(2)
    assert started == requests
    assert (batch.load().running, batch.load().waiting) == (0, 0)


@pytest.mark.parametrize("index", [0, 2], ids=["running", "waiting"])
async def test_cancelled_request_frees_its_slot(index: int) -> None:
    """Guards against slots that stay occupied after a client disconnects."""
    batch, started = new_batch()
    requests = [Generation(["w"], 0, 1_000_000) for _ in range(4)]
    for request in requests:
        batch.submit(request)
    batch.cancel(requests[index])
    batch.cancel(requests[index])
    remaining = [r for r in requests if r is not requests[index]]
    assert (batch.load().running, batch.load().waiting) == (2, 1)
    assert [r for r in started if not r.is_cancelled] == remaining[:2]
    for request in remaining:
        batch.cancel(request)


async def test_each_step_adds_one_token_to_each_request() -> None:
    batch, _ = new_batch()
    requests = [Generation(["w"], first, 20) for first in (0, 10)]
    for request in requests:
        batch.submit(request)
    await requests[0].wait_beyond(4)
    assert requests[1].produced - requests[0].produced == 10
    for request in requests:
        batch.cancel(request)
