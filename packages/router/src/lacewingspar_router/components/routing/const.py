"""Constants of the routing component."""

# A waiting read ends after this long, so that a connection that has gone
# silent is found while a change can still come into force in time.
CONFIGURATION_READ_WAIT_SECONDS = 2.0
# The same for the list of upstreams. With the pause between two reads it stays
# below `CONFIRMATION_SECONDS`.
UPSTREAM_READ_WAIT_SECONDS = 0.5
# Pause between two reads of the configuration, which bounds the calls while
# versions follow each other quickly.
CONFIGURATION_READ_PAUSE_SECONDS = 0.2
# Pause between two reads of the list of upstreams, whose entries are renewed
# all the time. Together with a read it stays below the time that an upstream
# goes on serving after it has announced that it leaves.
UPSTREAM_READ_PAUSE_SECONDS = 0.5
# Pause after a failed read; it is drawn between half of it and all of it.
FAILED_READ_PAUSE_SECONDS = 0.3
# The same for a router that follows readers, which make the first calls after
# an outage.
FOLLOWER_FAILED_READ_PAUSE_SECONDS = 1.5
# Routers of each data centre that read the topics; two, so that the loss of one
# goes unnoticed.
READERS_PER_DATA_CENTRE = 2
# A router without a confirmation for this long reads itself. Readers confirm
# after each read of the list of upstreams, some twice a second; a change of
# the configuration has to be in force within 2 s at the least.
CONFIRMATION_SECONDS = 1.2
# Entries that expired during an outage of the log are among the first records
# read after it; what vanishes later than this has left.
LAPSE_READ_SECONDS = 1.0
EXPIRY_CHECK_SECONDS = 0.25

# A router that is behind a peer asks it for the difference after this long;
# its own read brings most changes sooner.
CATCH_UP_DELAY_SECONDS = 0.3
# A reply to a request for shared state takes less than this; notices that come
# in the meantime ask for nothing more.
ASK_AGAIN_SECONDS = 0.2
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
