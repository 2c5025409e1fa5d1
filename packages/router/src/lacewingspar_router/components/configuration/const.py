"""Constants of the configuration component."""

# Time that a read waits at the log service. It bounds how long a connection
# that has gone silent holds up the reader.
LONG_POLL_SECONDS = 5.0
# Pause after a failed read, so that an outage causes few requests.
READ_RETRY_SECONDS = 0.5
# Period of the exchange with peers. Twice this time plus a heartbeat is below
# the propagation target of 3 s.
PEER_EXCHANGE_SECONDS = 0.5
# A peer that is behind gets the records from this many routers, so that one
# of them may be cut off from it.
SENDERS_PER_PEER = 2
# Records passed on to a peer in one message.
PEER_MESSAGE_BYTES = 256 * 1024
# Longest wait for an edit to be read back; the append itself takes up to 4 s.
PUBLISH_TIMEOUT_SECONDS = 10.0

RANK_KEY_SNAPSHOT = "configuration-snapshot"

METRIC_APPLIED_OFFSET = "configuration_applied_offset"
METRIC_SNAPSHOTS = "configuration_snapshots"
