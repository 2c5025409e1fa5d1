"""Accepts connections in batches."""

import asyncio
import errno
import socket
from collections.abc import Callable

import structlog

from lacewingspar_router.errors import ComponentSetupError

_LOGGER = structlog.get_logger(__name__)

# Connections accepted per iteration of the event loop. Accepting one takes
# about 0.1 ms, so a batch delays requests in flight by a few milliseconds.
ACCEPT_BATCH_SIZE = 32
# Delay after `accept` failed, usually for lack of descriptors or memory, which
# closing connections free in the meantime.
ACCEPT_RETRY_SECONDS = 0.05
# Failures to accept are logged at most once per interval.
ACCEPT_ERROR_LOG_INTERVAL_SECONDS = 1.0

_RESOURCE_EXHAUSTION_ERRNOS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)

ProtocolFactory = Callable[[], asyncio.BaseProtocol]


def bind_address(address: str) -> socket.socket:
    """Return a socket bound to `host:port`.

    Raises:
        ComponentSetupError: The address is invalid or in use.
    """
    host, _, port = address.rpartition(":")
    try:
        family, kind, protocol, _, name = socket.getaddrinfo(
            host, int(port), type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE
        )[0]
        bound = socket.socket(family, kind, protocol)
    except (OSError, OverflowError) as error:
        raise ComponentSetupError(f"cannot use {address}: {error}") from error
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind(name)
    except (OSError, OverflowError) as error:
        bound.close()
        raise ComponentSetupError(f"cannot bind {address}: {error}") from error
    bound.setblocking(False)
    return bound


class Listener:
    """Listening socket that accepts the queued connections in batches.

    The event loop's own servers accept one connection per iteration. A busy
    loop has few iterations, so callers would time out in the listen queue.

    Attributes:
        accepted_count: Number of connections accepted since the start.

    Args:
        bound: Bound, non-blocking socket, which the listener closes.
        factory: Creates the protocol of each connection.
        backlog: Maximum length of the listen queue.
    """

    def __init__(
        self, bound: socket.socket, factory: ProtocolFactory, backlog: int
    ) -> None:
        self.accepted_count = 0
        self._is_open = True
        self._backlog = backlog
        self._socket = bound
        self._factory = factory
        self._loop = asyncio.get_running_loop()
        self._opening_tasks: set[asyncio.Task[None]] = set()
        self._retry_timer: asyncio.TimerHandle | None = None
        self._logged_at = float("-inf")
        bound.listen(backlog)
        self._start_accepting()

    @property
    def port(self) -> int:
        """Return the port that the listener is bound to."""
        return int(self._socket.getsockname()[1])

    def close(self) -> None:
        """Stop accepting connections; open connections stay open.

        Connections in the listen queue are accepted, as closing the socket
        would reset them together with the requests that were sent on them.
        """
        if not self._is_open:
            return
        for _ in range(1 + self._backlog // ACCEPT_BATCH_SIZE):
            if not self._accept():
                break
        self._is_open = False
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _start_accepting(self) -> None:
        self._retry_timer = None
        self._loop.add_reader(self._socket, self._accept)

    def _accept(self) -> bool:
        """Accept a batch; return whether more connections may be queued."""
        for _ in range(ACCEPT_BATCH_SIZE):
            try:
                connection, _address = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return False
            except ConnectionError:
                # The caller disconnected while its connection was queued.
                continue
            except OSError as error:
                self._handle_accept_failure(error)
                return False
            self.accepted_count += 1
            connection.setblocking(False)
            task = self._loop.create_task(self._async_open(connection))
            self._opening_tasks.add(task)
            task.add_done_callback(self._opening_tasks.discard)
        return True

    def _handle_accept_failure(self, error: OSError) -> None:
        """Stop accepting for a while.

        The socket stays readable after a failed `accept`, so the event loop
        would otherwise call back at once.
        """
        now = self._loop.time()
        if now >= self._logged_at + ACCEPT_ERROR_LOG_INTERVAL_SECONDS:
            self._logged_at = now
            _LOGGER.error(
                "failed to accept connections",
                is_exhausted=error.errno in _RESOURCE_EXHAUSTION_ERRNOS,
                reason=str(error),
                accepted=self.accepted_count,
            )
        self._loop.remove_reader(self._socket)
        self._retry_timer = self._loop.call_later(
            ACCEPT_RETRY_SECONDS, self._start_accepting
        )

    async def _async_open(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._factory, connection)
        except OSError as error:
            connection.close()
            _LOGGER.info("accepted connection failed", reason=str(error))
