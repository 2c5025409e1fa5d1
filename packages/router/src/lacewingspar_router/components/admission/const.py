"""Constants of the admission component."""

# An owner responds to each request within a few milliseconds. One that has not
# responded after this time is down, frozen or unreachable.
OWNER_RESPONSE_TIMEOUT_SECONDS = 0.12
# The response may be later by the delay of this router's event loop, up to this
# time: a router that was frozen for seconds does not wait for as long again.
MAX_LOOP_DELAY_ALLOWANCE_SECONDS = 0.5
# Time after which a single request tries an unresponsive owner again.
UNRESPONSIVE_OWNER_RETRY_SECONDS = 1.0
# Grants that one request may give back because the upstream wants no requests.
# The owner learns of it from the same router, so a second one is rare.
MAX_GRANTS = 4
# Callers that were refused because all upstreams asked to wait return within
# this multiple of the time until the first of them accepts requests.
RETURN_SPREAD_FACTOR = 1.25
# A declined request asks another data centre if the mean wait there is below
# this fraction of the wait for which it was declined.
OTHER_POOL_WAIT_FRACTION = 0.5
# Leaving shares below this one are not logged.
MIN_LOGGED_LEAVING_SHARE = 0.01
# Interval at which the ingress router asks the owner again about a queued
# request, to detect the loss of the owner.
QUEUED_RECHECK_INTERVAL_SECONDS = 0.4
# Interval of the run reports, which correct the owners' accounting after lost
# messages.
RUN_REPORT_INTERVAL_SECONDS = 1.0
# Interval at which owners decline requests that would miss their deadline.
TICK_INTERVAL_SECONDS = 0.1
