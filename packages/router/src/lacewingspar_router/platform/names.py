"""Wire names of the platform: headers, calls and topics."""

# Request headers set by callers.
HEADER_REQUEST_ID = b"x-attempt-id"
HEADER_TIME_LEFT_MS = b"x-time-budget-ms"
HEADER_AUTHORIZATION = b"authorization"
# Number of prompt tokens and maximum number of output tokens.
HEADER_TOKEN_COUNTS = b"x-token-counts"
# Estimated number of output tokens; often inaccurate.
HEADER_OUTPUT_ESTIMATE = b"x-length-hint"
# Parts of the prompt in order, each `ID:TOKENS`. The last one is not shared.
HEADER_PROMPT_PARTS = b"x-prompt-prefix"
HEADER_LAST_EVENT_ID = b"last-event-id"

# Token of the process that a request is handed over to. Without it the two
# headers below mean nothing.
HEADER_HAND_OVER_TOKEN = b"x-lacewingspar-token"
# Milliseconds since the request arrived; set by a router that hands the request
# over to another router.
HEADER_HANDED_OVER_MS = b"x-lacewingspar-waited-ms"
# Configuration version with which that router has accepted the request.
HEADER_CONFIGURATION_VERSION = b"x-lacewingspar-version"

# Headers of requests to upstreams that only the router sets.
HEADER_WORKSPACE = b"x-tenant"
HEADER_EXPECTED_UPSTREAM = b"x-expect-instance"
HEADER_FETCH_PARTS_FROM = b"kv-fetch"
ROUTER_HEADERS = frozenset(
    {
        HEADER_WORKSPACE,
        HEADER_EXPECTED_UPSTREAM,
        HEADER_FETCH_PARTS_FROM,
        HEADER_TIME_LEFT_MS,
        HEADER_AUTHORIZATION,
        HEADER_LAST_EVENT_ID,
        HEADER_HAND_OVER_TOKEN,
        HEADER_HANDED_OVER_MS,
        HEADER_CONFIGURATION_VERSION,
        b"x-expect-version",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"expect",
        b"content-length",
    }
)

# Response headers set by upstreams.
# Present if the upstream itself produced the response.
HEADER_SERVER_SEAL = b"x-server-seal"
HEADER_NOT_RUN = b"x-not-executed"
# Value `1`: the upstream is shutting down.
HEADER_LEAVING = b"server-leaving"
# With status 503: seconds for which the upstream wants no requests.
HEADER_RETRY_AFTER = b"retry-after"
# Running and waiting requests, slots and, on shared machines, how long work
# takes at present in per cent of the usual time.
HEADER_INSTANCE_LOAD = b"x-instance-load"
HEADER_CONTENT_ENCODING = b"content-encoding"

AUTHORIZATION_SCHEME = "token "
EVENT_STREAM = b"text/event-stream"

# Paths of the log service.
CALL_APPEND = "/log-append"
CALL_READ = "/log-read"
CALL_NEWEST = "/log-newest"

# Response header of the log service: how often it has been restored to an older
# state.
HEADER_STORE_ERA = b"store-era"

TOPIC_CONFIGURATION = "keyed.op"
KEY_CONFIGURATION = "config"
# Prefix of the keys that request the evacuation of a data centre, whose name
# follows.
KEY_PREFIX_EVACUATION = "evacuate/"
TOPIC_UPSTREAMS = "keyed.servers"
# Topic in which routers register.
TOPIC_ROUTERS = "keyed.lacewingspar-routers"
