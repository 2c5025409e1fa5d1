"""Constants of the quarantine component."""

# A request whose caller has disconnected may still crash its upstream, so it
# counts as in flight for this time. Load polls detect a crash within 1 s.
ABANDONED_RUN_SECONDS = 2.0
# Interval at which a waiting suspect rechecks the upstreams, in case a change
# was not announced.
RECHECK_INTERVAL_SECONDS = 0.25

METRIC_CRASHES = "upstream_crashes_total"
