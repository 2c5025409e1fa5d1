"""Tests of the replacement of silent upstreams, without a network."""

import asyncio
import time
from typing import Any
from unittest import mock

import pytest

from lacewingspar_core.admission_events import RunOutcome
from lacewingspar_core.attempt_rules import AttemptHistory, AttemptResult
from lacewingspar_router.components.admission.models import ADMISSION, Grant
from lacewingspar_router.components.forwarding import const, upstream_switch
from lacewingspar_router.components.forwarding.attempt import AttemptEnd
from lacewingspar_router.components.forwarding.replacement import (
    AttemptObserver,
)
from lacewingspar_router.components.forwarding.upstream_switch import (
    UpstreamSwitch,
)
from lacewingspar_router.errors import RequestRefusedError
from lacewingspar_router.http1.errors import ConnectionFailedError

GRANT = Grant(2, "engines", "u2", "", "r1")
LIMIT_SECONDS = 0.05
RESPONDED = AttemptEnd(AttemptResult.RESPONDED)


class Harness:
    """A request whose upstream `u1` is silent from the start."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        for name in ("requirements_of", "resumed"):
            monkeypatch.setattr(upstream_switch, name, mock.Mock())
        for name in ("response_silence_limit", "event_gap_limit"):
            limit = mock.Mock(return_value=LIMIT_SECONDS)
            monkeypatch.setattr(upstream_switch, name, limit)
        self.granted: asyncio.Future[Grant] = asyncio.Future()
        self.asked: list[frozenset[str]] = []
        self.admission = mock.Mock(async_acquire=self._async_acquire)
        self.routing = mock.Mock()
        self.routing.directory.entry_by_id = {
            "u1": mock.Mock(),
            "u2": mock.Mock(),
        }
        self.pool = mock.Mock(async_acquire=mock.AsyncMock())
        app = mock.Mock()
        app.get = lambda key: (
            self.admission if key is ADMISSION else self.routing
        )
        app.now.return_value = 0.0
        app.create_task = lambda coroutine, name: asyncio.create_task(
            coroutine, name=name
        )
        self.progress = mock.Mock(
            history=AttemptHistory(may_run_again=True, max_sent=2),
            upstream_id="u1",
        )
        self.progress.call.deadline_at = 5.0
        self.budgets = mock.Mock()
        self.budgets.allows_retry.return_value = True
        self.budgets.try_spend.return_value = True
        self.recorder = mock.Mock()
        self.connection = mock.Mock(
            last_progress_at=time.monotonic(), has_failed=False
        )
        self.connection.interrupt.side_effect = lambda: setattr(
            self.connection, "has_failed", True
        )
        self.sent: list[Grant] = []
        self.answered: asyncio.Future[AttemptEnd | None] = asyncio.Future()
        self.switch = UpstreamSwitch(
            app,
            self.budgets,
            self.recorder,
            self.progress,
            mock.Mock(return_value=self.pool),
            mock.Mock(return_value=None),
            self._async_send,
        )
        self.switch.watch(self.connection)

    async def _async_acquire(
        self, requirements: Any, excluded: frozenset[str]
    ) -> Grant:
        del requirements
        self.asked.append(excluded)
        # Shielded, so that a test can grant a search that was withdrawn.
        return await asyncio.shield(self.granted)

    async def _async_send(
        self, grant: Grant, observer: AttemptObserver
    ) -> AttemptEnd:
        """Wait for the answer; None is the head of a stream."""
        self.sent.append(grant)
        observer.watch(mock.Mock(last_progress_at=time.monotonic()))
        end = await self.answered
        if end is not None:
            return end
        await observer.async_before_relay()
        return RESPONDED

    async def async_answer(self, end: AttemptEnd | None) -> None:
        self.answered.set_result(end)
        for _ in range(5):
            await asyncio.sleep(0)

    async def async_until_asked(self) -> None:
        async with asyncio.timeout(5.0):
            while not self.asked:  # noqa: ASYNC110
                await asyncio.sleep(0.001)

    async def async_grant(self) -> None:
        self.granted.set_result(GRANT)
        for _ in range(5):
            await asyncio.sleep(0)

    @property
    def returned(self) -> list[Any]:
        return [call.args for call in self.admission.end.call_args_list]


@pytest.fixture
async def harness(monkeypatch: pytest.MonkeyPatch) -> Harness:
    made = Harness(monkeypatch)
    await made.async_until_asked()
    return made


@pytest.mark.parametrize("end", [None, RESPONDED])
async def test_replacement_interrupts_the_attempt(
    harness: Harness, end: AttemptEnd | None
) -> None:
    assert harness.asked == [{"u1"}]
    await harness.async_grant()
    assert harness.sent == [GRANT]
    harness.connection.interrupt.assert_not_called()
    await harness.async_answer(end)
    harness.connection.interrupt.assert_called_once()
    harness.switch.end_watch()
    assert await harness.switch.async_next_grant() is GRANT
    assert harness.switch.has_replacement
    assert await harness.switch.async_send(GRANT) is RESPONDED
    harness.switch.close()
    assert harness.returned == []
    assert len(harness.asked) == len(harness.sent) == 1
    harness.budgets.try_spend.assert_called_once()


async def test_replacement_that_does_not_respond_interrupts_the_attempt(
    harness: Harness,
) -> None:
    """Guards against two upstreams that work on one request."""
    await harness.async_grant()
    await asyncio.sleep(const.REPLACEMENT_RESPONSE_SECONDS / 2)
    harness.connection.interrupt.assert_not_called()
    await asyncio.sleep(const.REPLACEMENT_RESPONSE_SECONDS)
    harness.connection.interrupt.assert_called_once()


@pytest.mark.parametrize(
    ("result", "outcome"),
    [
        (AttemptResult.NOT_RUN, RunOutcome.NOT_RUN),
        (AttemptResult.WRONG_UPSTREAM, RunOutcome.NOT_RUN),
        (AttemptResult.WITHHELD, RunOutcome.CANCELLED),
        (AttemptResult.UNREACHABLE, RunOutcome.NOT_RUN),
        (AttemptResult.BROKEN, RunOutcome.BROKEN),
        (AttemptResult.INVALID, RunOutcome.FAILED),
        (AttemptResult.UPSTREAM_FAILURE, RunOutcome.FAILED),
    ],
)
async def test_failed_replacement_leaves_the_attempt_alone(
    harness: Harness, result: AttemptResult, outcome: RunOutcome
) -> None:
    """Guards against a silent upstream that is left for one that refuses."""
    await harness.async_grant()
    await harness.async_answer(AttemptEnd(result))
    harness.connection.interrupt.assert_not_called()
    assert harness.returned == [(GRANT, outcome)]
    assert harness.progress.history.tried == {"u2"}
    assert harness.progress.no_replacement == result
    harness.switch.close()
    assert len(harness.returned) == 1


async def test_replacement_is_withdrawn_if_the_upstream_goes_on(
    harness: Harness,
) -> None:
    """Guards against events of two runs in one stream."""
    await harness.async_grant()
    harness.connection.last_progress_at = time.monotonic() + 60
    await harness.async_answer(None)
    harness.connection.interrupt.assert_not_called()
    assert harness.returned == [(GRANT, RunOutcome.CANCELLED)]
    assert harness.progress.history.sent == 1
    assert not harness.switch.has_replacement


async def test_attempt_that_fails_beside_its_replacement_leaves_the_request(
    harness: Harness,
) -> None:
    """Guards against a third send beside the one that was paid for."""
    await harness.async_grant()
    harness.connection.has_failed = True
    harness.switch.end_watch()
    assert harness.switch.has_replacement
    assert await harness.switch.async_next_grant() is GRANT
    following = asyncio.create_task(harness.switch.async_send(GRANT))
    await harness.async_answer(None)
    assert await following is RESPONDED
    harness.connection.interrupt.assert_not_called()
    harness.budgets.try_spend.assert_called_once()
    assert harness.sent == [GRANT]
    assert harness.returned == []


async def test_interrupted_attempt_starts_no_further_search(
    harness: Harness,
) -> None:
    """Guards against a second grant that replaces the reserved one."""
    await harness.async_grant()
    await harness.async_answer(None)
    await asyncio.sleep(2 * const.SILENCE_CHECK_INTERVAL_SECONDS)
    harness.connection.interrupt.assert_called_once()
    harness.switch.end_watch()
    assert await harness.switch.async_next_grant() is GRANT
    harness.switch.close()
    assert len(harness.asked) == 1


@pytest.mark.parametrize(
    "change",
    [
        lambda item: setattr(
            item.connection, "last_progress_at", time.monotonic() + 60
        ),
        lambda item: item.budgets.try_spend.configure_mock(return_value=False),
        lambda item: item.budgets.allows_retry.configure_mock(
            return_value=False
        ),
        lambda item: item.routing.directory.entry_by_id.pop("u2"),
        lambda item: item.admission.may_send.configure_mock(return_value=False),
        lambda item: setattr(item.progress.call, "deadline_at", 0.05),
    ],
    ids=["went on", "budget", "no budget", "removed", "withheld", "time"],
)
async def test_grant_that_may_not_be_used_is_given_back(
    harness: Harness, change: Any
) -> None:
    """Guards against an upstream that is given up without a replacement."""
    change(harness)
    await harness.async_grant()
    harness.connection.interrupt.assert_not_called()
    assert harness.returned == [(GRANT, RunOutcome.CANCELLED)]
    if harness.connection.last_progress_at > time.monotonic():
        harness.budgets.try_spend.assert_not_called()
    harness.switch.close()
    assert len(harness.returned) == 1


async def test_unreachable_replacement_leaves_the_attempt_alone(
    harness: Harness,
) -> None:
    """Guards against a silent upstream that is given up for a dead one."""
    harness.pool.async_acquire.side_effect = ConnectionFailedError("refused")
    await harness.async_grant()
    harness.connection.interrupt.assert_not_called()
    harness.budgets.try_spend.assert_not_called()
    assert harness.returned == [(GRANT, RunOutcome.NOT_RUN)]
    assert harness.progress.history.tried == {"u2"}
    assert harness.progress.history.sent == 0


async def test_grant_is_given_back_if_the_request_ends_while_it_connects(
    harness: Harness,
) -> None:
    harness.pool.async_acquire.side_effect = asyncio.Event().wait
    await harness.async_grant()
    harness.connection.interrupt.assert_not_called()
    harness.switch.close()
    await asyncio.sleep(0)
    assert harness.returned == [(GRANT, RunOutcome.CANCELLED)]


async def test_failed_attempt_keeps_its_place_in_the_queue(
    harness: Harness,
) -> None:
    """Guards against asking again while a replacement is sought."""
    harness.progress.history.record(AttemptResult.BROKEN, "u1")
    harness.switch.end_watch()
    following = asyncio.create_task(harness.switch.async_next_grant())
    await asyncio.sleep(0)
    await harness.async_grant()
    assert await following is GRANT
    assert len(harness.asked) == 1
    harness.budgets.try_spend.assert_not_called()
    harness.connection.interrupt.assert_not_called()


async def test_attempt_that_fails_beside_the_grant_uses_it(
    harness: Harness,
) -> None:
    harness.connection.has_failed = True
    await harness.async_grant()
    harness.connection.interrupt.assert_not_called()
    harness.budgets.try_spend.assert_not_called()
    harness.switch.end_watch()
    assert await harness.switch.async_next_grant() is GRANT
    assert harness.returned == []


async def test_refusal_of_the_search_ends_a_failed_request(
    harness: Harness,
) -> None:
    harness.progress.history.record(AttemptResult.BROKEN, "u1")
    harness.switch.end_watch()
    following = asyncio.create_task(harness.switch.async_next_grant())
    await asyncio.sleep(0)
    (search,) = (
        task
        for task in asyncio.all_tasks()
        if task.get_name() == "search for another upstream"
    )
    harness.granted.set_exception(RequestRefusedError(503, "overloaded", ""))
    with pytest.raises(RequestRefusedError):
        await following
    # The application reports the exception of a task as an error.
    assert search.exception() is None
    assert harness.progress.no_replacement == "overloaded"
    assert len(harness.asked) == 1


@pytest.mark.parametrize("is_granted", [False, True])
async def test_end_of_the_request_releases_the_search(
    harness: Harness, is_granted: bool
) -> None:
    """Guards against a grant that stays reserved after the caller has left."""
    if is_granted:
        await harness.async_grant()
    harness.switch.close()
    await asyncio.sleep(0)
    expected = [(GRANT, RunOutcome.CANCELLED)] if is_granted else []
    assert harness.returned == expected
    others = asyncio.all_tasks() - {asyncio.current_task()}
    assert not others


async def test_search_is_repeated_while_the_silence_lasts(
    harness: Harness,
) -> None:
    """Guards against a refusal that leaves a request with a dead upstream."""
    harness.granted.set_exception(RequestRefusedError(503, "overloaded", ""))
    await asyncio.sleep(0)
    harness.granted = asyncio.Future()
    harness.asked.clear()
    await harness.async_until_asked()
    await harness.async_grant()
    await harness.async_answer(None)
    harness.connection.interrupt.assert_called_once()
    outcomes = [
        call.args[2] for call in harness.recorder.record_silence.call_args_list
    ]
    assert outcomes == ["overloaded", "replaced"]
