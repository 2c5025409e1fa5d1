"""Encodes and decodes the platform's request and response headers."""

import re

import structlog
import xxhash

from lacewingspar_core.directory import UpstreamEntry
from lacewingspar_core.prefix_cache import PromptPart
from lacewingspar_core.upstream_notices import (
    Leaving,
    RetryAfter,
    UpstreamNotice,
)
from lacewingspar_router.components.forwarding import refusals
from lacewingspar_router.components.forwarding.models import (
    Call,
    CallerIdentity,
    RequestMetadata,
    ResponseInfo,
)
from lacewingspar_router.errors import RequestRefusedError
from lacewingspar_router.hand_over_tokens import HandOverTokens
from lacewingspar_router.http1.messages import (
    HttpRequest,
    Response,
    ResponseHead,
    encode_head,
)
from lacewingspar_router.http_headers import RawHeaders, end_to_end_headers
from lacewingspar_router.platform import names
from lacewingspar_router.platform.header_numbers import (
    HeaderNumberError,
    NumberRange,
    read_number,
)
from lacewingspar_router.platform.instance_load import InstanceLoads

# Expected fraction of the maximum number of output tokens if the caller sends
# no estimate.
_DEFAULT_OUTPUT_FRACTION = 0.5
_STATUS_MISDIRECTED = 421
_STATUS_UNAVAILABLE = 503
# Head of a response to a request of the platform, up to the id of the request.
# The limits keep the search of any body short.
_RESPONSE_HEAD = re.compile(
    rb"HTTP/1\.[01] [1-5]\d\d[^\r\n]{0,80}\r\n"
    rb"(?:(?!HTTP/)[^\r\n]{1,1000}\r\n){0,30}?"
    + names.HEADER_REQUEST_ID
    + b":",
    re.IGNORECASE,
)
# More tokens than any upstream has memory for.
_TOKENS = NumberRange(maximum=1_000_000_000)
# 30 years; the limit of the route is far below.
_MILLISECONDS = NumberRange(maximum=1_000_000_000_000, is_whole=False)
_VERSION = NumberRange(maximum=2**63 - 1)
# HTTP also allows a date, which is ignored as the clocks of upstreams may
# differ. The router bounds the time that it waits.
_RETRY_SECONDS = NumberRange(maximum=float("inf"), is_whole=False)
_PART_ID = re.compile(r"[0-9a-fA-F]+")
# Hexadecimal digits of the longest part id that is its own key.
_PART_KEY_DIGITS = 16

_LOGGER = structlog.get_logger(__name__)


