"""Bodies of the administration API."""

from typing import Annotated, Any

import msgspec

from lacewingspar_router.components.admin_api.const import (
    MAX_EDIT_ID_CHARACTERS,
)

_Text = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_EDIT_ID_CHARACTERS)
]


class EditBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of `PUT /v1/services/NAME`.

    Attributes:
        edit_id: Identity of the edit; a repeat with the same id is safe.
        base_version: Version that the edit is based on, 0 for none.
        author: Who makes the edit.
        document: The whole new document.
    """

    edit_id: _Text
    base_version: Annotated[int, msgspec.Meta(ge=0)]
    author: _Text
    document: dict[str, Any]


class ServiceVersion(msgspec.Struct, frozen=True):
    """A service and the version of its document in force."""

    service: str
    version: int


class ServiceAnswer(msgspec.Struct, frozen=True):
    """The document of a service that is in force."""

    service: str
    version: int
    document: dict[str, Any]


class ServicesAnswer(msgspec.Struct, frozen=True):
    """All services."""

    services: list[ServiceVersion]


class StateAnswer(msgspec.Struct, frozen=True):
    """Whether the router is alive, ready or draining.

    Attributes:
        life_cycle: State of the router's life-cycle.
        ready: Whether it takes requests of callers.
        in_flight: Requests that have no complete answer yet.
    """

    life_cycle: str
    ready: bool
    in_flight: int
