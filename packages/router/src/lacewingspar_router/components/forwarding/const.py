"""Constants of the forwarding component."""

# Largest response body that is buffered before it is relayed; larger ones would
# exhaust the memory of a small VM.
MAX_BUFFERED_RESPONSE_BYTES = 8 * 1024 * 1024
# Memory for the bodies of all responses that are being read, as a fraction of
# the budget for callers. It comes on top of that.
RESPONSE_MEMORY_FRACTION = 1 / 2
# Late responses to earlier requests that are skipped before the response to the
# current request. A connection has one request in flight.
MAX_STALE_RESPONSES = 4
# Requests that must not run twice reuse only connections that were idle for at
# most this long, as the peer may be about to close older ones.
NON_REPEATABLE_MAX_IDLE_SECONDS = 1.0
# Time that an upstream needs to report that it stopped at the deadline.
UPSTREAM_DEADLINE_GRACE_SECONDS = 0.05
# Time after the deadline in which a neighbour may still report that a request
# handed over to it missed the deadline.
HAND_OVER_DEADLINE_GRACE_SECONDS = 0.1
# Another upstream is sought for a repeatable request if its upstream has sent
# nothing for this multiple of its latency target, and at least the minimum
# time.
RESPONSE_SILENCE_TARGET_FACTOR = 4.0
MIN_RESPONSE_SILENCE_SECONDS = 0.5
# Another upstream is sought for a repeatable stream after a gap of this
# multiple of its event gap target, and at least the minimum time, before
# callers abort.
EVENT_GAP_FACTOR = 4.0
MIN_EVENT_GAP_SECONDS = 1.0
# Interval at which an upstream that is silent is checked.
SILENCE_CHECK_INTERVAL_SECONDS = 0.1
# Time after the start of a silence check in which the event loop reads data
# that arrived while it was held up.
SILENCE_CONFIRM_SECONDS = 0.01
# Time for which a silent upstream is kept beside the one that is to replace it,
# unless that one responds before. The platform lets two upstreams work on one
# request for 0.4 s; the rest is left for delays of the event loop and network.
REPLACEMENT_RESPONSE_SECONDS = 0.2
# A request is retried only if at least this much time remains.
MIN_RETRY_TIME_LEFT_SECONDS = 0.1
# Retry-After of refusals that have no better estimate, such as "not_ready".
DEFAULT_RETRY_AFTER_SECONDS = 0.5
# Retry-After of a router that is shutting down. Retries reach other routers,
# which can serve them at once.
STOPPING_RETRY_AFTER_SECONDS = 0.1
# Interval at which the delay of the event loop is measured.
LOOP_DELAY_SAMPLE_INTERVAL_SECONDS = 0.1
# Fraction of the file descriptors that caller connections may use before idle
# ones are closed; upstreams, other routers and files share the rest.
CALLER_DESCRIPTOR_FRACTION = 0.45
# Fraction of the file descriptors for connections that hand requests over to
# other routers.
HAND_OVER_DESCRIPTOR_FRACTION = 0.12
# Idle connections kept to each of these routers. A data centre has about 30
# routers, so they take a few percent of the descriptors.
HAND_OVER_MAX_IDLE_CONNECTIONS = 4
# Interval of the "router load" log lines.
LOAD_LOG_INTERVAL_SECONDS = 1.0
# Callers of an overloaded router retry after one to two times this long. Most
# of their deadlines are a few seconds away.
OVERLOADED_RETRY_AFTER_SECONDS = 0.8
# Fraction of the stop grace period in which new requests are still accepted.
# The platform sends requests until two readiness checks, one second apart, have
# failed. A longer time would accept streams that cannot end before the platform
# kills the process.
DRAIN_ACCEPT_FRACTION = 0.28
# Time after which a crashed process has closed its listener, counted from the
# break of its connections.
CRASH_CHECK_DELAY_SECONDS = 0.02
# Time for which a broken run remains a suspect for a crash of its upstream.
CRASH_SUSPECT_RETENTION_SECONDS = 0.5
# Requests and prompt parts in the log line of a crash. Most crashes leave fewer
# requests without output; more would only lengthen the line.
MAX_LOGGED_SUSPECTS = 16
STALE_CONNECTION_CHECK_INTERVAL_SECONDS = 1.0
