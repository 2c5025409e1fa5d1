"""Constants of the claims component."""

# Time that a read waits at the log service.
LONG_POLL_SECONDS = 5.0
# Pause after a failed read or append, so that an outage causes few requests.
RETRY_SECONDS = 0.5
# Longest wait for a claim to be read back; half of the time within which it
# may be used, so that a granted claim is of use.
CLAIM_TIMEOUT_SECONDS = 5.0
# Longest wait for a release to be read back before the caller is answered.
RELEASE_TIMEOUT_SECONDS = 5.0
# Longest time that a stopping router waits for its outcomes to be written.
FLUSH_TIMEOUT_SECONDS = 5.0

METRIC_CLAIMS = "claims"
METRIC_CLAIM_ENTRIES = "claim_entries"
