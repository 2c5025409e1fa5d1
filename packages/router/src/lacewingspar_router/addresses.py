"""Translation of outgoing addresses by the setting `address_map`."""

from collections.abc import Mapping

import httpx

_DEFAULT_PORT_BY_SCHEME = {"http": 80, "https": 443}


def map_url(url: str, address_map: Mapping[str, str]) -> str:
    """Replace the `host:port` of a URL if the map contains it.

    An invalid URL is returned unchanged, so that its user reports the error.

    Args:
        url: Absolute HTTP or HTTPS URL.
        address_map: Replacements, keyed by the original `host:port`.
    """
    try:
        parsed = httpx.URL(url)
    except httpx.InvalidURL:
        return url
    port = parsed.port or _DEFAULT_PORT_BY_SCHEME.get(parsed.scheme)
    replacement = address_map.get(f"{parsed.host}:{port}")
    if replacement is None:
        return url
    host, _, mapped_port = replacement.rpartition(":")
    return str(parsed.copy_with(host=host, port=int(mapped_port)))
