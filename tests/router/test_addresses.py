"""Replacement of outgoing addresses."""

import pytest

from lacewingspar_router.addresses import map_url

ADDRESS_MAP = {"log:80": "10.0.0.1:8080", "log:9000": "10.0.0.2:9000"}


@pytest.mark.parametrize(
    ("url", "expected"),
    [
        ("http://log", "http://10.0.0.1:8080"),
        ("http://log/base", "http://10.0.0.1:8080/base"),
        ("http://log:9000/a?b=c", "http://10.0.0.2:9000/a?b=c"),
        ("https://log", "https://log"),
        ("http://other:9000", "http://other:9000"),
    ],
)
def test_map_url(url: str, expected: str) -> None:
    """Guards against connections that ignore the translated address."""
    assert map_url(url, ADDRESS_MAP) == expected
