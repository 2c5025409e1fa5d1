"""Constants of the log service component."""

# A connection within a region takes milliseconds; a longer attempt is lost.
CONNECT_TIMEOUT_SECONDS = 1.0
# Slow periods of the log service take seconds. A caller that waits for a
# claim longer than this is better off with a refusal.
APPEND_TIMEOUT_SECONDS = 3.0
# Added to the time that a read waits at the service for a record.
READ_TIMEOUT_MARGIN_SECONDS = 2.0
# Idle connections are closed early, since one that has gone silent would cost
# the next append its timeout.
KEEPALIVE_SECONDS = 5.0
# Records that one read returns at most.
READ_LIMIT_RECORDS = 1000

# Answers by which the service says that it has not appended anything.
NOT_WRITTEN_STATUSES = frozenset({429, 503})

METRIC_APPENDS = "log_appends"
METRIC_APPENDED_RECORDS = "log_appended_records"
METRIC_READ_FAILURES = "log_read_failures"
