"""ZeroMQ messages between routers and fleet membership."""

from lacewingspar_core.membership import Membership, Seed
from lacewingspar_core.messages import MemberRecord, RouterState
from lacewingspar_router.application import Application
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.peers.network import ZmqPeerNetwork


async def async_setup(app: Application) -> None:
    """Open the peer socket and start sending heartbeats."""
    settings = app.settings
    platform = settings.platform
    own = MemberRecord(
        life=app.instance,
        data_centre=settings.data_centre,
        address=f"tcp://{settings.peer_address}",
        state=RouterState.STARTING,
        heartbeat=0,
        applied_offset=0,
        capacity=1.0 if platform is None else platform.capacity,
        caller_address="" if platform is None else settings.caller_address,
    )
    seeds = [
        Seed(peer.router_id, peer.data_centre, f"tcp://{peer.address}")
        for peer in settings.peers
    ]
    network = ZmqPeerNetwork(app, Membership(own, seeds, app.random))
    network.bind()
    app.register(PEERS, network)
    app.create_task(network.async_receive(), "peers receive")
    app.create_task(network.async_send_heartbeats(), "peers heartbeat")
    app.on_unload("peers", network.async_unload)
