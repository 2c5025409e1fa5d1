"""The settings template of the users' platform, and the configuration."""

import importlib.util
import re
import sys
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType, SimpleNamespace
from typing import Any

import msgspec
import pytest
from returns.result import Success

from lacewingspar_router.platform.manifest import decode_configuration
from lacewingspar_router.settings import PlatformSettings, load_settings

ROOT = Path(__file__).parents[2]
TEMPLATE = ROOT / "deploy" / "settings.json"
VALUES: dict[str, Any] = {
    "node": "r1",
    "zone": "dc-a",
    "listen.front": "192.0.2.1:80",
    "listen.ready": "192.0.2.1:81",
    "ip": "192.0.2.1",
    "internalPorts.0": 82,
    "platform.address": "192.0.2.2:80",
    "seedNodes": ["192.0.2.3"],
    "bounds.graceS": 8,
    "bounds.retryBudgetRatio": 0.2,
    "bounds.budgetWindowS": 10,
    "bounds.budgetSlack": 20,
    "limits.maxFds": 1024,
    "limits.memoryMb": 200,
    "limits.cpuShare": 0.5,
    "limits.cores": 1.5,
}


def rendered(values: dict[str, Any]) -> str:
    """Return the template with its sections and placeholders filled in."""

    def section(match: re.Match[str]) -> str:
        return match[2] if match[1] in values else ""

    def placeholder(match: re.Match[str]) -> str:
        value = values[match[1]]
        if match[2] or not isinstance(value, str):
            return msgspec.json.encode(value).decode()
        return value

    template = TEMPLATE.read_text("utf-8")
    text = re.sub(r"{{#([\w.]+)}}(.*?){{/\1}}", section, template, flags=re.S)
    return re.sub(r"{{([\w.]+)(\|json)?}}", placeholder, text)


@pytest.mark.parametrize(
    ("bounds", "factor", "allowance"),
    [
        ({}, None, None),
        ({"bounds.coldOver": 1.5}, 1.5, None),
        ({"bounds.coldSlack": 5}, None, 5.0),
        ({"bounds.coldOver": 1.5, "bounds.coldSlack": 5}, 1.5, 5.0),
    ],
    ids=["neither", "factor", "allowance", "both"],
)
def test_limits_of_cold_upstreams_are_set_where_the_platform_gives_them(
    tmp_path: Path,
    bounds: dict[str, float],
    factor: float | None,
    allowance: float | None,
) -> None:
    """Guards against a router that cannot start where they are not given."""
    path = tmp_path / "settings.json"
    path.write_text(rendered(VALUES | bounds), "utf-8")
    platform = load_settings(path).platform
    assert isinstance(platform, PlatformSettings)
    assert platform.cold_rate_factor == factor
    assert platform.cold_rate_allowance == allowance
    assert platform.processor_speed == 1.5


@pytest.fixture
def rig(request: pytest.FixtureRequest) -> Iterator[ModuleType]:
    """Return the rig of the review's cases in the folder of the test."""
    path = ROOT / "review" / request.param / "rig.py"
    name = f"review_{request.param}_rig"
    spec = importlib.util.spec_from_file_location(name, path)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    # Data classes look up their module by name.
    sys.modules[name] = module
    spec.loader.exec_module(module)
    yield module
    del sys.modules[name]


@pytest.mark.parametrize(
    ("rig", "arguments", "file", "memory_megabytes"),
    [
        ("lib", {"port": 7400}, "front-1.json", 300),
        (
            "lib",
            {"port": 7400, "settings": {"log_level": "debug"}},
            "front-1.json",
            300,
        ),
        ("lib2", {"ip": "127.0.0.1"}, "front-1.yaml", 150),
        (
            "lib2",
            {"ip": "127.0.0.1", "bounds": {"coldOver": 1.5}},
            "front-1.yaml",
            150,
        ),
    ],
    ids=["lib", "lib with settings", "lib2", "lib2 with bounds"],
    indirect=["rig"],
)
def test_rigs_of_the_review_fill_in_the_template(
    tmp_path: Path,
    rig: ModuleType,
    arguments: dict[str, Any],
    file: str,
    memory_megabytes: int,
) -> None:
    """Guards against cases that end with code 2 after a change of the template.

    The rigs lacked `limits.memoryMb` and sections once they were added to it.
    """
    store = SimpleNamespace(address="127.0.0.1:8781")
    rig.Router("front-1", "dc-a", store=store, folder=tmp_path, **arguments)
    settings = load_settings(tmp_path / file)
    assert settings.router_id == "front-1"
    assert settings.log_service_url == "http://127.0.0.1:8781"
    assert settings.log_level == arguments.get("settings", {}).get(
        "log_level", "info"
    )
    assert settings.platform is not None
    assert settings.platform.memory_limit_megabytes == memory_megabytes
    bounds = arguments.get("bounds", {})
    assert settings.platform.cold_rate_factor == bounds.get("coldOver")


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, (0.0, 0.0)),
        ({"coldStartS": 4.5, "coldPerS": 12}, (4.5, 12.0)),
        ({"coldStartS": 4, "coldPerS": 0}, (4.0, 0.0)),
    ],
)
def test_cold_start_of_a_service_is_decoded(
    fields: dict[str, Any], expected: tuple[float, float]
) -> None:
    document = {"version": 1, "services": [{"name": "models"} | fields]}
    decoded = decode_configuration(msgspec.json.encode(document))
    assert isinstance(decoded, Success)
    service = decoded.unwrap().service_by_name["models"]
    assert expected == (
        service.cold_start_seconds,
        service.cold_requests_per_second,
    )
