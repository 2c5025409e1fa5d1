"""Constants of the routing component."""

# Long-poll duration of configuration reads. It is short enough to detect a
# silent connection while a change can still be applied in time.
CONFIGURATION_LONG_POLL_SECONDS = 2.0
# Long-poll duration of upstream reads. Together with
# `UPSTREAM_READ_PAUSE_SECONDS` it must stay below
# `READER_CONFIRMATION_TIMEOUT_SECONDS`.
UPSTREAM_LONG_POLL_SECONDS = 0.5
# Delay between configuration reads. Limits the call rate while versions change
# quickly.
CONFIGURATION_READ_PAUSE_SECONDS = 0.2
# Delay between upstream reads. Upstreams renew their entries continuously, so
# most reads return at once. Delay and long poll together must stay below the
# time for which an upstream keeps serving after it announced its shutdown.
UPSTREAM_READ_PAUSE_SECONDS = 0.5
# Longest delay before a failed read is retried; jitter shortens it by up to
# half.
READ_RETRY_DELAY_SECONDS = 0.3
# The same for routers that are not readers. It is longer because readers are
# expected to make the first calls after an outage.
FOLLOWER_READ_RETRY_DELAY_SECONDS = 1.5
# Routers per data centre that read the topics. The second one covers the loss
# of the first.
READERS_PER_DATA_CENTRE = 2
# A router that has received no confirmation for this long reads the log itself.
# Readers confirm after each upstream read, about twice a second. Configuration
# changes must be active within 2 s.
READER_CONFIRMATION_TIMEOUT_SECONDS = 1.2
# The first records read after an outage of the log include entries that expired
# during it. Upstreams removed later than this have really left.
EXPIRY_READ_SECONDS = 1.0
EXPIRY_CHECK_INTERVAL_SECONDS = 0.25

# Delay before a router requests state from a peer that is ahead. Its own read
# usually delivers the change sooner.
STATE_REQUEST_DELAY_SECONDS = 0.3
# Shortest interval between state requests. A reply takes less time than this,
# so notices received meanwhile trigger no duplicate request.
STATE_REQUEST_MIN_INTERVAL_SECONDS = 0.2
# Interval between state requests to peers while the log is unreachable.
OUTAGE_REQUEST_INTERVAL_SECONDS = 0.5
# Peers notified of a change, in the local and in each remote data centre.
NOTICE_LOCAL_FANOUT = 4
NOTICE_REMOTE_FANOUT = 1

# Delay before a failed registration is retried.
REGISTRATION_RETRY_DELAY_SECONDS = 0.5
# Registered routers that started longer ago than this are not contacted. The
# VMs of the fleet are replaced more often than this.
MAX_REGISTRATION_AGE_SECONDS = 7 * 86_400.0
