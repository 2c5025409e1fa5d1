"""Replacement of outgoing addresses in networks that translate them."""

from collections.abc import Mapping
from urllib.parse import urlsplit, urlunsplit

_PORT_BY_SCHEME = {"http": 80, "https": 443}


def map_url(url: str, address_map: Mapping[str, str]) -> str:
    """Return a URL with its host and port replaced as the settings say."""
    parts = urlsplit(url)
    port = parts.port or _PORT_BY_SCHEME[parts.scheme]
    mapped = address_map.get(f"{parts.hostname}:{port}")
    if mapped is None:
        return url
    return urlunsplit(parts._replace(netloc=mapped))