class PlatformWireFormat:
    """Implements the wire format of the platform.

    Args:
        tokens: Tokens of routers, of which the own one proves a hand-over.
    """

    def __init__(self, tokens: HandOverTokens) -> None:
        self._tokens = tokens
        self._instance_loads = InstanceLoads()

    def parse_request_id(self, request: HttpRequest) -> str:
        """Return the identifier of a request, or ""."""
        return _header_text(request.value_by_header, names.HEADER_REQUEST_ID)

    def parse_identity(self, request: HttpRequest) -> CallerIdentity:
        """Return the caller's identity; cheaper than `parse_metadata`.

        Raises:
            RequestRefusedError: A header that it reads is invalid.
        """
        values = request.value_by_header
        return CallerIdentity(
            request_id=_header_text(values, names.HEADER_REQUEST_ID),
            host=_host(values),
            key=_key(values),
            time_budget_seconds=_time_budget(values),
        )

    def parse_metadata(self, request: HttpRequest) -> RequestMetadata:
        """Return the metadata in the request headers.

        Raises:
            RequestRefusedError: A required header is invalid.
        """
        values = request.value_by_header
        is_handed_over = self._is_handed_over(values)
        prompt_tokens, max_output_tokens = _token_counts(values)
        shared, own = _prompt(values, prompt_tokens)
        return RequestMetadata(
            request_id=_header_text(values, names.HEADER_REQUEST_ID),
            host=_host(values),
            key=_key(values),
            time_budget_seconds=_time_budget(values),
            shared_parts=shared,
            own_tokens=own,
            output_tokens=_output_tokens(values, max_output_tokens),
            last_event_id=values.get(names.HEADER_LAST_EVENT_ID) or None,
            handed_over_after_seconds=(
                _handed_over_after(values) if is_handed_over else None
            ),
            min_configuration_version=(
                _min_version(values) if is_handed_over else None
            ),
        )

    def _is_handed_over(self, values: dict[bytes, bytes]) -> bool:
        """Return whether a router of the fleet has sent the request."""
        token = values.get(names.HEADER_HAND_OVER_TOKEN)
        if token is None:
            return False
        if self._tokens.is_own(token):
            return True
        _LOGGER.warning(
            "token of a hand-over is wrong; taken for a caller's request",
            request_id=_header_text(values, names.HEADER_REQUEST_ID),
        )
        return False

    def encode_handed_over_request(
        self,
        request: HttpRequest,
        token: str,
        waited_seconds: float,
        configuration_version: int,
    ) -> bytes:
        """Encode a request that is handed over to another router."""
        headers = end_to_end_headers(request.headers, _REWRITTEN_HEADERS)
        waited_ms = max(0, int(waited_seconds * 1000))
        headers += [
            (names.HEADER_HAND_OVER_TOKEN, token.encode()),
            (names.HEADER_HANDED_OVER_MS, b"%d" % waited_ms),
            (names.HEADER_CONFIGURATION_VERSION, b"%d" % configuration_version),
            (b"content-length", b"%d" % len(request.body)),
        ]
        first_line = f"{request.method} {request.target} HTTP/1.1"
        return encode_head(first_line, headers) + request.body

    def encode_upstream_request(
        self,
        call: Call,
        upstream: UpstreamEntry,
        time_budget_seconds: float,
        resume_after: bytes | None,
        fetch_from: str,
    ) -> bytes:
        """Encode a request to an upstream."""
        request = call.request
        headers = end_to_end_headers(request.headers, names.ROUTER_HEADERS)
        time_left_ms = max(1, int(time_budget_seconds * 1000))
        headers += [
            (names.HEADER_TIME_LEFT_MS, b"%d" % time_left_ms),
            (names.HEADER_EXPECTED_UPSTREAM, upstream.upstream_id.encode()),
        ]
        if call.workspace:
            headers.append((names.HEADER_WORKSPACE, call.workspace.encode()))
        if resume_after is not None:
            headers.append((names.HEADER_LAST_EVENT_ID, resume_after))
        if fetch_from:
            headers.append((names.HEADER_FETCH_PARTS_FROM, fetch_from.encode()))
        if request.body or request.method not in _METHODS_WITHOUT_BODY:
            headers.append((b"content-length", b"%d" % len(request.body)))
        first_line = f"{request.method} {request.target} HTTP/1.1"
        return encode_head(first_line, headers) + request.body

    def parse_response_head(
        self, call: Call, upstream: UpstreamEntry, head: ResponseHead
    ) -> ResponseInfo:
        """Interpret the status and headers of a response."""
        values = dict(head.headers)
        response_request_id = values.get(names.HEADER_REQUEST_ID)
        is_declared_not_run = names.HEADER_NOT_RUN in values
        is_misdirected = head.status == _STATUS_MISDIRECTED
        content_type = values.get(b"content-type", b"")
        return ResponseInfo(
            is_for_request=(
                response_request_id is None
                or response_request_id.decode("latin-1")
                == call.metadata.request_id
            ),
            names_request=bool(response_request_id),
            is_sealed=names.HEADER_SERVER_SEAL in values
            and response_request_id is not None,
            is_declared_not_run=is_declared_not_run,
            is_wrong_upstream=is_misdirected,
            is_event_stream=content_type.startswith(names.EVENT_STREAM),
            is_encoded=(
                values.get(names.HEADER_CONTENT_ENCODING, b"identity")
                != b"identity"
            ),
            notice=_notice(upstream, head.status, values),
            load=(
                None
                if is_misdirected
                else self._instance_loads.read(
                    upstream.upstream_id,
                    _header_text(values, names.HEADER_INSTANCE_LOAD),
                )
            ),
        )

    def holds_other_response(self, body: bytes) -> bool:
        """Return whether a body without framing runs into another response."""
        return _RESPONSE_HEAD.search(body) is not None

    def response_headers(self, headers: RawHeaders) -> RawHeaders:
        """Return the upstream's response headers to pass on to the caller."""
        return end_to_end_headers(headers, frozenset({b"content-length"}))

    def refusal_response(
        self, error: RequestRefusedError, request_id: str
    ) -> Response:
        """Return the response to a request that was refused or failed."""
        headers: RawHeaders = [(b"content-type", b"text/plain")]
        if request_id:
            headers.append(
                (names.HEADER_REQUEST_ID, request_id.encode("latin-1"))
            )
        if error.retry_after_seconds is not None:
            seconds = f"{error.retry_after_seconds:.3f}"
            headers.append((b"retry-after", seconds.encode()))
        body = f"{error.code}: {error.message}\n".encode()
        return Response(error.status, headers, body)


_REWRITTEN_HEADERS = frozenset(
    {
        names.HEADER_HAND_OVER_TOKEN,
        names.HEADER_HANDED_OVER_MS,
        names.HEADER_CONFIGURATION_VERSION,
        b"content-length",
        b"expect",
    }
)
_METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})


