"""An attempt of the load generator to send a request."""

import time
from dataclasses import dataclass

import msgspec

from lacewingspar_standins.http_client import (
    ClientError,
    Connection,
    ConnectionPool,
    encode_request,
)
from lacewingspar_standins.load_check import (
    HEADER_REQUEST_ID,
    ErrorBody,
    RefusalBody,
    StreamCheck,
    WrongResponseError,
    check_plain,
    check_whole_chat,
)
from lacewingspar_standins.load_options import PlannedRequest
from lacewingspar_standins.load_result import WorkspaceRecorder

DEFAULT_RETRY_AFTER_SECONDS = 1.0


class RefusedError(ClientError):
    """The router refused the request."""

    def __init__(self, error: ErrorBody, retry_after_seconds: float) -> None:
        super().__init__(f"refused:{error.code}", error.message)
        self.error = error
        self.retry_after_seconds = retry_after_seconds


@dataclass(frozen=True, slots=True)
class Exchange:
    """An attempt to send a request.

    Attributes:
        planned: The request to send.
        token: Bearer token of the workspace.
        address: Address of the router as `host:port`.
        started_at: Start of the request on the monotonic clock.
        recorder: Records the tokens and the time to the first token.
    """

    planned: PlannedRequest
    token: str
    address: str
    started_at: float
    recorder: WorkspaceRecorder

    async def run(self, pool: ConnectionPool) -> str:
        """Send the request and check the response.

        Returns:
            The `X-Request-Id` of the response.

        Raises:
            ClientError: No complete and correct response arrived.
        """
        connection = await pool.acquire(self.address)
        try:
            await connection.exchange(self._encode())
            if connection.status != 200:
                await _raise_refusal(connection)
            request_id = self._check_request_id(connection)
            if self.planned.is_stream:
                await self._receive_stream(connection, request_id)
            else:
                await self._receive_whole(connection, request_id)
            return request_id
        finally:
            pool.release(self.address, connection)

    def _encode(self) -> bytes:
        headers = {
            **self.planned.headers,
            "authorization": f"Bearer {self.token}",
        }
        return encode_request(
            "POST",
            self.planned.path,
            self.address,
            headers,
            self.planned.body,
        )

    def _check_request_id(self, connection: Connection) -> str:
        request_id = connection.headers.get(HEADER_REQUEST_ID, "")
        if not request_id:
            raise WrongResponseError("response without X-Request-Id")
        sent = self.planned.headers.get(HEADER_REQUEST_ID, request_id)
        if request_id != sent:
            raise WrongResponseError(
                f"X-Request-Id {request_id!r}, expected {sent!r}"
            )
        return request_id

    async def _receive_stream(
        self, connection: Connection, request_id: str
    ) -> None:
        check = StreamCheck(self.planned, request_id)
        try:
            async for data in connection.parts():
                had_token = check.tokens > 0
                check.feed(data)
                if check.tokens and not had_token:
                    self.recorder.record_first_token(
                        time.monotonic() - self.started_at
                    )
        finally:
            self.recorder.tokens += check.tokens
        check.finish()

    async def _receive_whole(
        self, connection: Connection, request_id: str
    ) -> None:
        body = await _read_body(connection)
        if self.planned.tokens:
            check_whole_chat(self.planned, request_id, body)
            self.recorder.tokens += self.planned.tokens
        else:
            check_plain(self.planned, body)


async def _read_body(connection: Connection) -> bytes:
    return b"".join([part async for part in connection.parts()])


async def _raise_refusal(connection: Connection) -> None:
    """Raise the error of a response whose status is not 200."""
    body = await _read_body(connection)
    try:
        error = msgspec.json.decode(body, type=RefusalBody).error
    except (msgspec.DecodeError, msgspec.ValidationError) as decode_error:
        raise ClientError(
            f"http:{connection.status}", body[:200].decode(errors="replace")
        ) from decode_error
    retry_after = connection.headers.get("retry-after", "")
    raise RefusedError(
        error,
        float(retry_after)
        if retry_after.isdigit()
        else DEFAULT_RETRY_AFTER_SECONDS,
    )
