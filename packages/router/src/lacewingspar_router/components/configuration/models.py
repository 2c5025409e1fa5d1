"""Interface of the configuration component."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from lacewingspar_core.documents import ServiceDocument
from lacewingspar_router.application import ComponentKey


@dataclass(frozen=True, slots=True)
class KnownEdit:
    """An accepted edit of a service.

    Attributes:
        version: Document version that the edit created.
        edit_id: Id of the edit.
        author: Author of the edit.
    """

    version: int
    edit_id: str
    author: str


@dataclass(frozen=True, slots=True)
class PublishAccepted:
    """The edit was accepted and is active.

    Attributes:
        version: New version of the service's document.
    """

    version: int


@dataclass(frozen=True, slots=True)
class PublishConflict:
    """The edit was rejected because another edit came first.

    Attributes:
        current_version: Active version.
        other_edit_id: Id of the edit that created this version.
        other_author: Author of that edit.
    """

    current_version: int
    other_edit_id: str
    other_author: str


@dataclass(frozen=True, slots=True)
class PublishUnknown:
    """The edit may or may not be appended; publish it again with its id."""

    edit_id: str


PublishResult = PublishAccepted | PublishConflict | PublishUnknown


class ConfigurationStore(Protocol):
    """Active service documents at this router."""

    @property
    def documents_by_service(self) -> Mapping[str, ServiceDocument]:
        """Return the active documents by service."""

    @property
    def version_by_service(self) -> Mapping[str, int]:
        """Return the active versions by service."""

    @property
    def is_ready(self) -> bool:
        """Return whether the configuration was loaded."""

    @property
    def applied_offset(self) -> int:
        """Return the offset of the next record to apply."""

    def history(self, service: str) -> Sequence[KnownEdit]:
        """Return the retained accepted edits of a service."""

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function that is called after every document change."""

    async def async_publish(
        self,
        *,
        edit_id: str,
        service: str,
        base_version: int,
        document: Mapping[str, Any],
        author: str,
    ) -> PublishResult:
        """Publish a new document of a service.

        Args:
            edit_id: Id of the edit; a repeat with the same id is idempotent.
            service: Name of the service.
            base_version: Version that the edit is based on, 0 for none.
            document: The complete new document as JSON values.
            author: Author of the edit.
        """


CONFIGURATION: ComponentKey[ConfigurationStore] = ComponentKey("configuration")
