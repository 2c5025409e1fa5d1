"""Constants of the VM list component."""

COMPONENT_NAME = "vm_list"
VMS_PATH = "/vms"

POLL_INTERVAL_SECONDS = 0.5
# A slower response would leave too little of the 3 s within which the router
# stops sending new work to a leaving upstream.
POLL_TIMEOUT_SECONDS = 1.0
# About 520 VMs are replaced per day, so this covers a week.
MAX_DEPARTED_VMS = 4096
