"""Checks of the fleet's guarantees in the demo."""

from collections import Counter
from dataclasses import dataclass
from typing import Any

from lacewingspar_standins.demo.small_fleet import (
    SERVICE_MODEL,
    SERVICE_PLAIN,
    SmallFleet,
)
from lacewingspar_standins.load import OUTCOME_OK
from lacewingspar_standins.load_check import (
    OUTCOME_BROKEN,
    OUTCOME_WRONG_ANSWER,
)
from lacewingspar_standins.load_result import LoadResult
from lacewingspar_standins.process import RouterProcess

ABORT_LOG_EVENT = b"request cut by shutdown"
# Outcomes of a caller whose router exits before it completes the response.
ABORT_OUTCOMES = (OUTCOME_BROKEN, "no_answer")


@dataclass(frozen=True, slots=True)
class Check:
    """Result of checking a guarantee.

    Attributes:
        name: The guarantee.
        failures: Descriptions of violations; empty if it holds.
    """

    name: str
    failures: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Runs:
    """Run counts of the upstreams.

    Attributes:
        by_key: Runs of keyed calls by key.
        by_request_id: Runs by request id.
    """

    by_key: Counter[str]
    by_request_id: Counter[str]


async def read_runs(small_fleet: SmallFleet) -> Runs:
    """Read the run counts of the running upstreams."""
    runs = Runs(Counter(), Counter())
    for standin in small_fleet.upstreams_of(SERVICE_PLAIN).values():
        counted: dict[str, Any] = await standin.get("/_runs")
        runs.by_key.update(counted["by_key"])
        runs.by_request_id.update(counted["by_request_id"])
    for standin in small_fleet.upstreams_of(SERVICE_MODEL).values():
        if standin.is_running:
            stats: dict[str, Any] = await standin.get("/stats")
            runs.by_request_id.update(stats["runs_by_request_id"])
    return runs


def check_responses(result: LoadResult) -> Check:
    """Check that every response is complete and matches its request."""
    failures = result.problems
    wrong = result.count(OUTCOME_WRONG_ANSWER)
    if wrong and not failures:
        failures = (f"{wrong} wrong responses",)
    return Check("answers are whole and belong to their requests", failures)


def check_duplicates(result: LoadResult, runs: Runs) -> Check:
    """Check that keyed calls ran at most once, and once if successful."""
    failures = [
        f"key {key} ran {count} times"
        for key, count in runs.by_key.items()
        if count > 1
    ]
    # Routers prefix the key with the workspace.
    run_keys = {key.partition("/")[2] for key in runs.by_key}
    failures += [
        f"key {key} succeeded but did not run"
        for key in result.answered_keys
        if key not in run_keys
    ]
    return Check("keyed calls ran at most once", tuple(failures))


def check_not_run(result: LoadResult, runs: Runs) -> Check:
    """Check that no request reported as not run has run."""
    failures = [
        f"request {request_id} ran"
        for request_id in result.not_run_request_ids
        if runs.by_request_id[request_id]
    ]
    return Check("requests reported as not run did not run", tuple(failures))


def check_served(result: LoadResult) -> Check:
    """Check that every workspace got responses."""
    failures = [
        f"workspace {name} got no successful response"
        for name, workspace_result in result.by_workspace.items()
        if not workspace_result.finals_by_outcome.get(OUTCOME_OK)
    ]
    return Check("every workspace was served", tuple(failures))


def check_shutdown(
    result: LoadResult, router: RouterProcess, address: str
) -> Check:
    """Check that a terminated router aborted no requests.

    Args:
        result: Result of the load.
        router: The router, after its end.
        address: Caller address of the router.
    """
    failures: list[str] = []
    status = router.process.returncode
    if status != 0:
        failures.append(f"{router.name} has exit status {status}")
    abort_count = router.log_file.read_bytes().count(ABORT_LOG_EVENT)
    if abort_count:
        failures.append(f"{router.name} logged {abort_count} aborted requests")
    attempts = result.attempts_by_address.get(address, {})
    failures += [
        f"{attempts[outcome]} attempts at {router.name} ended as {outcome}"
        for outcome in ABORT_OUTCOMES
        if attempts.get(outcome)
    ]
    name = "the terminated router cut no request and exited with status 0"
    return Check(name, tuple(failures))
