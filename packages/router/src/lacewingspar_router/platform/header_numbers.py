"""Numbers in the headers of requests and responses."""

import re
from dataclasses import dataclass

from lacewingspar_router.errors import RouterError

# More digits than any header needs; a float of as many is still finite.
_MAX_DIGITS = 300
_NUMBER = re.compile(
    rf"[0-9]{{1,{_MAX_DIGITS}}}(\.[0-9]{{0,{_MAX_DIGITS}}})?"
    rf"|\.[0-9]{{1,{_MAX_DIGITS}}}"
)


class HeaderNumberError(RouterError):
    """A text is not a number that its header may hold."""


@dataclass(frozen=True, slots=True)
class NumberRange:
    """Numbers that a header may hold.

    Attributes:
        maximum: Largest number; the smallest is 0.
        is_whole: Whether a number with a decimal point is invalid.
    """

    maximum: float
    is_whole: bool = True


def read_number(text: str, accepted: NumberRange) -> float:
    """Return the number that a text holds, as `int` unless it has a point.

    Only decimal digits of ASCII are read, without a sign or an exponent.

    Raises:
        HeaderNumberError: The text is no such number or is out of range.
    """
    if not _NUMBER.fullmatch(text):
        raise HeaderNumberError("not a number")
    if "." not in text:
        number: float = int(text)
    elif accepted.is_whole:
        raise HeaderNumberError("not a whole number")
    else:
        number = float(text)
    if number > accepted.maximum:
        raise HeaderNumberError(f"more than {accepted.maximum}")
    return number
