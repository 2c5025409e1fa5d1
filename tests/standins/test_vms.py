"""Tests of the VM list stand-in."""

from typing import Any

import pytest

from lacewingspar_standins.vms import VmListService, VmsFaults

LIST = {"vms": [{"name": "vm-1", "data_centre": "dc-1", "state": "leaving"}]}


async def test_change_is_visible_only_after_the_lag(serve: Any) -> None:
    async with serve(VmListService(VmsFaults(lag_ms=1e9))) as client:
        await client.send("PUT", "/vms", LIST)
        before = await client.get("/vms")
        await client.inject(lag_ms=0)
        assert (before, await client.get("/vms")) == ({"vms": []}, LIST)


@pytest.mark.parametrize("state", ["LEAVING", "dead", None])
async def test_unknown_state_is_refused(serve: Any, state: Any) -> None:
    entry = {"name": "vm-1", "data_centre": "dc-1", "state": state}
    async with serve(VmListService(VmsFaults())) as client:
        response = await client.send("PUT", "/vms", {"vms": [entry]})
    assert response.status_code == 400


async def test_unchanged_list_is_sent_without_a_body(serve: Any) -> None:
    """Guards against sending an unchanged list to a conditional request."""
    async with serve(VmListService(VmsFaults())) as client:
        await client.send("PUT", "/vms", LIST)
        first = await client.send("GET", "/vms")
        known = {"if-none-match": first.headers["etag"]}
        second = await client.send("GET", "/vms", **known)
        await client.send("PUT", "/vms", {"vms": []})
        third = await client.send("GET", "/vms", **known)
    assert (second.status_code, second.content) == (304, b"")
    assert (third.status_code, third.json()) == (200, {"vms": []})
