"""Constants of the upstreams component."""

CONNECT_TIMEOUT_SECONDS = 2.0
# A dead idle connection is noticed only by its next call, so idle connections
# are closed after this time.
IDLE_EXPIRY_SECONDS = 5.0
# An upstream counts as crashed if it does not respond within this time after a
# broken call.
UP_CHECK_TIMEOUT_SECONDS = 1.0
WRITE_TIMEOUT_SECONDS = 30.0
# Limits only idle connections; the slots limit the calls per upstream.
MAX_IDLE_CONNECTIONS = 256

# Set by an upstream on a 503 response to a call that it did not start.
HEADER_NOT_RUN = b"x-not-run"
STATUS_UNAVAILABLE = 503
# Number of upstreams that are called to check whether another data centre is
# reachable.
MAX_REACHABILITY_CHECKS = 4
