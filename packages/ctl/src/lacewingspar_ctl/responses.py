"""Responses of the administration API."""

from typing import Any

import msgspec

from lacewingspar_core.document_problems import DocumentProblem


class ServiceResponse(msgspec.Struct, frozen=True):
    """The active document of a service."""

    service: str
    version: int
    document: dict[str, Any]


class EditRecord(msgspec.Struct, frozen=True):
    """An edit that is known to the router.

    Attributes:
        version: Version that the edit created, or the active version if the
            edit was not accepted.
        edit_id: Id of the edit.
        author: Author of the edit.
        accepted: Whether the edit took effect.
    """

    version: int
    edit_id: str
    author: str
    accepted: bool


class HistoryResponse(msgspec.Struct, frozen=True):
    """Edits of a service."""

    edits: tuple[EditRecord, ...]


class Accepted(msgspec.Struct, frozen=True):
    """The edit took effect."""

    version: int


class Conflict(msgspec.Struct, frozen=True):
    """Another edit was accepted first."""

    current_version: int
    other_edit_id: str
    other_author: str


class Unknown(msgspec.Struct, frozen=True):
    """It is not yet known whether the edit took effect.

    Attributes:
        edit_id: Id of the edit.
        reason: Why the outcome is unknown.
    """

    edit_id: str
    reason: str = "the router could not confirm the edit"


class Invalid(msgspec.Struct, frozen=True):
    """The router found problems in the document."""

    problems: tuple[DocumentProblem, ...]


PublishResult = Accepted | Conflict | Unknown | Invalid


class ErrorDetail(msgspec.Struct, frozen=True):
    """Reason of an error response."""

    code: str
    message: str


class ErrorResponse(msgspec.Struct, frozen=True):
    """An error response."""

    error: ErrorDetail
