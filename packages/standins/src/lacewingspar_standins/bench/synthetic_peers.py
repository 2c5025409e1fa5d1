"""Process that simulates the peers of one real router."""

import asyncio
import heapq
import random
import sys
import time
from pathlib import Path

import msgspec
import uvloop
import zmq

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

_RECEIVE_INTERVAL_SECONDS = 0.005


class SyntheticPeer(msgspec.Struct, frozen=True):
    """A simulated router.

    Attributes:
        router_id: Router id.
        data_centre: Data centre.
        address: Peer address as `host:port`.
    """

    router_id: str
    data_centre: str
    address: str


class SyntheticPeersOptions(msgspec.Struct, frozen=True):
    """Options of the process.

    Attributes:
        target: The real router.
        peers: The routers to simulate.
        seed: Seed of the heartbeat receivers.
    """

    target: SyntheticPeer
    peers: tuple[SyntheticPeer, ...]
    seed: int


class SyntheticPeers:
    """Member tables and sockets of all simulated routers."""

    def __init__(self, options: SyntheticPeersOptions) -> None:
        self._target_id = options.target.router_id
        self._context = zmq.Context()
        self._sender = self._context.socket(zmq.PUSH)
        self._sender.connect(f"tcp://{options.target.address}")
        self._receivers = [
            (peer.router_id, self._listen(peer)) for peer in options.peers
        ]
        self._applied_offset = 0
        seeds = [_seed(options.target)]
        self._membership_by_id = {
            peer.router_id: Membership(
                _record(peer, index),
                seeds,
                random.Random(options.seed * 1009 + index),
            )
            for index, peer in enumerate(options.peers)
        }
        table = Heartbeat(
            tuple(
                member.own_record for member in self._membership_by_id.values()
            )
        )
        for membership in self._membership_by_id.values():
            membership.merge(table, time.monotonic())

    async def async_run(self) -> None:
        """Send and receive heartbeats until cancelled."""
        generator = random.Random(0)
        now = time.monotonic()
        due = [
            (now + generator.random() * HEARTBEAT_INTERVAL_SECONDS, router_id)
            for router_id in self._membership_by_id
        ]
        heapq.heapify(due)
        while True:
            self._receive_all()
            now = time.monotonic()
            while due[0][0] <= now:
                at, router_id = heapq.heappop(due)
                self._send_heartbeats(router_id, now)
                heapq.heappush(
                    due, (at + HEARTBEAT_INTERVAL_SECONDS, router_id)
                )
            await asyncio.sleep(_RECEIVE_INTERVAL_SECONDS)

    def _listen(self, peer: SyntheticPeer) -> "zmq.Socket[bytes]":
        socket = self._context.socket(zmq.PULL)
        socket.bind(f"tcp://{peer.address}")
        return socket

    def _receive_all(self) -> None:
        for router_id, socket in self._receivers:
            while socket.poll(0):
                _, data = socket.recv_multipart()
                message = decode_message(data)
                if isinstance(message, Heartbeat):
                    self._applied_offset = message.members[0].applied_offset
                    self._merge(router_id, message, time.monotonic())

    def _send_heartbeats(self, router_id: str, now: float) -> None:
        membership = self._membership_by_id[router_id]
        membership.update_own_record(RouterState.SERVING, self._applied_offset)
        heartbeat, receivers = membership.next_heartbeat(now)
        for receiver in receivers:
            self._send(membership.own_record, receiver, heartbeat)
        table, receivers = membership.next_full_table(now)
        for receiver in receivers:
            if table is not None:
                self._send(membership.own_record, receiver, table)

    def _send(
        self, sender: MemberRecord, receiver: str, message: AnyPeerMessage
    ) -> None:
        if receiver == self._target_id:
            envelope = msgspec.msgpack.encode((sender.life, sender.data_centre))
            self._sender.send_multipart((envelope, encode_message(message)))
        elif isinstance(message, Heartbeat):
            self._merge(receiver, message, time.monotonic())

    def _merge(self, router_id: str, message: Heartbeat, now: float) -> None:
        self._membership_by_id[router_id].merge(message, now)


def _record(peer: SyntheticPeer, index: int) -> MemberRecord:
    return MemberRecord(
        life=RouterInstance(peer.router_id, (1 << 52) + index * 7919),
        data_centre=peer.data_centre,
        address=f"tcp://{peer.address}",
        state=RouterState.SERVING,
        heartbeat=0,
        applied_offset=0,
    )


def _seed(peer: SyntheticPeer) -> Seed:
    return Seed(peer.router_id, peer.data_centre, f"tcp://{peer.address}")


if __name__ == "__main__":
    _options = msgspec.json.decode(
        Path(sys.argv[1]).read_bytes(), type=SyntheticPeersOptions
    )
    uvloop.run(SyntheticPeers(_options).async_run())
