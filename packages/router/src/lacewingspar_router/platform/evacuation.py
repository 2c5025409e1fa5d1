"""Decodes the operators' requests to evacuate a data centre."""

from lacewingspar_router.platform import names


def decode_evacuation(key: str) -> str | None:
    """Return the data centre that a key of the operators' topic is about.

    Returns:
        The data centre, or None if the key is no request for an evacuation.
    """
    data_centre = key.removeprefix(names.KEY_PREFIX_EVACUATION)
    return data_centre if data_centre and data_centre != key else None
