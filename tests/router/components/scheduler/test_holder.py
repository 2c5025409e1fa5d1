"""Requests that wait for slots at one holder."""

import asyncio
from typing import Any

import pytest
from tests.router.conftest import document

from lacewingspar_core.identity import RouterLife
from lacewingspar_core.messages import (
    Offer,
    OfferAccepted,
    SlotId,
    SlotOutcome,
    SlotReleased,
)
from lacewingspar_core.ownership import assign_owners
from lacewingspar_router.components.scheduler.holder import Holder
from lacewingspar_router.components.scheduler.models import SlotRequest

OFFER = Offer(
    "swap", SlotId(RouterLife("r1", 1), 1), "upstream-0", "alpha", "", False
)


@pytest.mark.parametrize("is_offered_first", [True, False])
async def test_cancelled_at_the_moment_of_the_grant(
    make_app: Any, is_offered_first: bool
) -> None:
    """Guards against a slot that nobody uses until its lease ends."""
    app = make_app()
    sent: list[Any] = []
    holder = Holder(app, "swap", lambda _, message: sent.append(message) or 0)
    ownership = assign_owners("swap", {"upstream-0": "dc1"}, {"r1": "dc1"})
    holder.configure(document("swap", "plain", [1]), ownership)
    now = app.now()
    request = SlotRequest("id", "swap", "alpha", "", "default", now, now + 60)
    waiting = asyncio.create_task(
        holder.async_acquire(request, default_class="default")
    )
    await asyncio.sleep(0)
    if is_offered_first:
        assert holder.take_offer(OFFER)
        waiting.cancel()
    else:
        waiting.cancel()
        assert holder.take_offer(OFFER)
    await asyncio.gather(waiting, return_exceptions=True)
    assert waiting.cancelled()
    assert holder.active_slots == 0
    assert holder.waiting_by_workspace == {}
    answers = [m for m in sent if isinstance(m, OfferAccepted | SlotReleased)]
    accepted, released = answers
    assert isinstance(accepted, OfferAccepted)
    assert released.outcome is SlotOutcome.CANCELLED
