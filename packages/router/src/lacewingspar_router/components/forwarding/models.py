"""What the forwarding component knows of a request, and its wire format."""

from dataclasses import dataclass
from typing import Protocol

import xxhash

from lacewingspar_core.directory import UpstreamEntry
from lacewingspar_core.prefix_memory import PromptPart
from lacewingspar_core.routing import Route
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
    """Who sends a request.

    Attributes:
        request_id: Identity of the request, or "".
        host: Host name in lower case, without a port.
        key: Key of the caller, or "".
        time_left_seconds: Time that the caller waits, or None.
    """

    request_id: str
    host: str
    key: str
    time_left_seconds: float | None


@dataclass(frozen=True, slots=True)
class CallerFields:
    """What the headers of a request say.

    Attributes:
        request_id: Identity of the request, or "".
        host: Host name in lower case, without a port.
        key: Key of the caller, or "".
        time_left_seconds: Time that the caller waits, or None.
        shared_parts: Parts of the prompt that other requests may share.
        own_tokens: Further tokens of the prompt.
        output_tokens: Expected tokens of the answer, or 0 if unknown.
        last_event_id: Id of the last event that the caller has, or None.
        handed_over_after_seconds: Time since the request arrived at the router
            that has handed it over, or None if it came from the caller.
    """

    request_id: str
    host: str
    key: str
    time_left_seconds: float | None
    shared_parts: tuple[PromptPart, ...]
    own_tokens: int
    output_tokens: int
    last_event_id: int | None
    handed_over_after_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class Call:
    """A request that was accepted for forwarding.

    Attributes:
        request: The request as received.
        fields: What its headers say.
        route: Its route.
        service: Service that serves it.
        workspace: Workspace of the caller, or "" without one.
        arrived_at: Arrival at the first router, on the application's clock.
        deadline_at: Latest end of the answer, on the application's clock.
        configuration_version: Version that the route was taken from.
    """

    request: HttpRequest
    fields: CallerFields
    route: Route
    service: str
    workspace: str
    arrived_at: float
    deadline_at: float
    configuration_version: int

    @property
    def identity(self) -> int:
        """Return a hash that the request has again when it is sent again."""
        digest = xxhash.xxh64(self.fields.host.encode())
        digest.update(self.request.target.encode())
        digest.update(self.request.body)
        return digest.intdigest()


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What the head of an upstream's answer says.

    Attributes:
        is_own: Whether it answers this request.
        is_genuine: Whether the upstream vouches for it.
        is_not_run: Whether the upstream says that it did not run the request.
        is_wrong_upstream: Whether another upstream has the address.
        is_event_stream: Whether the body is a stream of events.
        is_encoded: Whether the body is not the upstream's own bytes.
    """

    is_own: bool
    is_genuine: bool
    is_not_run: bool
    is_wrong_upstream: bool
    is_event_stream: bool
    is_encoded: bool


class WireFormat(Protocol):
    """Headers and answers as callers and upstreams spell them."""

    def read_identity(self, request: HttpRequest) -> CallerIdentity:
        """Return who sends a request; it costs less than all its fields."""

    def read_fields(self, request: HttpRequest) -> CallerFields:
        """Return what the headers of a request say.

        Raises:
            RequestRefusedError: A header that is needed cannot be read.
        """

    def router_request(
        self, request: HttpRequest, waited_seconds: float
    ) -> bytes:
        """Return a request as it is handed over to another router.

        Args:
            request: The request.
            waited_seconds: Time since it arrived.
        """

    def upstream_request(
        self,
        call: Call,
        upstream: UpstreamEntry,
        time_left_seconds: float,
        resume_after: int | None,
        fetch_from: str,
    ) -> bytes:
        """Return a request as it is sent to an upstream.

        Args:
            call: The request.
            upstream: The upstream.
            time_left_seconds: Time that the upstream may take.
            resume_after: Last event that the caller has, or None.
            fetch_from: `host:port` to copy parts of the prompt from, or "".
        """

    def read_answer(
        self, call: Call, upstream: UpstreamEntry, head: ResponseHead
    ) -> AnswerFacts:
        """Return what the head of an answer says."""

    def answer_headers(self, headers: RawHeaders) -> RawHeaders:
        """Return the headers of an upstream's answer for the caller."""

    def refusal(self, error: RequestRefusedError, request_id: str) -> Response:
        """Return the answer to a request that was refused or has failed."""


WIRE_FORMAT: ComponentKey[WireFormat] = ComponentKey("wire_format")
