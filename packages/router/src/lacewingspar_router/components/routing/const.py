"""Constants of the routing component."""

# Long-poll duration of configuration reads. It is short enough to detect a
# silent connection while a change can still be applied in time.
CONFIGURATION_LONG_POLL_SECONDS = 2.0
# Long-poll duration of upstream reads. Together with
# `UPSTREAM_READ_PAUSE_SECONDS` it must stay below
# `FIRST_RELAY_TIMEOUT_SECONDS`.
UPSTREAM_LONG_POLL_SECONDS = 0.3
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
# The same for routers that read only when others fail.
FOLLOWER_READ_RETRY_DELAY_SECONDS = 1.5
# Time without a confirmation after which a router reads the log itself, by its
# rank. The reader confirms after each upstream read, about twice a second.
# Configuration changes must be active within 2 s.
FIRST_RELAY_TIMEOUT_SECONDS = 1.0
SECOND_RELAY_TIMEOUT_SECONDS = 1.15
FOLLOWER_TIMEOUT_SECONDS = 1.3
# Time for which a router may lack what a reader has confirmed before it reads
# the log itself. Together with the pause between reads and a call to the log it
# must stay below the 2 s within which changes must be active.
LACKED_STATE_TIMEOUT_SECONDS = 0.8
# The same for a router that has no state yet, which serves nothing. When a
# fleet starts, all routers ask the reader at the same time.
START_LACKED_STATE_TIMEOUT_SECONDS = 2.0
# Time for which a router that starts waits for the state from others before it
# lists the topics itself. A reply takes milliseconds.
START_WAIT_SECONDS = 0.4
# For this long after its start a router takes registered routers for alive.
# Heartbeats of all routers have arrived by then.
REGISTERED_READERS_SECONDS = 5.0
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
# Time after which a state request without a reply counts as lost. A reply takes
# a round trip to another data centre at most.
STATE_REPLY_TIMEOUT_SECONDS = 0.25
# Interval between state requests to peers while the log is unreachable.
OUTAGE_REQUEST_INTERVAL_SECONDS = 0.5
# Peers notified of a change, in the local and in each remote data centre.
NOTICE_LOCAL_FANOUT = 4
NOTICE_REMOTE_FANOUT = 1

# Shortest interval between reads of the registered tokens.
TOKEN_READ_INTERVAL_SECONDS = 1.0
# Delay before a failed registration is retried.
REGISTRATION_RETRY_DELAY_SECONDS = 0.5
# After the log was restored, routers register again at a random time within
# this one: it has to take the records of a whole fleet.
REGISTRATION_SPREAD_SECONDS = 1.0
# Registered routers that started longer ago than this are not contacted. The
# VMs of the fleet are replaced more often than this.
MAX_REGISTRATION_AGE_SECONDS = 7 * 86_400.0

METRIC_EVACUATED_DATA_CENTRES = "evacuated_data_centres"
METRIC_READS_OF_LACKED_STATE = "reads_of_lacked_state_total"
METRIC_RESTORED_LOGS = "restored_logs_total"
METRIC_LOST_STATE_REQUESTS = "lost_state_requests_total"
