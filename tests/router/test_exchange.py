"""Order of the steps in which a response is sent."""

from collections.abc import Callable
from typing import Any
from unittest import mock

import pytest

from lacewingspar_router.http1.errors import ResponseOrderError
from lacewingspar_router.http1.exchange import ServerExchange

Step = Callable[[ServerExchange], Any]

STEP_BY_NAME: dict[str, Step] = {
    "start": lambda exchange: exchange.start(200, [], length=None),
    "write": lambda exchange: exchange.write(b"x"),
    "finish": lambda exchange: exchange.finish(),
    "whole": lambda exchange: exchange.send_response(400, [], b"x"),
}
STEPS_TO_STATE: dict[str, tuple[str, ...]] = {
    "pending": (),
    "started": ("start",),
    "writing": ("start", "write"),
    "finished": ("start", "write", "finish"),
    "sent whole": ("whole",),
}
ALLOWED = {
    ("pending", "start"),
    ("pending", "whole"),
    ("started", "write"),
    ("started", "finish"),
    ("writing", "write"),
    ("writing", "finish"),
}


@pytest.mark.parametrize("step", STEP_BY_NAME)
@pytest.mark.parametrize("state", STEPS_TO_STATE)
def test_response_takes_its_steps_in_order(state: str, step: str) -> None:
    """Guards against a second response within one that has begun."""
    connection = mock.Mock(can_write=True)
    connection.decide_close.return_value = False
    exchange = ServerExchange(connection, mock.Mock())
    for name in STEPS_TO_STATE[state]:
        STEP_BY_NAME[name](exchange)
    before = connection.write.call_count
    if (state, step) in ALLOWED:
        STEP_BY_NAME[step](exchange)
        assert connection.write.call_count == before + 1
        return
    was_finished = exchange.is_finished
    with pytest.raises(ResponseOrderError):
        STEP_BY_NAME[step](exchange)
    assert connection.write.call_count == before
    assert exchange.is_finished is was_finished
