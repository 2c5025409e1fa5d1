"""Formats the summary of the demo."""

from collections import Counter

from lacewingspar_standins.demo.samples import (
    Sample,
    control_bytes_per_second,
    fairness_gap,
    utilisation,
)
from lacewingspar_standins.demo.small_fleet import (
    SERVICE_MODEL,
    SERVICE_PLAIN,
)
from lacewingspar_standins.demo.verdict import Check
from lacewingspar_standins.load import OUTCOME_OK
from lacewingspar_standins.load_result import LoadResult

MAX_SHOWN_FAILURES = 5


def summary_lines(
    result: LoadResult, samples: list[Sample], weights: dict[str, float]
) -> list[str]:
    """Format the summary of the load, without the checks."""
    return [
        f"Load of {result.seconds:.1f} s",
        *_outcome_lines(result),
        *_workspace_lines(result, samples, weights),
        *_metric_lines(samples, weights),
    ]


def check_lines(checks: list[Check]) -> list[str]:
    """Format the results of the checks."""
    lines = ["Checks"]
    for check in checks:
        state = "FAILED" if check.failures else "ok"
        lines.append(f"  {state:<6} {check.name}")
        lines += [
            f"         {text}" for text in check.failures[:MAX_SHOWN_FAILURES]
        ]
        hidden_count = len(check.failures) - MAX_SHOWN_FAILURES
        if hidden_count > 0:
            lines.append(f"         and {hidden_count} more")
    return lines


def _outcome_lines(result: LoadResult) -> list[str]:
    final_counts: Counter[str] = Counter()
    attempt_counts: Counter[str] = Counter()
    for workspace_result in result.by_workspace.values():
        final_counts.update(workspace_result.finals_by_outcome)
        attempt_counts.update(workspace_result.attempts_by_outcome)
    lines = ["Requests by outcome (last attempt / all attempts)"]
    lines += [
        f"  {outcome:<32} {final_counts[outcome]:>7}"
        f" / {attempt_counts[outcome]}"
        for outcome in sorted(attempt_counts.keys() | final_counts.keys())
    ]
    return lines


def _workspace_lines(
    result: LoadResult, samples: list[Sample], weights: dict[str, float]
) -> list[str]:
    served = samples[-1].served if samples else {}
    lines = [
        "Service by workspace",
        f"  {'workspace':<10} {'weight':>6} {'answered':>9} {'tokens':>8}"
        f" {SERVICE_MODEL + ' slot-s':>13} {SERVICE_PLAIN + ' slot-s':>13}"
        f" {'first token p50':>16} {'p99':>8}",
    ]
    for name, workspace_result in result.by_workspace.items():
        slot_seconds = [
            served.get(service, Counter())[name]
            for service in (SERVICE_MODEL, SERVICE_PLAIN)
        ]
        first_token_seconds = workspace_result.first_token.seconds_by_percentile
        lines.append(
            f"  {name:<10} {weights[name]:>6g}"
            f" {workspace_result.finals_by_outcome.get(OUTCOME_OK, 0):>9}"
            f" {workspace_result.tokens:>8}"
            f" {slot_seconds[0]:>13.2f} {slot_seconds[1]:>13.2f}"
            f" {first_token_seconds['50']:>14.2f} s"
            f" {first_token_seconds['99']:>6.2f} s"
        )
    return lines


def _metric_lines(
    samples: list[Sample], weights: dict[str, float]
) -> list[str]:
    lines = ["Measures"]
    for service in (SERVICE_MODEL, SERVICE_PLAIN):
        gap = fairness_gap(samples, service, weights)
        busy_fraction = utilisation(samples, service)
        gap_text = (
            "no two workspaces were backlogged together"
            if gap is None
            else f"{gap:.2f} slot-seconds by weight"
        )
        busy_text = (
            "no work waited"
            if busy_fraction is None
            else f"{busy_fraction:.1%}"
        )
        lines.append(f"  fairness gap of {service}: {gap_text}")
        lines.append(
            f"  utilisation of {service} while work waited: {busy_text}"
        )
    for router_id, rate in sorted(control_bytes_per_second(samples).items()):
        lines.append(f"  control traffic sent by {router_id}: {rate:.0f} B/s")
    return lines
