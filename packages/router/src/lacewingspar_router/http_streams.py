"""Network streams of the HTTP library that report how connections end."""

import os
import ssl
from collections.abc import Iterable
from typing import Any

import httpcore

from lacewingspar_router.http1.tcp_socket import is_reset, unread_data

# Largest part that is read at once, and that is read after a failed write.
# Responses that are sent early are short, and the library reads 64 KiB.
MAX_READ_BYTES = 256 * 1024


class CheckedStream(httpcore.AsyncNetworkStream):
    """Stream that keeps what has arrived, and takes no reset for an end.

    Args:
        stream: Stream of the library.
        is_tls: Whether the data on the socket is encrypted.
    """

    def __init__(
        self, stream: httpcore.AsyncNetworkStream, *, is_tls: bool = False
    ) -> None:
        self._stream = stream
        self._is_tls = is_tls
        self._unread = b""
        self._write_error: httpcore.WriteError | None = None

    @property
    def has_unread_data(self) -> bool:
        """Return whether data was received that the library has not read."""
        return bool(self._unread)

    async def read(
        self,
        max_bytes: int,
        timeout: float | None = None,  # noqa: ASYNC109
    ) -> bytes:
        """Return received data, or nothing at the end of the connection.

        Raises:
            httpcore.ReadError: The connection failed, also behind its end.
            httpcore.ReadTimeout: No data arrived in time.
        """
        if not self._unread and self._write_error is not None:
            raise httpcore.ReadError(
                f"failed while sending: {self._write_error}"
            )
        if not self._unread:
            self._unread = await self._stream.read(MAX_READ_BYTES, timeout)
        if not self._unread and self._is_reset():
            raise httpcore.ReadError("connection reset behind its end")
        data = self._unread[:max_bytes]
        self._unread = self._unread[max_bytes:]
        return data

    async def write(
        self,
        buffer: bytes,
        timeout: float | None = None,  # noqa: ASYNC109
    ) -> None:
        """Send data.

        A failure closes the socket. Another descriptor for it gives the
        response that has arrived before, which the library then reads.

        Raises:
            httpcore.WriteError: The connection failed.
            httpcore.WriteTimeout: The data was not accepted in time.
        """
        sock = None if self._is_tls else self._socket()
        if not buffer or sock is None or sock.fileno() < 0:
            await self._stream.write(buffer, timeout)
            return
        descriptor = os.dup(sock.fileno())
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError as error:
            self._write_error = error
            self._unread += b"".join(unread_data(descriptor, MAX_READ_BYTES))
            raise
        finally:
            os.close(descriptor)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,  # noqa: ASYNC109
    ) -> httpcore.AsyncNetworkStream:
        """Return a stream that encrypts what this one carries."""
        stream = await self._stream.start_tls(
            ssl_context, server_hostname, timeout
        )
        return CheckedStream(stream, is_tls=True)

    def get_extra_info(self, info: str) -> Any:
        """Return information about the connection."""
        return self._stream.get_extra_info(info)

    def _socket(self) -> Any:
        try:
            return self._stream.get_extra_info("socket")
        except AttributeError:
            # A transport of uvloop has no socket once it is closed.
            return None

    def _is_reset(self) -> bool:
        sock = self._socket()
        return sock is not None and sock.fileno() >= 0 and is_reset(sock)


class CheckedBackend(httpcore.AsyncNetworkBackend):
    """Network backend that opens checked streams.

    Args:
        backend: Backend of the library.
    """

    def __init__(self, backend: httpcore.AsyncNetworkBackend) -> None:
        self._backend = backend

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,  # noqa: ASYNC109
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a TCP connection."""
        return CheckedStream(
            await self._backend.connect_tcp(
                host, port, timeout, local_address, socket_options
            )
        )

    async def connect_unix_socket(
        self,
        path: str,
        timeout: float | None = None,  # noqa: ASYNC109
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection to a socket in the file system."""
        return await self._backend.connect_unix_socket(
            path, timeout, socket_options
        )

    async def sleep(self, seconds: float) -> None:
        """Wait."""
        await self._backend.sleep(seconds)
