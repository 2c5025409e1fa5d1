"""Index of workspaces by token and of services by model."""

import hashlib
from collections.abc import Mapping

from lacewingspar_core.documents import (
    ServiceDocument,
    ServiceKind,
    Workspace,
)


class AccessIndex:
    """Maps tokens to workspaces and models to services.

    Args:
        documents_by_service: Active service documents.
    """

    def __init__(
        self, documents_by_service: Mapping[str, ServiceDocument]
    ) -> None:
        self.documents_by_service = dict(documents_by_service)
        self._workspaces_by_token: dict[str, dict[str, Workspace]] = {}
        self._services_by_model: dict[str, list[str]] = {}
        for service in sorted(documents_by_service):
            self._add(documents_by_service[service])

    def workspace_by_service(self, token: str) -> Mapping[str, Workspace]:
        """Return the workspaces of a token, empty for an unknown token."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        return self._workspaces_by_token.get(digest, {})

    def service_of_model(
        self, model: str, workspace_by_service: Mapping[str, Workspace]
    ) -> str | None:
        """Return a service that has a model, if possible one of the caller's.

        Args:
            model: Name of the model.
            workspace_by_service: The caller's workspaces.
        """
        services = self._services_by_model.get(model, [])
        for service in services:
            if service in workspace_by_service:
                return service
        return services[0] if services else None

    def models_of(self, service: str) -> list[str]:
        """Return the models of a service in alphabetical order."""
        document = self.documents_by_service[service]
        names = {
            model
            for upstream in document.upstreams
            for model in upstream.models
        }
        return sorted(names)

    def _add(self, document: ServiceDocument) -> None:
        for workspace in document.workspaces:
            for digest in workspace.token_sha256:
                by_service = self._workspaces_by_token.setdefault(digest, {})
                by_service[document.service] = workspace
        if document.kind is ServiceKind.MODEL:
            for model in self.models_of(document.service):
                self._services_by_model.setdefault(model, []).append(
                    document.service
                )
