"""Constants of the configuration component."""

# Time that the log service delays a read if there is no new record. It limits
# how long a dead connection blocks the reader.
LONG_POLL_SECONDS = 5.0
# Delay after a failed read, which limits the request rate during an outage.
READ_RETRY_SECONDS = 0.5
# Interval of the exchange with peers. Two intervals plus a heartbeat interval
# are below the propagation target of 3 s.
PEER_EXCHANGE_SECONDS = 0.5
# Number of routers that send records to a peer that is behind, in case one of
# them cannot reach the peer.
SENDERS_PER_PEER = 2
# Maximum size of the records in one message to a peer.
PEER_MESSAGE_BYTES = 256 * 1024
# Longest wait until an edit is read back; the append itself takes up to 4 s.
PUBLISH_TIMEOUT_SECONDS = 10.0

RANK_KEY_SNAPSHOT = "configuration-snapshot"

METRIC_APPLIED_OFFSET = "configuration_applied_offset"
METRIC_SNAPSHOTS = "configuration_snapshots"
