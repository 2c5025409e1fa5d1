"""Names of headers, calls and words on the platform's wire."""

# Headers of callers' requests.
HEADER_REQUEST_ID = b"x-attempt-id"
HEADER_TIME_LEFT_MS = b"x-time-budget-ms"
HEADER_AUTHORIZATION = b"authorization"
# Number of prompt tokens and largest number of output tokens.
HEADER_TOKEN_COUNTS = b"x-token-counts"
# Estimate of the output tokens; often far off.
HEADER_OUTPUT_ESTIMATE = b"x-length-hint"
# Parts of the prompt in order, each `ID:TOKENS`; the last one is not shared.
HEADER_PROMPT_PARTS = b"x-prompt-prefix"
HEADER_LAST_EVENT_ID = b"last-event-id"

# Set by a router that hands a request over to another one: milliseconds since
# it arrived.
HEADER_HANDED_OVER_MS = b"x-lacewingspar-waited-ms"

# Headers that only the router sets on requests to upstreams.
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
        HEADER_HANDED_OVER_MS,
        b"x-expect-version",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"expect",
        b"content-length",
    }
)

# Headers of upstreams' answers.
# Proof that the answer is the upstream's own.
HEADER_SEAL = b"x-server-seal"
HEADER_NOT_RUN = b"x-not-executed"
HEADER_CONTENT_ENCODING = b"content-encoding"

AUTHORIZATION_SCHEME = "token "
EVENT_STREAM = b"text/event-stream"

# Calls of the store.
CALL_APPEND = "/log-append"
CALL_READ = "/log-read"
CALL_NEWEST = "/log-newest"

TOPIC_CONFIGURATION = "keyed.op"
KEY_CONFIGURATION = "config"
TOPIC_UPSTREAMS = "keyed.servers"
# Topic of the routers' own.
TOPIC_ROUTERS = "keyed.lacewingspar-routers"
