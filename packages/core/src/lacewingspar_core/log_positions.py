"""Positions in topics of a log that may be restored to an older state.

A position is a number that holds the era, which counts the restorations, and
the offset, so that positions of a later era are greater. In era 0 it is the
offset. In messages between routers it takes the place of an offset.
"""

from enum import Enum

# Offsets of one era are below it: 30 years of 1,000 records a second. It is a
# power of ten so that log lines show both parts.
_ERA_STRIDE = 10**12
# Largest era whose positions fit into 63 bits.
MAX_ERA = 9_000_000


def log_position(era: int, offset: int) -> int:
    """Return the position of an offset in an era."""
    return era * _ERA_STRIDE + offset


def era_of(position: int) -> int:
    """Return the era of a position, or -1 if the position is unknown."""
    return position // _ERA_STRIDE


def offset_of(position: int) -> int:
    """Return the offset of a known position in its era."""
    return position % _ERA_STRIDE


class ResponseUse(Enum):
    """What becomes of a response to a read from a position.

    Attributes:
        APPLY: It is of the era of the position.
        LIST_AGAIN: The log was restored since; its records are others.
        DROP: It is of a state that the log has lost.
    """

    APPLY = "apply"
    LIST_AGAIN = "list again"
    DROP = "drop"


def response_use(position: int, era: int) -> ResponseUse:
    """Return the use of a response of an era to a read from a position."""
    if era > era_of(position):
        return ResponseUse.LIST_AGAIN
    return ResponseUse.APPLY if era == era_of(position) else ResponseUse.DROP


def is_outdated_listing(end: int, known: int) -> bool:
    """Return whether a listing ends before the position that is known.

    Args:
        end: Position of the end of the listing.
        known: Position up to which all records are known, or -1.
    """
    return end < known


def is_outdated_record(position: int, newest: int, listed: int) -> bool:
    """Return whether a record is included in what is known.

    Args:
        position: Position of the record.
        newest: Position of the newest known record of its key, or -1.
        listed: Position of the end of the last listing, or -1. It includes all
            records before, and does not contain the removed keys.
    """
    return position <= newest or position < listed
