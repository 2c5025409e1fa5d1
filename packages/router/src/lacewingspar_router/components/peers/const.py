"""Constants of the peers component."""

# ZMTP pings detect dead connections, which ZeroMQ then reopens.
PING_INTERVAL_SECONDS = 1.0
PING_TIMEOUT_SECONDS = 3.0
RECONNECT_INTERVAL_SECONDS = 0.1
RECONNECT_MAX_INTERVAL_SECONDS = 1.0
# Messages that are queued per peer. Further ones are dropped, since every
# message is repeated or has a timeout.
SEND_QUEUE_MESSAGES = 1000
MAX_MESSAGE_BYTES = 64 * 1024 * 1024

# The traffic is logged once for this many heartbeats.
HEARTBEATS_PER_TRAFFIC_LINE = 10

METRIC_SENT_BYTES = "peer_sent_bytes"
METRIC_RECEIVED_BYTES = "peer_received_bytes"
METRIC_SOCKETS = "peer_sockets"
METRIC_FOREIGN_MESSAGES = "foreign_peer_messages_total"
