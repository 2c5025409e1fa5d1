"""Stand-in for the platform's list of VMs."""

import asyncio
import hashlib

import msgspec

from lacewingspar_core.platform import VmList
from lacewingspar_standins.asgi import Request, decode_json
from lacewingspar_standins.faults import Faults, StandIn
from lacewingspar_standins.lagged import Lagged

_ETAG_DIGITS = 16


class VmsFaults(Faults):
    """Faults of the VM list.

    Attributes:
        outage: Respond 503 at once.
        refuse: Close connections without a response.
        lag_ms: Delay until a change of the list becomes visible.
        delay_ms: Delay of each response to a read.
    """

    outage: bool = False
    refuse: bool = False
    lag_ms: float = 0
    delay_ms: float = 0


class VmListService(StandIn[VmsFaults]):
    """HTTP interface of the VM list."""

    def __init__(self, faults: VmsFaults) -> None:
        super().__init__(faults)
        self._list = Lagged(VmList(()), faults.lag_ms / 1000)

    def faults_changed(self) -> None:
        """Apply the changed lag."""
        self._list.lag_seconds = self.faults.lag_ms / 1000

    async def handle(self, request: Request) -> None:
        """Respond to a read or a change of the list."""
        if request.path != "/vms" or request.method not in {"GET", "PUT"}:
            await request.reply(404, {"error": "no such resource"})
            return
        if request.method == "PUT":
            self._list.set(decode_json(await request.body(), VmList))
            await request.reply(200, {})
            return
        if self.faults.refuse:
            await request.abort()
            return
        if self.faults.outage:
            await request.reply(503, {"error": "VM list is down"})
            return
        await asyncio.sleep(self.faults.delay_ms / 1000)
        await self._reply_list(request)

    async def _reply_list(self, request: Request) -> None:
        """Respond with the list, or with 304 if the ETag matches."""
        vm_list = self._list.get()
        digest = hashlib.sha256(msgspec.json.encode(vm_list)).hexdigest()
        etag = f'"{digest[:_ETAG_DIGITS]}"'
        if request.headers.get("if-none-match") == etag:
            await request.start(304, (("etag", etag),))
            await request.write(b"", more=False)
            return
        await request.reply(200, vm_list, (("etag", etag),))
