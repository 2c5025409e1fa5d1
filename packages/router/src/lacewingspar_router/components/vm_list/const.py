"""Constants of the VM list component."""

COMPONENT_NAME = "vm_list"
VMS_PATH = "/vms"

POLL_INTERVAL_SECONDS = 0.5
# Slower answers would leave too little of the 3 s in which a leaving upstream
# stops getting new work.
POLL_TIMEOUT_SECONDS = 1.0
# Some 520 VMs are replaced a day; this covers a week.
MAXIMUM_DEPARTED_VMS = 4096
