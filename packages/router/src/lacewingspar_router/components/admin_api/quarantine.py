"""Prompt parts in quarantine in the administration API."""

from typing import Any

import msgspec
import structlog
from litestar import delete, get
from litestar.handlers import HTTPRouteHandler
from litestar.params import FromPath

from lacewingspar_router.application import Application
from lacewingspar_router.components.admin_api.errors import AdminRequestError
from lacewingspar_router.components.quarantine.models import QUARANTINE

_LOGGER = structlog.get_logger(__name__)


def quarantine_handlers(application: Application) -> list[HTTPRouteHandler]:
    """Return the handlers that show and release prompt parts."""

    @get("/v1/quarantine")
    async def show() -> dict[str, Any]:
        """Return the prompt parts in quarantine, by service."""
        parts_by_service = application.get(QUARANTINE).quarantined_parts()
        return {"parts": msgspec.to_builtins(parts_by_service)}

    @delete(
        "/v1/quarantine/{service:str}/{part:str}",
        status_code=200,
    )
    async def release(
        service: FromPath[str], part: FromPath[str]
    ) -> dict[str, Any]:
        """End the quarantine of a prompt part on all routers."""
        if not application.get(QUARANTINE).release_part(service, part):
            raise AdminRequestError(
                404,
                "unknown_part",
                f"part {part[:63]!r} of {service[:63]!r} is not in quarantine",
            )
        _LOGGER.warning(
            "prompt part released by an operator", service=service, part=part
        )
        return {"service": service, "part": part}

    return [show, release]
