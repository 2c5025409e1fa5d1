"""Answers of the administration API."""

from typing import Any

import msgspec

from lacewingspar_core.document_problems import DocumentProblem


class ServiceAnswer(msgspec.Struct, frozen=True):
    """The document of a service that is in force."""

    service: str
    version: int
    document: dict[str, Any]


class EditRecord(msgspec.Struct, frozen=True):
    """An edit that the router knows.

    Attributes:
        version: Version that the edit made, or that was in force when it was
            not accepted.
        edit_id: Identity of the edit.
        author: Who made it.
        accepted: Whether it took effect.
    """

    version: int
    edit_id: str
    author: str
    accepted: bool


class HistoryAnswer(msgspec.Struct, frozen=True):
    """Edits of a service."""

    edits: tuple[EditRecord, ...]


class Accepted(msgspec.Struct, frozen=True):
    """The edit is in force."""

    version: int


class Conflict(msgspec.Struct, frozen=True):
    """Another edit came first."""

    current_version: int
    other_edit_id: str
    other_author: str


class Unknown(msgspec.Struct, frozen=True):
    """Nobody knows yet whether the edit took effect.

    Attributes:
        edit_id: Identity of the edit.
        reason: Why it is not known.
    """

    edit_id: str
    reason: str = "the router could not confirm the edit"


class Invalid(msgspec.Struct, frozen=True):
    """The router found mistakes in the document."""

    problems: tuple[DocumentProblem, ...]


PublishAnswer = Accepted | Conflict | Unknown | Invalid


class ErrorDetail(msgspec.Struct, frozen=True):
    """Reason of a refusal."""

    code: str
    message: str


class ErrorAnswer(msgspec.Struct, frozen=True):
    """A refusal."""

    error: ErrorDetail
