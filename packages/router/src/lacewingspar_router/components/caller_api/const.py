"""Constants of the caller API component."""

PATH_CHAT = "/v1/chat/completions"
PATH_MODELS = "/v1/models"
PATH_SERVICES = "/services/"

# Larger than any header that the protocol of a caller needs. It keeps a
# caller from filling the memory of a router with headers.
MAX_HEADER_BYTES = 32 * 1024
# A caller that stops sending its body would otherwise delay a drain.
BODY_IDLE_SECONDS = 30.0
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

# A refusal waits at most this long for the release of its claim, since refusals
# are prompt. Without a confirmed release it says that the run is unknown.
RELEASE_LIMIT_SECONDS = 1.0

# A suspect that waits in the queue looks again after this time for upstreams
# without other suspects.
SUSPECT_QUEUE_SECONDS = 1.0

# The claim stream keeps answers up to this size (section 8 of the design).
MAX_KEPT_ANSWER_BYTES = 8 * 1024

END_MARKER = b"data: [DONE]"
# An event that is larger than this is passed on before it is complete.
MAX_HELD_EVENT_BYTES = 1024 * 1024
# The end of an answer that is searched for the end marker and token counts.
TAIL_BYTES = 4 * 1024

KEPT_PATHS = 1000

METRIC_CHART_ERRORS = "request_chart_errors_total"
