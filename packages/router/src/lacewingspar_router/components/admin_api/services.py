"""Service documents in the administration API."""

from typing import Any

import msgspec
from litestar import Response, get, put
from litestar.handlers import HTTPRouteHandler
from litestar.params import FromPath, JSONBody
from returns.pipeline import is_successful

from lacewingspar_core.documents import dump_document, validate_document
from lacewingspar_router.application import Application
from lacewingspar_router.components.admin_api.errors import AdminRequestError
from lacewingspar_router.components.admin_api.models import (
    EditBody,
    ServiceAnswer,
    ServicesAnswer,
    ServiceVersion,
)
from lacewingspar_router.components.configuration.models import (
    CONFIGURATION,
    PublishAccepted,
    PublishConflict,
    PublishUnknown,
)


def service_handlers(application: Application) -> list[HTTPRouteHandler]:
    """Return the handlers that read service documents."""
    store = application.get(CONFIGURATION)

    @get("/v1/services")
    async def list_services() -> ServicesAnswer:
        """Return the services with the versions active at this router."""
        versions = store.version_by_service
        return ServicesAnswer(
            [ServiceVersion(n, versions[n]) for n in sorted(versions)]
        )

    @get("/v1/services/{name:str}")
    async def show_service(name: FromPath[str]) -> ServiceAnswer:
        """Return the document of a service that is active at this router."""
        document = store.documents_by_service.get(name)
        if document is None:
            raise _unknown_service(name)
        return ServiceAnswer(
            name, store.version_by_service[name], dump_document(document)
        )

    @get("/v1/services/{name:str}/history")
    async def show_history(name: FromPath[str]) -> dict[str, Any]:
        """Return the retained accepted edits of a service."""
        if name not in store.documents_by_service:
            raise _unknown_service(name)
        edits = [
            {**msgspec.to_builtins(edit), "accepted": True}
            for edit in store.history(name)
        ]
        return {"edits": edits}

    return [list_services, show_service, show_history]


def publish_handler(application: Application) -> HTTPRouteHandler:
    """Return the handler that publishes documents."""
    store = application.get(CONFIGURATION)

    @put("/v1/services/{name:str}")
    async def publish_service(
        name: FromPath[str], data: JSONBody[EditBody]
    ) -> Response[Any]:
        """Publish a new document of a service."""
        problems = _problems(name, data.document)
        if problems:
            return Response({"problems": problems}, status_code=422)
        result = await store.async_publish(
            edit_id=data.edit_id,
            service=name,
            base_version=data.base_version,
            document=data.document,
            author=data.author,
        )
        match result:
            case PublishAccepted():
                status = 200
            case PublishConflict():
                status = 409
            case PublishUnknown():
                status = 202
        return Response(msgspec.to_builtins(result), status_code=status)

    return publish_service


def _problems(name: str, document: dict[str, Any]) -> list[dict[str, Any]]:
    """Return all problems of a document as JSON values."""
    result = validate_document(document)
    problems: list[dict[str, Any]] = []
    if not is_successful(result):
        problems += msgspec.to_builtins(list(result.failure()))
    service = document.get("service")
    if isinstance(service, str) and service != name:
        problems.append(
            {
                "path": "service",
                "value": repr(service[:80]),
                "allowed": f"the name in the request's path, {name!r}",
            }
        )
    return problems


def _unknown_service(name: str) -> AdminRequestError:
    return AdminRequestError(
        404, "unknown_service", f"there is no service {name[:63]!r}"
    )
