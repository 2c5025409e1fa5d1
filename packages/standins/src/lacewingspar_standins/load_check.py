"""Checks that a response is complete and belongs to its request."""

import hashlib
from typing import Any

import msgspec

from lacewingspar_standins.http_client import ClientError
from lacewingspar_standins.load_options import PlannedRequest

HEADER_REQUEST_ID = "x-request-id"
OUTCOME_WRONG_ANSWER = "wrong_answer"
OUTCOME_ERROR_EVENT = "error_event"
OUTCOME_BROKEN = "broken"


class ErrorBody(msgspec.Struct, frozen=True):
    """The `error` object of a refusal or of an error event."""

    code: str = "none"
    message: str = ""
    run: str = "none"
    retry_after_seconds: float | None = None
    request_id: str = ""


class RefusalBody(msgspec.Struct, frozen=True):
    """Body of a response that refuses a request."""

    error: ErrorBody


class ErrorEventError(ClientError):
    """The stream ended with an error event."""

    def __init__(self, error: ErrorBody) -> None:
        super().__init__(f"{OUTCOME_ERROR_EVENT}:{error.code}", error.message)
        self.error = error


class WrongResponseError(ClientError):
    """The response is incomplete or does not belong to the request."""

    def __init__(self, message: str) -> None:
        super().__init__(OUTCOME_WRONG_ANSWER, message)


class _Text(msgspec.Struct, frozen=True):
    content: str = ""


class _Choice(msgspec.Struct, frozen=True):
    delta: _Text = _Text()
    message: _Text = _Text()


class _Usage(msgspec.Struct, frozen=True):
    completion_tokens: int


class _Completion(msgspec.Struct, frozen=True):
    id: str = ""
    choices: tuple[_Choice, ...] = ()
    usage: _Usage | None = None
    error: ErrorBody | None = None


_COMPLETION_DECODER = msgspec.json.Decoder(_Completion)


class StreamCheck:
    """Checks a stream of server-sent events as it arrives.

    Args:
        planned: The request.
        request_id: `X-Request-Id` of the response.
    """

    def __init__(self, planned: PlannedRequest, request_id: str) -> None:
        self._planned = planned
        self._request_id = request_id
        self._rest = b""
        self._usage: _Usage | None = None
        self._is_done = False
        self.tokens = 0

    def feed(self, data: bytes) -> None:
        """Check the events in newly received data.

        Raises:
            WrongResponseError: An event does not belong to the request.
            ErrorEventError: The stream contains an error event.
        """
        *events, self._rest = (self._rest + data).split(b"\n\n")
        for event in events:
            self._check_event(event)

    def finish(self) -> None:
        """Check that the stream was complete.

        Raises:
            WrongResponseError: The stream is incomplete.
        """
        if not self._is_done or self._rest:
            raise WrongResponseError(
                "stream ended without the end marker [DONE]"
            )
        _check_count(self._planned, self.tokens, self._usage)

    def _check_event(self, event: bytes) -> None:
        kind, _, data = event.rpartition(b"data: ")
        if self._is_done or kind.startswith(b"data"):
            raise WrongResponseError("unexpected data in the stream")
        if data == b"[DONE]":
            self._is_done = True
            return
        completion = _decode(data)
        if completion.error is not None:
            raise ErrorEventError(completion.error)
        _check_id(completion, self._request_id)
        for choice in completion.choices:
            if choice.delta.content:
                self._check_token(choice.delta.content)
        self._usage = completion.usage or self._usage

    def _check_token(self, content: str) -> None:
        expected = f"{self._planned.marker}:{self.tokens} "
        if content != expected:
            raise WrongResponseError(
                f"token {content!r}, expected {expected!r}"
            )
        self.tokens += 1


def check_whole_chat(
    planned: PlannedRequest, request_id: str, body: bytes
) -> None:
    """Check a chat response without streaming.

    Raises:
        WrongResponseError: The response does not match the request.
    """
    completion = _decode(body)
    _check_id(completion, request_id)
    contents = [choice.message.content for choice in completion.choices]
    expected = "".join(
        f"{planned.marker}:{number} " for number in range(planned.tokens)
    )
    if contents != [expected]:
        raise WrongResponseError(f"unexpected content: {str(contents)[:200]}")
    _check_count(planned, planned.tokens, completion.usage)


def check_plain(planned: PlannedRequest, body: bytes) -> None:
    """Check the response of a plain service.

    Raises:
        WrongResponseError: The response does not match the request.
    """
    try:
        value = msgspec.json.decode(body, type=dict[str, Any])
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise WrongResponseError(str(error)) from error
    digest = hashlib.sha256(planned.body).hexdigest()
    if value.get("digest") != digest:
        raise WrongResponseError(f"unexpected digest: {value.get('digest')!r}")


def _decode(data: bytes) -> _Completion:
    try:
        return _COMPLETION_DECODER.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise WrongResponseError(f"{error}: {data[:200]!r}") from error


def _check_id(completion: _Completion, request_id: str) -> None:
    if completion.id != request_id:
        raise WrongResponseError(
            f"completion id {completion.id!r}, expected {request_id!r}"
        )


def _check_count(
    planned: PlannedRequest, tokens: int, counted: _Usage | None
) -> None:
    if tokens != planned.tokens:
        raise WrongResponseError(
            f"received {tokens} of {planned.tokens} tokens"
        )
    if counted is None or counted.completion_tokens != tokens:
        raise WrongResponseError(
            f"usage {counted} reported for {tokens} tokens"
        )
