"""Constants of the administration API component."""

OPEN_PATHS = frozenset({"/live", "/ready", "/metrics"})
API_TITLE = "lacewingspar administration API"
API_VERSION = "1"
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_EDIT_ID_CHARACTERS = 255
