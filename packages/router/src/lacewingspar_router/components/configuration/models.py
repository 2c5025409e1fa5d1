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
        version: Version that it made.
        edit_id: Identity of the edit.
        author: Who made it.
    """

    version: int
    edit_id: str
    author: str


@dataclass(frozen=True, slots=True)
class PublishAccepted:
    """The edit is in force.

    Attributes:
        version: New version of the service's document.
    """

    version: int


@dataclass(frozen=True, slots=True)
class PublishConflict:
    """Another edit came first.

    Attributes:
        current_version: Version that is in force.
        other_edit_id: The edit that made this version.
        other_author: Who made that edit.
    """

    current_version: int
    other_edit_id: str
    other_author: str


@dataclass(frozen=True, slots=True)
class PublishUnknown:
    """It is not known whether the edit was appended; ask again by its id."""

    edit_id: str


PublishResult = PublishAccepted | PublishConflict | PublishUnknown


class ConfigurationStore(Protocol):
    """Service documents in force at this router."""

    @property
    def documents_by_service(self) -> Mapping[str, ServiceDocument]:
        """Return the documents in force."""

    @property
    def version_by_service(self) -> Mapping[str, int]:
        """Return the versions in force."""

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration is known."""

    @property
    def applied_offset(self) -> int:
        """Return the first offset that has not been applied."""

    def history(self, service: str) -> Sequence[KnownEdit]:
        """Return the accepted edits of a service that are kept."""

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function after every change of the documents in force."""

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
            edit_id: Identity of the edit; a repeat with the same id is safe.
            service: Name of the service.
            base_version: Version that the edit is based on, 0 for none.
            document: The whole new document as JSON values.
            author: Who makes the edit.
        """


CONFIGURATION: ComponentKey[ConfigurationStore] = ComponentKey("configuration")
