"""Constants of the forwarding component."""

# Largest answer that is read whole before it is passed on; larger ones would
# fill the memory of a small VM.
LARGEST_ANSWER_BYTES = 8 * 1024 * 1024
# Answers to earlier requests, which come late, that are skipped before the one
# to the present request; a connection has one request at a time.
MOST_STRAY_ANSWERS = 4
# Connections that carry requests which must not run twice are reused only
# after a short idle time, so that the peer is not about to close them.
SINGLE_RUN_IDLE_SECONDS = 1.0
# An upstream that stops work at the deadline needs this long to say so.
DEADLINE_GRACE_SECONDS = 0.05
# A router that took a request over may say this much later that the deadline
# has passed.
HAND_OVER_GRACE_SECONDS = 0.1
# A repeatable request whose answer has not begun after this many times its
# aim, and at least this long, is sent elsewhere.
SILENT_AIM_FACTOR = 4.0
SILENT_LEAST_SECONDS = 0.5
# A stream that pauses for this many times its longest pause in time, and at
# least this long, goes on elsewhere, before callers give it up.
PAUSE_FACTOR = 4.0
PAUSE_LEAST_SECONDS = 1.0
# A request is tried again only with at least this much time left.
LEAST_RETRY_SECONDS = 0.1
# Callers of a router without configuration come back after this long.
NOT_READY_RETRY_SECONDS = 0.5
# Interval at which the delay of the event loop is measured.
DELAY_SAMPLE_SECONDS = 0.1
# Part of the descriptors that connections of callers may take before idle ones
# are closed; upstreams, other routers and files share the rest.
CALLER_DESCRIPTOR_FRACTION = 0.45
# Part of the descriptors that connections to other routers may take for
# requests that are handed over.
HAND_OVER_DESCRIPTOR_FRACTION = 0.12
# Idle connections that are kept to each of these routers. A data centre has
# some 30, so that they take a few hundredths of the descriptors.
HAND_OVER_IDLE_CONNECTIONS = 4
# Interval of the log lines about the load of the router.
LOAD_LINE_SECONDS = 1.0
# Callers of a router that is overloaded come back after one to two times this
# long. Most of their deadlines are some seconds away.
OVERLOADED_RETRY_SECONDS = 0.8
# Part of the grace after the signal to stop in which new requests are still
# taken. The platform goes on sending them until it has asked twice, once a
# second; a longer time would take streams that cannot end before the kill.
ACCEPT_GRACE_FRACTION = 0.28
# A process that has died has closed its listener this long after its
# connections broke.
CRASH_CHECK_DELAY_SECONDS = 0.02
# Runs that broke count as suspects of a crash noticed this much later.
CRASH_MEMORY_SECONDS = 0.5
IDLE_CHECK_SECONDS = 1.0
