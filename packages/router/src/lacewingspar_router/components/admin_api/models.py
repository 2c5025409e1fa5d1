"""Request and response bodies of the administration API."""

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
        edit_id: Id of the edit; it is safe to repeat an edit with its id.
        base_version: Version that the edit is based on, or 0 for none.
        author: Author of the edit.
        document: The whole new document.
    """

    edit_id: _Text
    base_version: Annotated[int, msgspec.Meta(ge=0)]
    author: _Text
    document: dict[str, Any]


class ServiceVersion(msgspec.Struct, frozen=True):
    """A service and the version of its active document."""

    service: str
    version: int


class ServiceAnswer(msgspec.Struct, frozen=True):
    """The active document of a service."""

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
        ready: Whether it accepts requests of callers.
        in_flight: Number of requests without a complete response.
    """

    life_cycle: str
    ready: bool
    in_flight: int