def _notice(
    upstream: UpstreamEntry, status: int, values: dict[bytes, bytes]
) -> UpstreamNotice | None:
    """Return what the expected upstream announces in a response."""
    if status == _STATUS_MISDIRECTED:
        return None
    if _header_text(values, names.HEADER_LEAVING) == "1":
        return Leaving()
    text = _header_text(values, names.HEADER_RETRY_AFTER)
    if status != _STATUS_UNAVAILABLE or not text:
        return None
    try:
        return RetryAfter(read_number(text, _RETRY_SECONDS))
    except HeaderNumberError:
        _LOGGER.warning(
            "Retry-After ignored: not a number of seconds",
            upstream=upstream.upstream_id,
            value=text,
        )
        return None


def _header_text(values: dict[bytes, bytes], name: bytes) -> str:
    return values.get(name, b"").decode("latin-1").strip()


def _read_header_number(name: bytes, text: str, accepted: NumberRange) -> float:
    """Return a number in a header of a request.

    Raises:
        RequestRefusedError: The text is no number in the range.
    """
    try:
        return read_number(text.strip(), accepted)
    except HeaderNumberError as error:
        raise refusals.bad_header(name.decode(), str(error)) from error


def _optional_number(
    values: dict[bytes, bytes], name: bytes, accepted: NumberRange
) -> float | None:
    """Return the number in a header, or None if it is missing or empty.

    Raises:
        RequestRefusedError: It holds something else.
    """
    text = _header_text(values, name)
    return _read_header_number(name, text, accepted) if text else None


def _hint(
    values: dict[bytes, bytes], name: bytes, accepted: NumberRange
) -> float | None:
    """Return the number in a header that may be wrong, or None."""
    text = _header_text(values, name)
    if not text:
        return None
    try:
        return read_number(text, accepted)
    except HeaderNumberError:
        return None


def _host(values: dict[bytes, bytes]) -> str:
    host = _header_text(values, b"host").lower()
    return host.partition(":")[0]


def _key(values: dict[bytes, bytes]) -> str:
    authorization = _header_text(values, names.HEADER_AUTHORIZATION)
    if not authorization.lower().startswith(names.AUTHORIZATION_SCHEME):
        return ""
    return authorization[len(names.AUTHORIZATION_SCHEME) :].strip()


def _time_budget(values: dict[bytes, bytes]) -> float | None:
    milliseconds = _optional_number(
        values, names.HEADER_TIME_LEFT_MS, _MILLISECONDS
    )
    return None if milliseconds is None else milliseconds / 1000


def _handed_over_after(values: dict[bytes, bytes]) -> float | None:
    waited_ms = _hint(values, names.HEADER_HANDED_OVER_MS, _MILLISECONDS)
    return None if waited_ms is None else waited_ms / 1000


def _min_version(values: dict[bytes, bytes]) -> int | None:
    version = _hint(values, names.HEADER_CONFIGURATION_VERSION, _VERSION)
    return None if version is None else int(version)


def _prompt(
    values: dict[bytes, bytes], total: int
) -> tuple[tuple[PromptPart, ...], int]:
    """Return the shared parts of a prompt and the number of other tokens."""
    text = _header_text(values, names.HEADER_PROMPT_PARTS)
    if not text:
        return (), total
    parts = [_prompt_part(item.strip()) for item in text.split(",")]
    shared = tuple(parts[:-1])
    rest = total - sum(part.tokens for part in shared)
    return shared, max(parts[-1].tokens, rest, 0)


def _prompt_part(item: str) -> PromptPart:
    name = names.HEADER_PROMPT_PARTS
    part_id, _, tokens = item.partition(":")
    if not _PART_ID.fullmatch(part_id):
        raise refusals.bad_header(name.decode(), "an id is not hexadecimal")
    return PromptPart(
        _part_key(part_id), int(_read_header_number(name, tokens, _TOKENS))
    )


def _part_key(part_id: str) -> int:
    """Return the key of a part, which messages carry in 64 bits."""
    digits = part_id.lstrip("0").lower()
    if len(digits) <= _PART_KEY_DIGITS:
        return int(digits or "0", 16)
    return xxhash.xxh64_intdigest(digits.encode())


def _token_counts(values: dict[bytes, bytes]) -> tuple[int, int]:
    """Return the tokens of the prompt and the maximum of the response."""
    name = names.HEADER_TOKEN_COUNTS
    text = _header_text(values, name)
    if not text:
        return 0, 0
    prompt, has_output, output = text.partition(",")
    prompt_tokens = int(_read_header_number(name, prompt, _TOKENS))
    if not has_output:
        return prompt_tokens, 0
    return prompt_tokens, int(_read_header_number(name, output, _TOKENS))


def _output_tokens(values: dict[bytes, bytes], max_output_tokens: int) -> int:
    estimate = _hint(values, names.HEADER_OUTPUT_ESTIMATE, _TOKENS)
    if estimate is not None:
        return int(
            min(estimate, max_output_tokens) if max_output_tokens else estimate
        )
    return int(max_output_tokens * _DEFAULT_OUTPUT_FRACTION)
