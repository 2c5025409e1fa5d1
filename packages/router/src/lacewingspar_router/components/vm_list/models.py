"""Interface of the VM list component."""

from collections.abc import Callable
from typing import Protocol

from lacewingspar_router.application import ComponentKey


class VmListView(Protocol):
    """The VM list that was last read from the platform."""

    @property
    def leaving_vms(self) -> frozenset[str]:
        """Return the names of VMs that are about to leave."""

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function whenever the leaving VMs change."""


VM_LIST: ComponentKey[VmListView] = ComponentKey("vm_list")
