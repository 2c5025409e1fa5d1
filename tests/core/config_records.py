"""Records of the configuration stream for tests."""

from typing import Any

from lacewingspar_core.configlog import ConfigState, Edit, apply_record

DOCUMENT = {
    "service": "s",
    "kind": "plain",
    "upstreams": [],
    "workspaces": [],
}


def edit(edit_id: str, base: int, patch: Any = DOCUMENT) -> Edit:
    return Edit(edit_id, "s", base, patch, f"author of {edit_id}")


def state_after(*records: Any) -> ConfigState:
    state = ConfigState()
    for offset, record in enumerate(records):
        state = apply_record(state, offset, record)
    return state
