"""Tests of requests whose first run failed and that find no other upstream."""

import pytest
from tests.router.deployed.conftest import Deployment, manifest


@pytest.mark.parametrize(
    ("path", "service", "faults"),
    [
        ("/stream/", "engines", {"break_after_events": 0}),
        ("/read/", "plain", {"unframed": True, "reset_unframed": True}),
    ],
)
async def test_request_that_has_run_is_not_refused_as_not_run(
    deployment: Deployment, path: str, service: str, faults: dict[str, object]
) -> None:
    """Guards against a status that promises that a request has not run."""
    deployment.publish(manifest())
    upstream = await deployment.add_upstream("u1", service)
    caller = await deployment.add_router()
    for name, value in faults.items():
        setattr(upstream.faults, name, value)
    response = await caller.call(path)
    assert upstream.runs.total() > 0
    assert response.status == 502
