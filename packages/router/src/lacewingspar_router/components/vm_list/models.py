"""Interface of the VM list component."""

from collections.abc import Callable
from typing import Protocol

from lacewingspar_router.application import ComponentKey


class VmListView(Protocol):
    """The platform's VM list as last read."""

    @property
    def leaving_vms(self) -> frozenset[str]:
        """Return the names of VMs that are about to leave."""

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function after every change."""


VM_LIST: ComponentKey[VmListView] = ComponentKey("vm_list")
