"""Fleet scheduler."""

from types import SimpleNamespace
from typing import Any
from unittest import mock

import pytest

from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.messages import MemberRecord, RouterState
from lacewingspar_router.components.scheduler.scheduler import FleetScheduler
from lacewingspar_standins.bench.capacity_core import service_document

SERVING, DRAINING = RouterState.SERVING, RouterState.DRAINING


def _member(router_id: str, state: RouterState) -> MemberRecord:
    instance = RouterInstance(router_id, 1)
    return MemberRecord(instance, "dc-1", "tcp://192.0.2.1:1", state, 1, 0)


@pytest.mark.parametrize(
    ("states", "expected"),
    [
        ({"a": SERVING}, 16),
        ({"a": DRAINING, "b": SERVING}, 0),
        ({"b": SERVING}, 0),
    ],
)
def test_only_owned_upstreams_are_polled(
    states: dict[str, RouterState], expected: int
) -> None:
    """Guards against every router polling every upstream."""
    document = service_document(workspaces=1, upstreams=16)
    app: Any = mock.MagicMock(instance=RouterInstance("a", 1))
    app.settings.data_centre = "dc-1"
    app.now.return_value = 0.0
    members = {name: _member(name, state) for name, state in states.items()}
    peers: Any = mock.MagicMock(alive_by_router_id=members)
    peers.send.return_value = 0
    configuration: Any = mock.MagicMock(
        documents_by_service={document.service: document}
    )
    polled: list[Any] = []
    upstreams: Any = SimpleNamespace(
        status_by_upstream={},
        add_listener=mock.Mock(),
        set_polled=lambda keys: polled.append(len(keys)),
    )
    FleetScheduler(app, peers, configuration, upstreams).reconfigure()
    assert polled == [expected]
