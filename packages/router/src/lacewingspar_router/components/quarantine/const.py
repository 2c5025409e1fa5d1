"""Constants of the quarantine component."""

# A request that its caller has left may still crash its upstream, and counts
# as in flight for this time. Load polls find a crash within 1 s.
LEFT_RUN_SECONDS = 2.0
# Interval at which a waiting suspect looks again for an upstream, in case no
# change was announced.
RECHECK_SECONDS = 0.25

METRIC_CRASHES = "upstream_crashes_total"
