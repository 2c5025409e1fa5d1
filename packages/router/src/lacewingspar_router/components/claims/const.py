"""Constants of the claims component."""

# Time that the log service delays a read if there is no new record.
LONG_POLL_SECONDS = 5.0
# Delay after a failed read or append, which limits the request rate during an
# outage.
RETRY_DELAY_SECONDS = 0.5
# Longest wait until a claim is read back. Half of the time within which a claim
# may be used, so that enough time is left to send the call.
CLAIM_TIMEOUT_SECONDS = 5.0
# Longest wait until a release is read back.
RELEASE_TIMEOUT_SECONDS = 5.0
# Longest wait of a stopping router until its outcomes and releases are written.
FLUSH_TIMEOUT_SECONDS = 5.0

METRIC_CLAIMS = "claims"
METRIC_CLAIM_ENTRIES = "claim_entries"
