"""Accepts connections at the pace at which callers open them."""

import asyncio
import errno
import socket
from collections.abc import Callable

import structlog

from lacewingspar_router.errors import ComponentSetupError

_LOGGER = structlog.get_logger(__name__)

# Connections accepted in one turn of the event loop. Accepting one takes some
# 0.1 ms, so that the requests under way wait for a few milliseconds.
ACCEPT_BATCH = 32
# Pause after the system has refused to accept for want of descriptors or
# memory; connections that end in the meantime free some.
EXHAUSTED_PAUSE_SECONDS = 0.05
# A lack of resources is reported once in this time.
EXHAUSTED_REPORT_SECONDS = 1.0

_ERRORS_OF_EXHAUSTION = frozenset(
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
    """Listening socket that accepts all waiting connections at once.

    The servers of the event loop accept one connection in each of its turns. A
    busy loop makes few turns, and callers then wait in the queue of the
    listener until they give up.

    Attributes:
        accepted: Connections accepted since the start.

    Args:
        bound: Bound, non-blocking socket; the listener closes it.
        factory: Makes the protocol of each connection.
        backlog: Connections that may wait to be accepted.
    """

    def __init__(
        self, bound: socket.socket, factory: ProtocolFactory, backlog: int
    ) -> None:
        self.accepted = 0
        self._is_open = True
        self._socket = bound
        self._factory = factory
        self._loop = asyncio.get_running_loop()
        self._opening: set[asyncio.Task[None]] = set()
        self._pause: asyncio.TimerHandle | None = None
        self._reported_at = float("-inf")
        bound.listen(backlog)
        self._resume()

    @property
    def port(self) -> int:
        """Return the port that the listener is bound to."""
        return int(self._socket.getsockname()[1])

    def close(self) -> None:
        """Accept no more connections; those that are open stay."""
        if not self._is_open:
            return
        self._is_open = False
        if self._pause is not None:
            self._pause.cancel()
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _resume(self) -> None:
        self._pause = None
        self._loop.add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPT_BATCH):
            try:
                connection, _address = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionError:
                # The caller has left before its turn.
                continue
            except OSError as error:
                self._note_failure(error)
                return
            self.accepted += 1
            connection.setblocking(False)
            task = self._loop.create_task(self._async_open(connection))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    def _note_failure(self, error: OSError) -> None:
        """Pause, since the event loop would report the socket at once again."""
        now = self._loop.time()
        if now >= self._reported_at + EXHAUSTED_REPORT_SECONDS:
            self._reported_at = now
            _LOGGER.error(
                "connections cannot be accepted",
                is_exhausted=error.errno in _ERRORS_OF_EXHAUSTION,
                reason=str(error),
                accepted=self.accepted,
            )
        self._loop.remove_reader(self._socket)
        self._pause = self._loop.call_later(
            EXHAUSTED_PAUSE_SECONDS, self._resume
        )

    async def _async_open(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._factory, connection)
        except OSError as error:
            connection.close()
            _LOGGER.info("accepted connection has failed", reason=str(error))
