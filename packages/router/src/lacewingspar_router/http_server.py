"""HTTP servers of the router process."""

import asyncio
import logging
import socket
from typing import Any

import uvicorn

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

# uvicorn logs a response body that was aborted on purpose as an error of the
# application. The caller API logs these cases itself.
logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)


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
                http="httptools",
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
