"""Poller of the platform's VM list."""

import asyncio
from collections.abc import Callable

import httpx
import msgspec
import structlog

from lacewingspar_core.decoding import DECODE_ERRORS
from lacewingspar_core.platform import VmList, VmState
from lacewingspar_router.components.vm_list.const import (
    MAX_DEPARTED_VMS,
    POLL_INTERVAL_SECONDS,
)
from lacewingspar_router.components.vm_list.errors import VmListReadError

_LOGGER = structlog.get_logger(__name__)


class VmListPoller:
    """Polls the VM list and keeps the names of leaving VMs.

    Args:
        client: HTTP client with the timeout of a poll.
        url: URL of the list.
    """

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        self._client = client
        self._url = url
        self._listeners: list[Callable[[], None]] = []
        self._leaving_vms: frozenset[str] = frozenset()
        # Ordered by departure, so that the oldest names can be evicted.
        self._departed_vms: dict[str, None] = {}
        self._is_readable = True
        self._etag: str | None = None

    @property
    def leaving_vms(self) -> frozenset[str]:
        """Return the names of VMs that are about to leave or have left.

        A leaving VM that disappears from the list stays in this set until it
        is listed as live again, so that its upstreams get no new work.
        """
        return self._leaving_vms

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function whenever the leaving VMs change."""
        self._listeners.append(listener)

    async def async_run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.async_poll()
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def async_poll(self) -> None:
        """Read the list once; keep the previous one on failure."""
        try:
            vm_list = await self._async_read()
        except VmListReadError as error:
            if self._is_readable:
                _LOGGER.warning("VM list not readable", error=str(error))
            self._is_readable = False
            return
        if not self._is_readable:
            _LOGGER.info("VM list readable again")
        self._is_readable = True
        if vm_list is not None:
            self._apply(vm_list)

    async def _async_read(self) -> VmList | None:
        """Return the list, or None if it has not changed.

        Raises:
            VmListReadError: The platform did not return a valid list.
        """
        headers = {"if-none-match": self._etag} if self._etag else {}
        try:
            response = await self._client.get(self._url, headers=headers)
            if headers and response.status_code == httpx.codes.NOT_MODIFIED:
                return None
            response.raise_for_status()
            vm_list = msgspec.json.decode(response.content, type=VmList)
        except (
            httpx.HTTPError,
            httpx.InvalidURL,
            *DECODE_ERRORS,
        ) as error:
            reason = str(error) or type(error).__name__
            raise VmListReadError(f"GET {self._url}: {reason}") from error
        self._etag = response.headers.get("etag")
        return vm_list

    def _apply(self, vm_list: VmList) -> None:
        leaving = {v.name for v in vm_list.vms if v.state is VmState.LEAVING}
        listed = {vm.name for vm in vm_list.vms}
        for name in listed:
            self._departed_vms.pop(name, None)
        for name in sorted(self._leaving_vms - listed):
            self._departed_vms.setdefault(name)
        while len(self._departed_vms) > MAX_DEPARTED_VMS:
            del self._departed_vms[next(iter(self._departed_vms))]
        leaving_vms = leaving.union(self._departed_vms)
        if leaving_vms == self._leaving_vms:
            return
        self._leaving_vms = frozenset(leaving_vms)
        _LOGGER.info("leaving VMs changed", leaving=sorted(leaving))
        self._notify()

    def _notify(self) -> None:
        for listener in list(self._listeners):
            try:
                listener()
            except Exception:
                _LOGGER.exception("VM list listener failed")
