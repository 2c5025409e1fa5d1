"""Tests the VM list component."""

import asyncio

import httpx
import pytest

from lacewingspar_router.application import Application
from lacewingspar_router.components import vm_list
from lacewingspar_router.components.vm_list import poller as poller_module
from lacewingspar_router.components.vm_list.models import VM_LIST
from lacewingspar_router.settings import Settings


def _list(states: str) -> httpx.Response:
    """Return the response for a text such as `a=live b=leaving`."""
    pairs = [item.split("=") for item in states.split()]
    vms = [{"name": n, "data_centre": "d", "state": s} for n, s in pairs]
    return httpx.Response(200, json={"vms": vms})


async def _read(
    *responses: httpx.Response | Exception,
) -> tuple[frozenset[str], int]:
    """Return the leaving VMs after all responses and the listener's calls."""
    remaining, calls = list(responses), []

    def respond(_: httpx.Request) -> httpx.Response:
        item = remaining.pop(0)
        if isinstance(item, Exception):
            raise item
        return item

    client = httpx.AsyncClient(transport=httpx.MockTransport(respond))
    poller = poller_module.VmListPoller(client, "http://platform/vms")
    poller.add_listener(lambda: 1 // 0)
    poller.add_listener(lambda: calls.append(1))
    for _ in responses:
        await poller.async_poll()
    return poller.leaving_vms, len(calls)


@pytest.mark.parametrize(
    ("response", "leaving", "calls"),
    [
        (_list("a=leaving b=live"), {"a"}, 1),
        (_list("a=leaving b=leaving"), {"a", "b"}, 2),
        (_list("a=live"), set(), 2),
        (_list(""), {"a"}, 1),
        (httpx.Response(500), {"a"}, 1),
        (httpx.Response(200, json={"vms": [{}]}), {"a"}, 1),
        (httpx.ConnectError("refused"), {"a"}, 1),
    ],
)
async def test_second_response(
    response: httpx.Response | Exception, leaving: set[str], calls: int
) -> None:
    """Guards against a failed poll that discards the list.

    A leaving VM that is no longer listed must not get new work, and a listener
    that fails must not prevent the call of the next one.
    """
    first = _list("a=leaving b=live")
    assert await _read(first, response) == (leaving, calls)


@pytest.mark.parametrize("etag", ['"v1"', None])
async def test_unchanged_list_is_not_sent_again(etag: str | None) -> None:
    """Guards against a transfer of the whole list twice a second.

    Without entity tags the list must still be read in full. The entity tag of a
    list that cannot be decoded must not be used.
    """
    sent: list[str | None] = []
    head = {"etag": etag} if etag else {}
    responses = [
        httpx.Response(200, headers={"etag": '"v0"'}, json={"vms": [{}]}),
        httpx.Response(
            200, headers=head, json=_list("a=leaving b=live").json()
        ),
        httpx.Response(304),
        _list("a=leaving b=leaving"),
    ]

    def respond(request: httpx.Request) -> httpx.Response:
        sent.append(request.headers.get("if-none-match"))
        return responses.pop(0)

    client = httpx.AsyncClient(transport=httpx.MockTransport(respond))
    poller = poller_module.VmListPoller(client, "http://platform/vms")
    for leaving in (set(), {"a"}, {"a"}, {"a", "b"}):
        await poller.async_poll()
        assert poller.leaving_vms == leaving
    assert sent == [None, None, etag, etag]


async def test_departed_vms_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against unbounded memory while VMs are replaced."""
    monkeypatch.setattr(poller_module, "MAX_DEPARTED_VMS", 2)
    leaving, _ = await _read(*[_list(f"v{n}=leaving") for n in range(4)])
    assert leaving == {"v1", "v2", "v3"}


async def test_component_polls_through_the_address_map() -> None:
    """Guards against a leaked task and an ignored `address_map`."""
    body = _list("a=leaving").content

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        assert (await reader.readline()).startswith(b"GET /base/vms ")
        writer.write(b"HTTP/1.0 200 OK\r\n\r\n" + body)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    settings = Settings(
        "r",
        "d",
        *["127.0.0.1:0"] * 3,
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
    server.close()
    assert asyncio.all_tasks() == {asyncio.current_task()}
