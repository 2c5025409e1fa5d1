"""Constants of the log service component."""

# Connecting within a region takes milliseconds; a slower attempt has failed.
CONNECT_TIMEOUT_SECONDS = 1.0
# Slow periods of the log service last seconds. A caller that waits for a claim
# is better served by an error than by a longer wait.
APPEND_TIMEOUT_SECONDS = 3.0
# Added to the time for which the log service may hold a read until a record
# arrives.
READ_TIMEOUT_MARGIN_SECONDS = 2.0
# Idle connections are closed early, because an append on a dead connection
# fails only after its timeout.
KEEPALIVE_SECONDS = 5.0
READ_LIMIT_RECORDS = 1000

# Status codes with which the log service guarantees that nothing was appended.
NOT_WRITTEN_STATUSES = frozenset({429, 503})

METRIC_APPENDS = "log_appends"
METRIC_APPENDED_RECORDS = "log_appended_records"
METRIC_READ_FAILURES = "log_read_failures"
