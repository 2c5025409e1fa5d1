"""Constants of the caller API component."""

PATH_CHAT = "/v1/chat/completions"
PATH_MODELS = "/v1/models"
PATH_SERVICES = "/services/"

# Limits the memory that one caller can use for headers.
MAX_HEADER_BYTES = 32 * 1024
# Without this limit, a caller that stops sending its body would delay a drain.
BODY_READ_TIMEOUT_SECONDS = 30.0
MAX_DEADLINE_MS = 86_400_000
MAX_COST_HINT_SLOT_SECONDS = 86_400.0
MAX_KEY_CHARACTERS = 255

HEADER_AUTHORIZATION = b"authorization"
HEADER_CLASS = b"x-request-class"
HEADER_COST_HINT = b"x-cost-hint"
HEADER_DEADLINE = b"x-deadline-ms"
HEADER_KEY = b"idempotency-key"
HEADER_REPLAYED = b"idempotent-replayed"

RETRY_AFTER_STATE_SECONDS = 1.0
RETRY_AFTER_FAILURE_SECONDS = 1.0
RETRY_AFTER_CLAIM_SECONDS = 2.0

# Maximum delay of a refusal until the release of its claim is confirmed. If it
# is not confirmed, the run state of the refusal is `unknown`.
CLAIM_RELEASE_TIMEOUT_SECONDS = 1.0

# Interval at which a queued suspect request checks again which upstreams are
# free of other suspects.
SUSPECT_RECHECK_SECONDS = 1.0

# Largest response that is recorded in the claim stream (section 8 of the
# design).
MAX_RECORDED_RESPONSE_BYTES = 8 * 1024

END_MARKER = b"data: [DONE]"
# A larger event is forwarded before it is complete.
MAX_BUFFERED_EVENT_BYTES = 1024 * 1024
# Length of the end of a response that is searched for the end marker and the
# token counts.
RESPONSE_TAIL_BYTES = 4 * 1024

MAX_RECENT_PATHS = 1000

METRIC_CHART_ERRORS = "request_chart_errors_total"
