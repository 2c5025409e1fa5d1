"""Exhaustive model checking of the protocol models at their stated sizes."""

import contextlib
import time
from dataclasses import replace
from typing import Any
from unittest import mock

from minicheck import Protocol, check_safety

from lacewingspar_core import configreplica
from specs import (
    claims_mistakes,
    claims_model,
    configlog_mistakes,
    configlog_model,
    directory_mistakes,
    directory_model,
)

# Far above the number of states of the largest model; a check that exceeds it
# fails.
MAX_STATES = 1_000_000
CLAIMS = "claims"
CONFIGURATION = "configuration log"
UPSTREAMS = "upstream list"


def model_names() -> list[tuple[str, str]]:
    """Return all pairs of model and sizes."""
    return [
        *((CLAIMS, name) for name in claims_model.SIZES_BY_NAME),
        *((CONFIGURATION, name) for name in configlog_model.SIZES_BY_NAME),
        *((UPSTREAMS, name) for name in directory_model.SIZES_BY_NAME),
    ]


def mistake_names() -> list[tuple[str, str]]:
    """Return all pairs of model and seeded mistake."""
    return [
        *((CLAIMS, name) for name in claims_mistakes.MISTAKES),
        *((CONFIGURATION, name) for name in configlog_mistakes.MISTAKES),
        *((UPSTREAMS, name) for name in directory_mistakes.MISTAKES),
    ]


def check_model(model: str, sizes: str) -> dict[str, Any]:
    """Check a model and return the report of the model checker."""
    if model == CLAIMS:
        claims_sizes = claims_model.SIZES_BY_NAME[sizes]
        protocol = claims_model.ClaimsModel(claims_sizes).protocol()
    elif model == UPSTREAMS:
        upstream_sizes = directory_model.SIZES_BY_NAME[sizes]
        protocol = directory_model.DirectoryModel(upstream_sizes).protocol()
    else:
        config_sizes = configlog_model.SIZES_BY_NAME[sizes]
        protocol = configlog_model.ConfigLogModel(config_sizes).protocol()
    return _check(protocol)


def check_mistake(model: str, mistake: str) -> dict[str, Any]:
    """Check a model with a seeded mistake until the first violation."""
    if model == CLAIMS:
        seeded = claims_mistakes.MISTAKES[mistake]
        sizes = claims_model.SIZES_BY_NAME[seeded.sizes]
        protocol = claims_model.ClaimsModel(sizes, seeded.rules).protocol()
        return _check(_until_violation(protocol))
    if model == UPSTREAMS:
        wrong = directory_mistakes.MISTAKES[mistake]
        protocol = directory_model.DirectoryModel(
            directory_model.SIZES_BY_NAME[wrong.sizes], wrong.rules
        ).protocol()
        return _check(_until_violation(protocol))
    seeded = configlog_mistakes.MISTAKES[mistake]
    protocol = configlog_model.ConfigLogModel(
        configlog_model.SIZES_BY_NAME[seeded.sizes], seeded.rules
    ).protocol()
    with contextlib.ExitStack() as stack:
        for name, function in seeded.patches.items():
            stack.enter_context(
                mock.patch.object(configreplica, name, function)
            )
        return _check(_until_violation(protocol))


def violations(report: dict[str, Any]) -> dict[str, list[str]]:
    """Return the shortest trace to a violation, by violated property."""
    return {
        name: [step["label"] for step in result["counterexample"][1:]]
        for name, result in report["properties"].items()
        if result["holds"] is False
    }


def _check(protocol: Protocol) -> dict[str, Any]:
    report: dict[str, Any] = check_safety(protocol, max_states=MAX_STATES)
    return report


def _until_violation(protocol: Protocol) -> Protocol:
    """Return a copy of the model that explores no states after a violation."""
    has_failed = False

    def record_result(invariant: Any) -> Any:
        def check(state: dict[str, Any]) -> bool:
            nonlocal has_failed
            holds = bool(invariant(state))
            has_failed = has_failed or not holds
            return holds

        return check

    return replace(
        protocol,
        transitions=lambda state: (
            [] if has_failed else protocol.transitions(state)
        ),
        invariants={
            name: record_result(invariant)
            for name, invariant in protocol.invariants.items()
        },
    )


def main() -> None:
    """Check all models and seeded mistakes, and print the results."""
    for model, sizes in model_names():
        started = time.perf_counter()
        report = check_model(model, sizes)
        holds = all(r["holds"] for r in report["properties"].values())
        print(
            f"{model}, {sizes}: {'holds' if holds else 'FAILS'};"
            f" {report['reachable_states']} states,"
            f" {'exhaustive' if report['exhaustive'] else 'NOT exhaustive'},"
            f" {time.perf_counter() - started:.1f} s"
        )
    for model, mistake in mistake_names():
        started = time.perf_counter()
        report = check_mistake(model, mistake)
        found = violations(report)
        print(
            f"{model}, mistake: {mistake}:"
            f" {'found: ' + ', '.join(found) if found else 'NOT FOUND'};"
            f" {report['reachable_states']} states,"
            f" {time.perf_counter() - started:.1f} s"
        )


if __name__ == "__main__":
    main()
