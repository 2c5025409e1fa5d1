"""Configuration store that reads the log and exchanges records with peers."""

import asyncio
from typing import Any
from unittest import mock

import httpx
import pytest

from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.messages import LogRecords, MemberRecord, RouterState
from lacewingspar_router.components.configuration import async_setup, store
from lacewingspar_router.components.configuration.errors import (
    InvalidDocumentError,
)
from lacewingspar_router.components.configuration.models import (
    CONFIGURATION,
    PublishAccepted,
    PublishConflict,
    PublishUnknown,
)
from lacewingspar_router.components.peers.models import PEERS


def document(slots: int = 4) -> dict[str, Any]:
    upstream = {
        "id": "u1",
        "data_centre": "dc1",
        "address": "http://10.0.0.1:80",
        "slots": slots,
        "vm": None,
    }
    return {
        "service": "chat",
        "kind": "plain",
        "upstreams": [upstream],
        "workspaces": [],
    }


def publish(app, edit_id: str, base: int, value: dict[str, Any]) -> Any:
    return app.get(CONFIGURATION).async_publish(
        edit_id=edit_id,
        service="chat",
        base_version=base,
        document=value,
        author="ann",
    )


@pytest.fixture(autouse=True)
def short_periods(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(store, "READ_RETRY_SECONDS", 0.005)
    monkeypatch.setattr(store, "PEER_EXCHANGE_SECONDS", 0.005)


async def started(app):
    await async_setup(app)
    return app.get(CONFIGURATION)


async def test_publish_is_applied_and_idempotent(make_app, until) -> None:
    app = make_app()
    configuration = await started(app)
    await until(lambda: configuration.is_ready)
    calls: list[int] = []
    configuration.add_listener(lambda: calls.append(1))
    assert await publish(app, "e1", 0, document()) == PublishAccepted(1)
    assert configuration.documents_by_service["chat"].upstreams[0].slots == 4
    assert calls == [1]
    second = await publish(app, "e2", 1, document(5))
    assert second == PublishAccepted(2)
    assert await publish(app, "e1", 0, document()) == PublishAccepted(1)
    assert await publish(app, "e3", 1, document(6)) == PublishConflict(
        2, "e2", "ann"
    )


async def test_racing_edits_of_two_routers(make_app, until) -> None:
    """Guards against accepting two edits with the same base version."""
    apps = [make_app("r1"), make_app("r2")]
    for app in apps:
        configuration = await started(app)
        await until(lambda c=configuration: c.is_ready)
    results = await asyncio.gather(
        *(publish(app, app.instance.router_id, 0, document()) for app in apps)
    )
    assert sorted(type(r).__name__ for r in results) == [
        "PublishAccepted",
        "PublishConflict",
    ]


@pytest.mark.parametrize(
    ("is_written", "fault", "expected"),
    [
        (True, httpx.ReadTimeout("lost"), PublishAccepted(1)),
        (False, httpx.ReadTimeout("lost"), PublishUnknown("e1")),
        (False, 503, PublishUnknown("e1")),
    ],
)
async def test_lost_append_reply(
    make_app, until, fake_log, monkeypatch, is_written, fault, expected
) -> None:
    """Guards against reporting an accepted edit as unknown."""
    app = make_app()
    configuration = await started(app)
    await until(lambda: configuration.is_ready)
    if not is_written:
        monkeypatch.setattr(store, "PUBLISH_TIMEOUT_SECONDS", 0.05)
    fake_log.append_fault, fake_log.is_written = fault, is_written
    assert await publish(app, "e1", 0, document()) == expected


async def test_history_lists_accepted_edits_of_the_service(
    make_app, until
) -> None:
    app = make_app()
    configuration = await started(app)
    await until(lambda: configuration.is_ready)
    await publish(app, "e1", 0, document())
    await publish(app, "e2", 0, document())
    edits = configuration.history("chat")
    assert [(edit.version, edit.edit_id) for edit in edits] == [(1, "e1")]
    assert configuration.history("other") == []


async def test_invalid_document_is_refused(make_app, fake_log) -> None:
    app = make_app()
    await started(app)
    with pytest.raises(InvalidDocumentError):
        await publish(app, "e1", 0, document(slots=0))
    with pytest.raises(InvalidDocumentError):
        await publish(app, "e1", 0, {**document(), "service": "other"})
    assert not fake_log.records_by_stream.get("configuration")


async def test_new_router_starts_from_a_peer(make_app, until, fake_log) -> None:
    """Guards against a router that cannot start while the log is down."""
    first = make_app("r1")
    configuration = await started(first)
    await until(lambda: configuration.is_ready)
    await publish(first, "e1", 0, document())
    fake_log.is_down = True
    second = await started(make_app("r2"))
    await until(lambda: second.is_ready)
    assert second.version_by_service == {"chat": 1}


async def test_records_are_sent_to_a_lagging_peer(make_app, until) -> None:
    """Guards against a router that keeps an outdated configuration."""
    first, second = make_app("r1"), make_app("r2")
    configuration = await started(first)
    await until(lambda: configuration.is_ready)
    await publish(first, "e1", 0, document())
    await publish(first, "e2", 1, document(5))
    peers: Any = first.get(PEERS)
    peers.offset_by_router_id = {"r1": 2, second.instance.router_id: 1}

    def sent_records() -> list[Any]:
        return [m for _, m in peers.sent if isinstance(m, LogRecords)]

    await until(sent_records)
    assert [record.offset for record in sent_records()[0].records] == [1]


@pytest.mark.parametrize(
    ("data_centre_by_id", "current_elsewhere", "expected"),
    [
        ({"behind": "other"}, False, {"behind"}),
        ({"behind": "other"}, True, set()),
        ({"behind": "own"}, True, {"behind"}),
    ],
)
async def test_up_to_date_data_centre_gets_no_records_from_others(
    make_app,
    until,
    data_centre_by_id: dict[str, str],
    current_elsewhere: bool,
    expected: set[str],
) -> None:
    """Guards against ranking the whole fleet after every change.

    A data centre without an up-to-date router must still get the records.
    """
    app = make_app("r1")
    configuration = await started(app)
    await until(lambda: configuration.is_ready)
    await publish(app, "e1", 0, document())
    await publish(app, "e2", 1, document(5))
    await until(lambda: configuration.applied_offset == 2)
    own = app.settings.data_centre
    names = {"own": own, "other": "elsewhere"}
    members = {
        name: _member(name, names[place], 1)
        for name, place in data_centre_by_id.items()
    }
    if current_elsewhere:
        members["current"] = _member("current", "elsewhere", 2)
    peers: Any = app.get(PEERS)
    sent: list[str] = []
    with mock.patch.multiple(
        type(peers),
        alive_by_router_id=members,
        send=lambda _, router_id, _message: sent.append(router_id),
    ):
        await until(lambda: configuration._offset_at_last_exchange == 2)
        configuration._send_records_to_lagging_peers()
    assert set(sent) == expected


def _member(name: str, data_centre: str, offset: int) -> MemberRecord:
    return MemberRecord(
        RouterInstance(name, 1),
        data_centre,
        "a",
        RouterState.SERVING,
        1,
        offset,
    )


async def test_snapshot_replaces_expired_records(
    make_app, until, fake_log
) -> None:
    """Guards against losing the configuration when its records expire."""
    first = make_app("r1")
    configuration = await started(first)
    await until(lambda: configuration.is_ready)
    fake_log.now_ms -= fake_log.retention_ms // 2
    await publish(first, "e1", 0, document())
    fake_log.now_ms += fake_log.retention_ms // 2
    records = fake_log.records_by_stream["configuration"]
    await until(lambda: len(records) > 1)
    fake_log.first_retained = 1
    second = await started(make_app("r2"))
    await until(lambda: second.is_ready)
    assert second.version_by_service == {"chat": 1}
