"""VM list component."""

import asyncio

import httpx
import pytest

from lacewingspar_router.application import Application
from lacewingspar_router.components import vm_list
from lacewingspar_router.components.vm_list import poller as poller_module
from lacewingspar_router.components.vm_list.models import VM_LIST
from lacewingspar_router.components.vm_list.poller import VmListPoller
from lacewingspar_router.settings import Settings


def _body(**state_by_name: str) -> bytes:
    vms = ",".join(
        f'{{"name":"{name}","data_centre":"d","state":"{state}"}}'
        for name, state in state_by_name.items()
    )
    return f'{{"vms":[{vms}]}}'.encode()


def _poller(answers: list[httpx.Response | Exception]) -> VmListPoller:
    def answer(_: httpx.Request) -> httpx.Response:
        item = answers.pop(0)
        if isinstance(item, Exception):
            raise item
        return item

    client = httpx.AsyncClient(transport=httpx.MockTransport(answer))
    return VmListPoller(client, "http://platform/vms")


@pytest.mark.parametrize(
    ("answer", "leaving", "calls"),
    [
        (httpx.Response(200, content=_body(a="leaving", b="live")), {"a"}, 1),
        (
            httpx.Response(200, content=_body(a="leaving", b="leaving")),
            {"a", "b"},
            2,
        ),
        (httpx.Response(200, content=_body(a="live")), set(), 2),
        (httpx.Response(200, content=_body()), {"a"}, 1),
        (httpx.Response(500), {"a"}, 1),
        (httpx.Response(200, content=b'{"vms":[{}]}'), {"a"}, 1),
        (httpx.ConnectError("refused"), {"a"}, 1),
    ],
)
async def test_list_after_a_second_answer(
    answer: httpx.Response | Exception, leaving: set[str], calls: int
) -> None:
    """Guards against a lost list and new work for a VM that has left."""
    first = httpx.Response(200, content=_body(a="leaving", b="live"))
    poller = _poller([first, answer])
    changes: list[frozenset[str]] = []
    poller.add_listener(lambda: changes.append(poller.leaving_vms))
    await poller.async_poll()
    await poller.async_poll()
    assert poller.leaving_vms == leaving
    assert len(changes) == calls


async def test_departed_vms_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against growth while VMs are replaced."""
    monkeypatch.setattr(poller_module, "MAXIMUM_DEPARTED_VMS", 2)
    lists = [_body(**{f"v{n}": "leaving"}) for n in range(4)]
    poller = _poller([httpx.Response(200, content=body) for body in lists])
    for _ in lists:
        await poller.async_poll()
    assert poller.leaving_vms == {"v1", "v2", "v3"}


async def test_a_failing_listener_does_not_stop_the_others() -> None:
    poller = _poller([httpx.Response(200, content=_body(a="leaving"))])
    calls: list[int] = []
    poller.add_listener(lambda: calls.append(1 // 0))
    poller.add_listener(lambda: calls.append(1))
    await poller.async_poll()
    assert calls == [1]


async def test_component_polls_through_the_address_map() -> None:
    """Guards against set-up that leaves a task or ignores the settings."""
    body = _body(a="leaving")

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        assert (await reader.readline()).startswith(b"GET /base/vms ")
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    settings = Settings(
        router_id="r",
        data_centre="d",
        caller_address="127.0.0.1:0",
        admin_address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
        admin_token_sha256="0" * 64,
        log_service_url="http://log.test",
        vm_list_url="http://platform.test/base/",
        address_map={"platform.test:80": f"127.0.0.1:{port}"},
    )
    app = Application(settings)
    await app.async_start([("vm_list", vm_list.async_setup)])
    changed = asyncio.Event()
    app.get(VM_LIST).add_listener(changed.set)
    await changed.wait()
    assert app.get(VM_LIST).leaving_vms == {"a"}
    await app.async_stop()
    assert asyncio.all_tasks() == {asyncio.current_task()}
    server.close()
