"""Seeded mistakes that the check of the upstream list must find."""

from dataclasses import dataclass

from specs.directory_model import Rules

from lacewingspar_core.log_positions import ResponseUse


def position_without_era(era: int, offset: int) -> int:
    """Return the offset, as if the log were never restored."""
    del era
    return offset


def use_every_response(position: int, era: int) -> ResponseUse:
    """Use responses of any era."""
    del position, era
    return ResponseUse.APPLY


def is_never_outdated(end: int, known: int) -> bool:
    """Apply every listing."""
    del end, known
    return False


def is_older_than_newest(position: int, newest: int, listed: int) -> bool:
    """Compare a record with the newest one of its key alone."""
    del listed
    return position <= newest


@dataclass(frozen=True)
class Mistake:
    """A seeded mistake.

    Attributes:
        sizes: Name of the model sizes that find it.
        rules: Changed rules of the model.
    """

    sizes: str
    rules: Rules


MISTAKES = {
    "compare offsets alone": Mistake(
        "reader and follower", Rules(position=position_without_era)
    ),
    "use a response of a later era": Mistake(
        "reader and follower", Rules(use=use_every_response)
    ),
    "add records of an older era": Mistake(
        "two readers",
        Rules(is_outdated_record=is_older_than_newest, applies_older_eras=True),
    ),
    "replace newer state by a late listing": Mistake(
        "two readers", Rules(is_outdated_listing=is_never_outdated)
    ),
    "add a record that a listing has removed": Mistake(
        "removals", Rules(is_outdated_record=is_older_than_newest)
    ),
    "take every notice for a confirmation": Mistake(
        "reader and follower", Rules(ignores_changes=True)
    ),
    "send no listing after a restoration": Mistake(
        "two upstreams", Rules(always_sends_records=True)
    ),
}
