"""HTTP servers of the router process."""

import asyncio
import logging
import socket
from typing import Any

import structlog
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from lacewingspar_router.http1.listener import Listener, bind_address

# Longer than the idle timeout of common load balancers, so that the balancer
# closes an idle connection first and sends no request on a closing one.
IDLE_CONNECTION_SECONDS = 75
LISTEN_BACKLOG = 2048
# Delay between closing the listener and closing idle connections. A caller
# whose connection was just accepted may still be sending its request.
IDLE_CLOSE_DELAY_SECONDS = 0.3
# Time within which responses can still be sent after an abort.
ABORT_TIMEOUT_SECONDS = 0.5

# Size of the target and the headers of one request, with `HEADER_BYTES` for
# each header. Headers of 32 KiB, the limit for callers, may be a thousand.
MAX_HEAD_BYTES = 64 * 1024
HEADER_BYTES = 32
# Requests that may wait behind one on a connection; each takes some 3 KB.
MAX_PIPELINED_REQUESTS = 64
# Time for a caller to send the rest of a head, as long as for a body to go on.
HEAD_TIMEOUT_SECONDS = 30.0

_LOGGER = structlog.get_logger(__name__)

# uvicorn logs a response body that was aborted on purpose as an error of the
# application. The caller API logs these cases itself.
logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)


class _InputBoundError(Exception):
    """A caller exceeds a bound of its connection."""


class _BoundedProtocol(HttpToolsProtocol):
    """Connection of a caller with bounds for what the server keeps of it."""

    _head_bytes = 0
    _is_in_head = False
    _head_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and bound the time for a head."""
        super().data_received(data)
        if self._is_in_head and self._head_timer is None:
            self._head_timer = self.loop.call_later(
                HEAD_TIMEOUT_SECONDS, self._close, "head timeout"
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer."""
        self._cancel_head_timer()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Start to count a head."""
        self._head_bytes = 0
        self._is_in_head = True
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Count and append a part of the target."""
        self._count(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count and append a header."""
        self._count(len(name) + len(value) + HEADER_BYTES)
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start or queue the request, if it may wait."""
        self._is_in_head = False
        self._cancel_head_timer()
        if len(self.pipeline) >= MAX_PIPELINED_REQUESTS:
            raise _InputBoundError
        super().on_headers_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse input, without writing into the response to another request.

        Args:
            msg: Reason of the refusal.
        """
        if self.pipeline:
            self._close("too many requests wait")
        else:
            super().send_400_response(msg)

    def _count(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            raise _InputBoundError

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _close(self, reason: str) -> None:
        _LOGGER.info("connection of a caller closed", reason=reason)
        self.transport.close()


class _Server(uvicorn.Server):
    """A uvicorn server that uses the router's own listener.

    Attributes:
        listener: The listener, or None before the server has started.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.listener: Listener | None = None
        self.is_listening = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        assert sockets is not None
        self.listener = Listener(sockets[0], self._connection, LISTEN_BACKLOG)
        self.servers = []
        self.started = True
        self.is_listening.set()

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        assert self.listener is not None
        self.listener.close()
        await super().shutdown(sockets)

    def _connection(self) -> asyncio.Protocol:
        return self.config.http_protocol_class(  # type: ignore[call-arg]
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )


class HttpServer:
    """Serves an ASGI application on one address.

    Args:
        app: The ASGI application.
        address: Host and port; port 0 lets the system choose.
    """

    def __init__(self, app: Any, address: str) -> None:
        self._socket = bind_address(address)
        self._server = _Server(
            uvicorn.Config(
                app,
                http=_BoundedProtocol,
                ws="none",
                lifespan="off",
                log_config=None,
                access_log=False,
                proxy_headers=False,
                server_header=False,
                backlog=LISTEN_BACKLOG,
                timeout_keep_alive=IDLE_CONNECTION_SECONDS,
            )
        )
        self._task: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return int(self._socket.getsockname()[1])

    async def async_start(self) -> None:
        """Start accepting connections."""
        # `serve` would replace the signal handlers of the process.
        self._task = asyncio.create_task(
            self._server._serve([self._socket]), name="http server"
        )
        await self._server.is_listening.wait()

    async def async_stop(self, *, abort: bool = False) -> None:
        """Close the listener and all connections.

        Args:
            abort: Do not wait for responses that are still being sent.
        """
        if self._task is None:
            self._socket.close()
            return
        if not abort:
            if self._server.listener is not None:
                self._server.listener.close()
            await asyncio.sleep(IDLE_CLOSE_DELAY_SECONDS)
        self._server.force_exit = abort
        self._server.should_exit = True
        limit = ABORT_TIMEOUT_SECONDS if abort else None
        await asyncio.wait({self._task}, timeout=limit)
        self._task.cancel()
