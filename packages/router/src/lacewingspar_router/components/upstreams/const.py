"""Constants of the upstreams component."""

CONNECT_TIMEOUT_SECONDS = 2.0
# A connection that has gone silent is noticed only when it is used, so idle
# connections are closed after this time.
IDLE_EXPIRY_SECONDS = 5.0
# After a broken call, an upstream that does not answer within this time counts
# as crashed.
UP_CHECK_SECONDS = 1.0
WRITE_TIMEOUT_SECONDS = 30.0
# Slots limit the calls per upstream; this limits the idle connections only.
MAX_IDLE_CONNECTIONS = 256

# An upstream sets this header on a 503 answer to a call that it did not start.
HEADER_NOT_RUN = b"x-not-run"
STATUS_UNAVAILABLE = 503
# Upstreams of another data centre that are asked whether the network to it
# works.
REACH_CHECKS = 4
