"""Validation of request headers."""

import math

from lacewingspar_router.components.caller_api.const import (
    HEADER_AUTHORIZATION,
    HEADER_CLASS,
    HEADER_COST_HINT,
    HEADER_DEADLINE,
    HEADER_KEY,
    MAX_COST_HINT_SLOT_SECONDS,
    MAX_DEADLINE_MS,
    MAX_HEADER_BYTES,
    MAX_KEY_CHARACTERS,
)
from lacewingspar_router.components.caller_api.requests import Options
from lacewingspar_router.errors import RequestRefusedError
from lacewingspar_router.http_headers import RawHeaders, header_value

_BEARER = "bearer "


def check_header_size(headers: RawHeaders) -> None:
    """Check the total size of the headers.

    Raises:
        RequestRefusedError: The headers are too large.
    """
    size = sum(len(name) + len(value) for name, value in headers)
    if size > MAX_HEADER_BYTES:
        raise RequestRefusedError(
            431,
            "headers_too_large",
            f"headers have {size} bytes, allowed are {MAX_HEADER_BYTES}",
        )


def bearer_token(headers: RawHeaders) -> str:
    """Return the bearer token.

    Raises:
        RequestRefusedError: The headers have no bearer token.
    """
    value = header_value(headers, HEADER_AUTHORIZATION) or ""
    token = value[len(_BEARER) :].strip()
    if not value.lower().startswith(_BEARER) or not token:
        raise RequestRefusedError(
            401, "token_missing", "the Authorization header has no bearer token"
        )
    return token


def read_options(headers: RawHeaders) -> Options:
    """Parse the request options in the headers.

    Raises:
        RequestRefusedError: The value of an option is invalid.
    """
    return Options(
        deadline_ms=_deadline_ms(header_value(headers, HEADER_DEADLINE)),
        cost_hint=_cost_hint(header_value(headers, HEADER_COST_HINT)),
        request_class=header_value(headers, HEADER_CLASS),
        idempotency_key=_idempotency_key(header_value(headers, HEADER_KEY)),
    )


def _deadline_ms(value: str | None) -> int | None:
    if value is None:
        return None
    is_number = value.isascii() and value.isdigit() and len(value) <= 9
    if not is_number or not 1 <= int(value) <= MAX_DEADLINE_MS:
        raise RequestRefusedError(
            400,
            "bad_deadline",
            f"X-Deadline-Ms must be a whole number from 1 to {MAX_DEADLINE_MS}",
        )
    return int(value)


def _cost_hint(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        hint = float(value)
    except ValueError:
        hint = math.nan
    # The comparison is false for NaN.
    if not 0 < hint <= MAX_COST_HINT_SLOT_SECONDS:
        raise RequestRefusedError(
            400,
            "bad_cost_hint",
            "X-Cost-Hint must be a number of slot-seconds above 0 and up to "
            f"{MAX_COST_HINT_SLOT_SECONDS:g}",
        )
    return hint


def _idempotency_key(value: str | None) -> str | None:
    if value is None:
        return None
    is_visible = all("!" <= character <= "~" for character in value)
    if not is_visible or not 1 <= len(value) <= MAX_KEY_CHARACTERS:
        raise RequestRefusedError(
            400,
            "bad_idempotency_key",
            f"Idempotency-Key must have 1 to {MAX_KEY_CHARACTERS} visible "
            "ASCII characters",
        )
    return value
