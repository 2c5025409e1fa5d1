"""Requests of callers and the interface of their wire format."""

from dataclasses import dataclass
from typing import Protocol

import xxhash

from lacewingspar_core.directory import UpstreamEntry
from lacewingspar_core.prefix_cache import PromptPart
from lacewingspar_core.reported_load import LoadReport
from lacewingspar_core.routing import Route
from lacewingspar_core.upstream_notices import UpstreamNotice
from lacewingspar_router.application import ComponentKey
from lacewingspar_router.errors import RequestRefusedError
from lacewingspar_router.http1.messages import (
    HttpRequest,
    Response,
    ResponseHead,
)
from lacewingspar_router.http_headers import RawHeaders


@dataclass(frozen=True, slots=True)
class CallerIdentity:
    """Headers that identify a request and its caller.

    Attributes:
        request_id: Identifier of the request, or "".
        host: Host name in lower case, without a port.
        key: API key of the caller, or "".
        time_budget_seconds: Time that the caller waits, or None.
    """

    request_id: str
    host: str
    key: str
    time_budget_seconds: float | None


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Values parsed from the headers of a request.

    Attributes:
        request_id: Identifier of the request, or "".
        host: Host name in lower case, without a port.
        key: API key of the caller, or "".
        time_budget_seconds: Time that the caller waits, or None.
        shared_parts: Parts of the prompt that other requests may share.
        own_tokens: Number of prompt tokens outside the shared parts.
        output_tokens: Expected number of tokens of the response, or 0 if
            unknown.
        last_event_id: ID of the last event that the caller received, as the
            caller sent it, or None.
        handed_over_after_seconds: Time between the arrival of the request at
            another router and its hand-over to this one, or None if it came
            from the caller.
        min_configuration_version: Version of the configuration with which the
            router that handed the request over has accepted it, or None.
    """

    request_id: str
    host: str
    key: str
    time_budget_seconds: float | None
    shared_parts: tuple[PromptPart, ...]
    own_tokens: int
    output_tokens: int
    last_event_id: bytes | None
    handed_over_after_seconds: float | None = None
    min_configuration_version: int | None = None


@dataclass(frozen=True, slots=True)
class Call:
    """A request that was accepted for forwarding.

    Times are in seconds on the application's clock.

    Attributes:
        request: The request as received.
        metadata: Values parsed from its headers.
        route: Route that matched the request.
        service: Service that serves the request.
        workspace: Workspace of the caller, or "" without one.
        arrived_at: Arrival time at the first router.
        deadline_at: Time by which the response must be complete.
        configuration_version: Version of the configuration with the route.
    """

    request: HttpRequest
    metadata: RequestMetadata
    route: Route
    service: str
    workspace: str
    arrived_at: float
    deadline_at: float
    configuration_version: int

    @property
    def identity(self) -> int:
        """Return a hash that stays the same when the request is repeated."""
        digest = xxhash.xxh64(self.metadata.host.encode())
        digest.update(self.request.target.encode())
        digest.update(self.request.body)
        return digest.intdigest()


@dataclass(frozen=True, slots=True)
class ResponseInfo:
    """Properties of a response, taken from its head.

    Attributes:
        is_for_request: Whether it is the response to this request, as far as
            its head tells.
        names_request: Whether it names the request that it responds to.
        is_sealed: Whether it has the upstream's seal, which proves that the
            upstream sent it.
        is_declared_not_run: Whether the upstream declares that it did not run
            the request.
        is_wrong_upstream: Whether the address belongs to another upstream.
        is_event_stream: Whether the body is an event stream.
        is_encoded: Whether the body has a content encoding.
        notice: What the upstream announces about accepting requests, or None.
        load: Load that the upstream reports, or None.
    """

    is_for_request: bool
    names_request: bool
    is_sealed: bool
    is_declared_not_run: bool
    is_wrong_upstream: bool
    is_event_stream: bool
    is_encoded: bool
    notice: UpstreamNotice | None
    load: LoadReport | None = None


class WireFormat(Protocol):
    """Headers and messages exchanged with callers, upstreams and routers."""

    def parse_request_id(self, request: HttpRequest) -> str:
        """Parse only the identifier of a request, or ""."""

    def parse_identity(self, request: HttpRequest) -> CallerIdentity:
        """Parse only the identity, which is faster than all headers.

        Raises:
            RequestRefusedError: A header is invalid.
        """

    def parse_metadata(self, request: HttpRequest) -> RequestMetadata:
        """Parse the headers of a request.

        Raises:
            RequestRefusedError: A required header is missing or invalid.
        """

    def encode_handed_over_request(
        self,
        request: HttpRequest,
        token: str,
        waited_seconds: float,
        configuration_version: int,
    ) -> bytes:
        """Encode a request for the hand-over to another router.

        Args:
            request: The request.
            token: Token of the process that it is handed over to.
            waited_seconds: Time since the request arrived.
            configuration_version: Version of the configuration with which the
                request was accepted.
        """

    def encode_upstream_request(
        self,
        call: Call,
        upstream: UpstreamEntry,
        time_budget_seconds: float,
        resume_after: bytes | None,
        fetch_from: str,
    ) -> bytes:
        """Encode a request for an upstream.

        Args:
            call: The request.
            upstream: Upstream to send it to.
            time_budget_seconds: Time until the deadline.
            resume_after: ID of the last event that the caller received, or
                None.
            fetch_from: `host:port` of the upstream from which to copy the
                shared parts of the prompt, or "".
        """

    def parse_response_head(
        self, call: Call, upstream: UpstreamEntry, head: ResponseHead
    ) -> ResponseInfo:
        """Parse the head of a response."""

    def holds_other_response(self, body: bytes) -> bool:
        """Return whether a body without framing runs into another response."""

    def response_headers(self, headers: RawHeaders) -> RawHeaders:
        """Return the headers of an upstream's response to relay."""

    def refusal_response(
        self, error: RequestRefusedError, request_id: str
    ) -> Response:
        """Return the response to a request that was refused or has failed."""


WIRE_FORMAT: ComponentKey[WireFormat] = ComponentKey("wire_format")
