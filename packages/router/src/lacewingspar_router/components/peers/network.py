"""ZeroMQ sockets between routers and the set of alive routers."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

import msgspec
import structlog
import zmq
import zmq.asyncio

from lacewingspar_core.decoding import DECODE_ERRORS
from lacewingspar_core.errors import MessageDecodeError
from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.membership import (
    HEARTBEAT_INTERVAL_SECONDS,
    Membership,
    Seed,
)
from lacewingspar_core.messages import (
    AnyPeerMessage,
    Heartbeat,
    MemberRecord,
    RouterState,
    decode_message,
    encode_message,
)
from lacewingspar_core.peer_message import PeerMessage
from lacewingspar_router.application import Application, LifeCycle
from lacewingspar_router.components.peers import const
from lacewingspar_router.components.peers.errors import PeerBindError
from lacewingspar_router.components.peers.models import ReceivedMessage
from lacewingspar_router.components.peers.traffic import PeerTraffic
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.loop_guard import LoopGuard

_LOGGER = structlog.get_logger(__name__)

Handler = Callable[[ReceivedMessage], None]

_STATE_BY_LIFE_CYCLE = {
    LifeCycle.STARTING: RouterState.STARTING,
    LifeCycle.SERVING: RouterState.SERVING,
    LifeCycle.DRAINING: RouterState.DRAINING,
    LifeCycle.STOPPED: RouterState.DRAINING,
}


class _Envelope(msgspec.Struct, frozen=True, array_like=True):
    """First frame of a message.

    Attributes:
        sender: Router instance that sent the message.
        data_centre: Data centre of the sender.
        receiver: The only router instance that may handle the message, or None
            if any process at the address may.
    """

    sender: RouterInstance
    data_centre: str
    receiver: RouterInstance | None = None


class ZmqPeerNetwork:
    """Peer network with one PULL socket and one PUSH socket per peer.

    Args:
        app: The application.
        membership: Member table of this router.
    """

    def __init__(self, app: Application, membership: Membership) -> None:
        self._app = app
        self._membership = membership
        self._context = zmq.Context()
        self._receiver: zmq.asyncio.Socket | None = None
        self._socket_by_address: dict[str, zmq.Socket[bytes]] = {}
        self._handlers_by_type: dict[type[PeerMessage], list[Handler]] = {}
        self._listeners: list[Callable[[], None]] = []
        self._alive_by_router_id: dict[str, MemberRecord] = {}
        self._notified_by_router_id: dict[
            str, tuple[RouterInstance, RouterState]
        ] = {}
        self._envelope = msgspec.msgpack.encode(
            _Envelope(app.instance, app.settings.data_centre)
        )
        self._envelope_decoder = msgspec.msgpack.Decoder(_Envelope)
        self._telemetry = app.get(TELEMETRY)
        self._handler_guard = LoopGuard(app, "handler of peer messages")
        self._receive_guard = LoopGuard(app, "reception of peer messages")
        self._listener_guard = LoopGuard(app, "listener to peers")
        self._heartbeat_guard = LoopGuard(app, "heartbeats")
        self._sent_traffic = PeerTraffic()
        self._received_traffic = PeerTraffic()
        self._heartbeats_until_traffic_line = const.HEARTBEATS_PER_TRAFFIC_LINE
        self._read_applied_offset: Callable[[], int] = lambda: 0
        self._read_is_busy: Callable[[], bool] = lambda: False
        self._refresh_alive()

    def bind(self) -> None:
        """Open the socket that receives messages from other routers.

        Raises:
            PeerBindError: The address is in use or not available.
        """
        receiver = zmq.asyncio.Context.shadow(self._context).socket(zmq.PULL)
        self._set_options(receiver)
        address = f"tcp://{self._app.settings.peer_address}"
        try:
            receiver.bind(address)
        except zmq.ZMQError as error:
            raise PeerBindError(f"cannot bind {address}: {error}") from error
        self._receiver = receiver

    def add_seeds(self, seeds: Iterable[Seed]) -> None:
        """Add routers to contact and send heartbeats at once."""
        self._membership.add_seeds(seeds)
        self.send_heartbeat()

    def announce_to(
        self, router_ids: Iterable[str], registered_count: int
    ) -> None:
        """Send this router's own record to some routers at once.

        Args:
            router_ids: Routers that have to know this one early.
            registered_count: Number of routers that this one has found. It
                keeps the receivers from answering with their full tables.
        """
        heartbeat = Heartbeat(
            (self._membership.own_record,), alive_count=registered_count
        )
        for router_id in router_ids:
            self.send(router_id, heartbeat)

    def set_busy_source(self, read: Callable[[], bool]) -> None:
        """Set the function that returns whether this router is busy."""
        self._read_is_busy = read

    def set_applied_offset_source(self, read: Callable[[], int]) -> None:
        """Set the function that returns the applied offset for heartbeats."""
        self._read_applied_offset = read

    def send(self, router_id: str, message: AnyPeerMessage) -> int:
        """Send a message, which may be lost, repeated or reordered.

        Returns:
            Number of bytes sent over the network.
        """
        if router_id == self._app.instance.router_id:
            self._deliver_to_self(message)
            return 0
        return self._send(router_id, self._envelope, message)

    def send_to_instance(
        self, receiver: RouterInstance, message: AnyPeerMessage
    ) -> int:
        """Send a message that only one router instance may handle.

        Another process at its address, such as its successor after a crash,
        drops the message. Replies must be sent in this way if they refer to
        state of the process that has asked, such as a request number.

        Returns:
            Number of bytes sent over the network.
        """
        if receiver == self._app.instance:
            self._deliver_to_self(message)
            return 0
        envelope = _Envelope(
            self._app.instance, self._app.settings.data_centre, receiver
        )
        return self._send(
            receiver.router_id, msgspec.msgpack.encode(envelope), message
        )

    def _send(
        self, router_id: str, envelope: bytes, message: AnyPeerMessage
    ) -> int:
        address = self._membership.address_of(router_id)
        if address is None:
            return 0
        data = encode_message(message)
        try:
            self._socket(address).send_multipart(
                (envelope, data), flags=zmq.NOBLOCK
            )
        except zmq.ZMQError:
            _LOGGER.debug("peer message dropped", router_id=router_id)
            return 0
        size = len(envelope) + len(data)
        self._sent_traffic.add(message, size, is_near=self._is_near(router_id))
        return size

    def subscribe(
        self, message_type: type[PeerMessage], handler: Handler
    ) -> None:
        """Call a function for every received message of a type."""
        self._handlers_by_type.setdefault(message_type, []).append(handler)

    @property
    def alive_by_router_id(self) -> Mapping[str, MemberRecord]:
        """Return the routers that are alive, this one included."""
        return self._alive_by_router_id

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function when the alive routers or their states change."""
        self._listeners.append(listener)

    async def async_receive(self) -> None:
        """Receive messages until cancelled."""
        assert self._receiver is not None
        while True:
            frames = await self._receiver.recv_multipart()
            with self._receive_guard:
                self._receive(frames)

    async def async_send_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            with self._heartbeat_guard:
                self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    def send_heartbeat(self) -> None:
        """Send one heartbeat and update the set of alive routers."""
        state = _STATE_BY_LIFE_CYCLE[self._app.life_cycle]
        if state is RouterState.SERVING and self._read_is_busy():
            state = RouterState.BUSY
        self._membership.update_own_record(state, self._read_applied_offset())
        heartbeat, receivers = self._membership.next_heartbeat(self._app.now())
        for router_id in receivers:
            self.send(router_id, heartbeat)
        table, receivers = self._membership.next_full_table(self._app.now())
        for router_id in receivers:
            if table is not None:
                self.send(router_id, table)
        self._refresh_alive()
        self._close_unused_sockets()
        self._publish_metrics()

    async def async_unload(self) -> None:
        """Close all sockets."""
        for socket in self._socket_by_address.values():
            socket.close(linger=0)
        if self._receiver is not None:
            self._receiver.close(linger=0)
        self._context.term()

    def _close_unused_sockets(self) -> None:
        """Close the sockets of routers that are no longer known.

        Otherwise ZeroMQ would keep trying to reconnect to each replaced
        router.
        """
        unused = self._socket_by_address.keys() - self._membership.addresses()
        for address in unused:
            self._socket_by_address.pop(address).close(linger=0)

    def _publish_metrics(self) -> None:
        self._telemetry.gauge(
            const.METRIC_SOCKETS, len(self._socket_by_address)
        )
        self._sent_traffic.publish(self._telemetry, const.METRIC_SENT_BYTES)
        self._received_traffic.publish(
            self._telemetry, const.METRIC_RECEIVED_BYTES
        )
        self._heartbeats_until_traffic_line -= 1
        if self._heartbeats_until_traffic_line == 0:
            self._heartbeats_until_traffic_line = (
                const.HEARTBEATS_PER_TRAFFIC_LINE
            )
            _LOGGER.info(
                "peer traffic",
                sockets=len(self._socket_by_address),
                sent_near=self._sent_traffic.bytes_by_type(is_near=True),
                sent_far=self._sent_traffic.bytes_by_type(is_near=False),
            )

    def _is_near(self, router_id: str) -> bool:
        """Return whether a router is in the data centre of this one."""
        record = self._alive_by_router_id.get(router_id)
        return (
            record is not None
            and record.data_centre == self._app.settings.data_centre
        )

    def _receive(self, frames: list[bytes]) -> None:
        try:
            envelope_data, data = frames
            envelope = self._envelope_decoder.decode(envelope_data)
            message = decode_message(data)
        except (*DECODE_ERRORS, MessageDecodeError) as error:
            _LOGGER.warning("invalid peer message", error=str(error))
            return
        size = len(envelope_data) + len(data)
        self._received_traffic.add(
            message,
            size,
            is_near=envelope.data_centre == self._app.settings.data_centre,
        )
        if envelope.receiver not in (None, self._app.instance):
            self._record_foreign(envelope, message)
            return
        if isinstance(message, Heartbeat):
            self._membership.merge(message, self._app.now())
            self._refresh_alive()
        received = ReceivedMessage(
            envelope.sender, envelope.data_centre, message
        )
        self._deliver(received)

    def _record_foreign(
        self, envelope: _Envelope, message: AnyPeerMessage
    ) -> None:
        """Log and count a message for another process of this address."""
        message_type = type(message).__name__
        self._telemetry.count(const.METRIC_FOREIGN_MESSAGES, type=message_type)
        _LOGGER.info(
            "peer message for another process dropped",
            type=message_type,
            sender=envelope.sender.router_id,
            receiver=envelope.receiver,
            instance=self._app.instance,
        )

    def _deliver(self, received: ReceivedMessage) -> None:
        for handler in self._handlers_by_type.get(type(received.message), ()):
            with self._handler_guard:
                handler(received)

    def _deliver_to_self(self, message: AnyPeerMessage) -> None:
        received = ReceivedMessage(
            self._app.instance, self._app.settings.data_centre, message
        )
        asyncio.get_running_loop().call_soon(self._deliver, received)

    def _refresh_alive(self) -> None:
        self._alive_by_router_id = self._membership.alive(self._app.now())
        current_by_router_id = {
            router_id: (record.life, record.state)
            for router_id, record in self._alive_by_router_id.items()
        }
        if current_by_router_id == self._notified_by_router_id:
            return
        self._notified_by_router_id = current_by_router_id
        for listener in self._listeners:
            with self._listener_guard:
                listener()

    def _socket(self, address: str) -> "zmq.Socket[bytes]":
        socket = self._socket_by_address.get(address)
        if socket is None:
            socket = self._context.socket(zmq.PUSH)
            self._set_options(socket)
            host_port = address.removeprefix("tcp://")
            mapped = self._app.settings.address_map.get(host_port, host_port)
            socket.connect(f"tcp://{mapped}")
            self._socket_by_address[address] = socket
        return socket

    def _set_options(
        self, socket: "zmq.Socket[bytes] | zmq.asyncio.Socket"
    ) -> None:
        options = {
            zmq.LINGER: 0,
            zmq.SNDHWM: const.SEND_QUEUE_MESSAGES,
            zmq.HEARTBEAT_IVL: _ms(const.PING_INTERVAL_SECONDS),
            zmq.HEARTBEAT_TIMEOUT: _ms(const.PING_TIMEOUT_SECONDS),
            zmq.RECONNECT_IVL: _ms(const.RECONNECT_INTERVAL_SECONDS),
            zmq.RECONNECT_IVL_MAX: _ms(const.RECONNECT_MAX_INTERVAL_SECONDS),
            zmq.MAXMSGSIZE: const.MAX_MESSAGE_BYTES,
        }
        for option, value in options.items():
            socket.setsockopt(option, value)


def _ms(seconds: float) -> int:
    return round(seconds * 1000)
