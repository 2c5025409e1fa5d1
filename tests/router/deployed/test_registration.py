"""Registration of routers and contact with seed hosts."""

from unittest import mock

import pytest

from lacewingspar_core.identity import RouterInstance
from lacewingspar_router.components.routing.registration import Registration


@pytest.mark.parametrize(
    ("host", "address"),
    [
        ("10.0.0.2:8785", "tcp://10.0.0.2:7400"),
        ("10.0.0.2", "tcp://10.0.0.2:7400"),
    ],
)
def test_seeds_are_contacted_on_the_peer_port(host: str, address: str) -> None:
    """Guards against a router without peers while the log is unavailable."""
    app = mock.Mock(instance=RouterInstance("r1", 1))
    app.settings.peer_address = "10.0.0.1:7400"
    Registration(app, mock.Mock(), mock.Mock(), mock.Mock()).contact_seeds(
        [host]
    )
    ((seeds,), _) = app.get.return_value.add_seeds.call_args
    assert [seed.address for seed in seeds] == [address]
