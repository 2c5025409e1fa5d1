"""Tests the command that collects the log lines about one request."""

import json
from pathlib import Path
from typing import Any

import pytest

T0 = "2026-12-04T06:00:"


def line(second: float, router: str, event: str, **fields: Any) -> str:
    stamp = {"timestamp": f"{T0}{second:06.3f}Z", "router": router}
    return json.dumps(fields | stamp | {"event": event, "level": "info"})


R1 = [
    line(1.0, "r1", "upstream removed", upstream="u1"),
    line(1.1, "r1", "upstream removed", upstream="other"),
    line(
        3.0, "r1", "request admitted", request_id="q", upstream="u1", owner="r2"
    ),
    line(
        3.1, "r1", "request admitted", request_id="p", upstream="u1", owner="r2"
    ),
    line(3.4, "r1", "request ended", request_id="q", outcome="broken_off"),
    line(9.0, "r1", "log service unavailable", topic="t"),
]
R2 = [
    "starting up",
    "{not json",
    '{"event": "no time"}',
    "  12.0 r2 " + line(2.0, "r2", "log service unavailable", topic="t"),
    line(2.5, "r2", "upstream removed", upstream="u1"),
]
R3 = [line(2.6, "r3", "upstream removed", upstream="u1")]


@pytest.fixture
def logs(tmp_path: Path) -> list[str]:
    files = []
    for name, lines in {"1": R1, "2": R2, "3": R3}.items():
        file = tmp_path / f"{name}.log"
        file.write_text("\n".join(lines))
        files.append(str(file))
    return files


@pytest.mark.parametrize(
    ("options", "expected"),
    [
        (
            [],
            [
                ("r1", "upstream removed"),
                ("r2", "log service unavailable"),
                ("r2", "upstream removed"),
                ("r1", "request admitted"),
                ("r1", "request ended"),
            ],
        ),
        (
            ["--before", "0.6"],
            [
                ("r2", "upstream removed"),
                ("r1", "request admitted"),
                ("r1", "request ended"),
            ],
        ),
    ],
)
def test_lines_of_participants_come_in_order_of_time(
    router: Any,
    logs: list[str],
    options: list[str],
    expected: list[tuple[str, str]],
) -> None:
    outcome = router.run("--json", "story", *options, "q", *logs)
    assert outcome.code == 0
    shown = [(item["router"], item["event"]) for item in outcome.json()]
    assert shown == expected


def test_table_names_the_inputs(router: Any, logs: list[str]) -> None:
    outcome = router.run("story", "q", *logs)
    assert outcome.code == 0
    assert "outcome=broken_off" in outcome.out


@pytest.mark.parametrize("arguments", [["unknown"], ["q", "missing.log"]])
def test_bad_input_is_named(
    router: Any, logs: list[str], arguments: list[str]
) -> None:
    outcome = router.run("story", *arguments, *logs)
    assert outcome.code == 2
    assert arguments[-1] in outcome.err
