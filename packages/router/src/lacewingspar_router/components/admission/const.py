"""Constants of the admission component."""

# An owner answers each request at once, within a few milliseconds. One that
# has not answered for this long is down, frozen or cut off.
ASK_TIMEOUT_SECONDS = 0.12
# A silent owner is tried again, by one request, after this long.
SUSPECT_SECONDS = 1.0
# While a request waits, its owner is asked again this often, so that the loss
# of the owner is found.
WAIT_CHECK_SECONDS = 0.4
# Interval of the reports of runs, which repair what lost messages left.
REPORT_INTERVAL_SECONDS = 1.0
# Interval at which owners decline what can no longer be in time.
TICK_SECONDS = 0.1
