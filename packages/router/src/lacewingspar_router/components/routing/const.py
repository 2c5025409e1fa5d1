"""Constants of the routing component."""

# A waiting read ends after this long, so that a connection that has gone
# silent is found while a change can still come into force in time.
READ_WAIT_SECONDS = 2.0
# Pause between two reads of the configuration, which bounds the calls while
# versions follow each other quickly.
CONFIGURATION_READ_PAUSE_SECONDS = 0.2
# Pause between two reads of the list of upstreams, whose entries are renewed
# all the time. Together with a read it stays below the time that an upstream
# goes on serving after it has announced that it leaves.
UPSTREAM_READ_PAUSE_SECONDS = 0.5
# Pause after a failed read; it is drawn between half of it and all of it.
FAILED_READ_PAUSE_SECONDS = 0.3
# Entries that expired during an outage of the log are among the first records
# read after it; what vanishes later than this has left.
LAPSE_READ_SECONDS = 1.0
EXPIRY_CHECK_SECONDS = 0.25

# A router that is behind a peer asks it for the difference after this long;
# its own read brings most changes sooner.
CATCH_UP_DELAY_SECONDS = 0.3
# While the log cannot be read, a peer is asked this often.
RELAY_INTERVAL_SECONDS = 0.5
# Peers that are told of a change, in the own data centre and in each other.
NOTICE_LOCAL_FANOUT = 4
NOTICE_REMOTE_FANOUT = 1

# Pause between two tries to register this router and to list the others.
REGISTER_PAUSE_SECONDS = 0.5
# Registered routers that started longer ago than this are not contacted; the
# fleet replaces its VMs more often.
STALE_MEMBER_SECONDS = 7 * 86_400.0
