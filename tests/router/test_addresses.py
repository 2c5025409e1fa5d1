"""Mapping of outgoing addresses."""

import pytest

from lacewingspar_router.addresses import map_url

ADDRESS_MAP = {"a:80": "127.0.0.1:7001", "a:443": "b:444", "a:90": "[::1]:9"}


@pytest.mark.parametrize(
    ("url", "expected"),
    [
        ("http://a", "http://127.0.0.1:7001"),
        ("http://a/p?q=1", "http://127.0.0.1:7001/p?q=1"),
        ("https://a", "https://b:444"),
        ("http://a:90/p", "http://[::1]:9/p"),
        ("http://a:90/p?b=c", "http://[::1]:9/p?b=c"),
        ("http://a:81", "http://a:81"),
        ("http://other:90", "http://other:90"),
        ("http://a:port", "http://a:port"),
    ],
)
def test_mapped_urls(url: str, expected: str) -> None:
    """Guards against connections that bypass the address map."""
    assert map_url(url, ADDRESS_MAP) == expected
