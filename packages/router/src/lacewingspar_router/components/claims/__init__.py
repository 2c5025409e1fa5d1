"""At-most-once claims of non-idempotent calls."""

from lacewingspar_router.application import Application
from lacewingspar_router.components.claims.models import CLAIMS
from lacewingspar_router.components.claims.registry import LogClaimRegistry


async def async_setup(app: Application) -> None:
    """Start to read the claim stream.

    Claims of new keys are refused until the stream has been read to its end.
    """
    registry = LogClaimRegistry(app)
    task = app.create_task(registry.async_read_log(), "claims reader")
    app.register(CLAIMS, registry)

    async def async_unload() -> None:
        await registry.async_unload()
        task.cancel()

    app.on_unload("claims", async_unload)
