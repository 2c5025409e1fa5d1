"""Adapter to the users' platform; the only package with its wire names."""

from lacewingspar_router.application import Application
from lacewingspar_router.components.forwarding.models import WIRE_FORMAT
from lacewingspar_router.components.routing.models import (
    ROUTING_SOURCE,
    RoutingSource,
)
from lacewingspar_router.hand_over_tokens import (
    HAND_OVER_TOKENS,
    HandOverTokens,
)
from lacewingspar_router.platform import names
from lacewingspar_router.platform.evacuation import decode_evacuation
from lacewingspar_router.platform.manifest import decode_configuration
from lacewingspar_router.platform.store import PlatformStore, StoreTopic
from lacewingspar_router.platform.upstream_list import decode_upstream
from lacewingspar_router.platform.wire_format import PlatformWireFormat


async def async_setup(app: Application) -> None:
    """Register the routing source and the wire format of the platform."""
    store = PlatformStore(
        app.settings.log_service_url.removeprefix("http://").rstrip("/")
    )
    tokens = HandOverTokens()
    app.register(HAND_OVER_TOKENS, tokens)
    app.register(WIRE_FORMAT, PlatformWireFormat(tokens))
    app.register(
        ROUTING_SOURCE,
        RoutingSource(
            configuration=StoreTopic(store, names.TOPIC_CONFIGURATION),
            configuration_key=names.KEY_CONFIGURATION,
            upstreams=StoreTopic(store, names.TOPIC_UPSTREAMS),
            routers=StoreTopic(store, names.TOPIC_ROUTERS),
            decode_configuration=decode_configuration,
            decode_evacuation=decode_evacuation,
            decode_upstream=decode_upstream,
        ),
    )

    async def async_unload() -> None:
        store.close()

    app.on_unload("platform", async_unload)
