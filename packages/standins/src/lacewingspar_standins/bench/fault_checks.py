"""Checks of the benchmark `faults`."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from lacewingspar_standins.bench.deployment import SERVICE_CHAT, Deployment
from lacewingspar_standins.bench.fault_actions import GracefulShutdown
from lacewingspar_standins.load_result import LoadResult

# The load generator may see a closed connection after the process has ended.
CLIENT_DETECTION_SECONDS = 0.2


@dataclass(slots=True)
class UpstreamRuns:
    """Run counts summed over all upstreams.

    Attributes:
        by_key: Runs by `workspace/key`.
        by_digest: Runs of plain calls by digest of the body.
        by_request_id: Runs by request id.
    """

    by_key: Counter[str] = field(default_factory=Counter)
    by_digest: Counter[str] = field(default_factory=Counter)
    by_request_id: Counter[str] = field(default_factory=Counter)


class _Runs(msgspec.Struct):
    by_key: dict[str, int]
    by_digest: dict[str, int]
    by_request_id: dict[str, int]


class _Stats(msgspec.Struct):
    runs_by_request_id: dict[str, int]


async def async_read_runs(deployment: Deployment) -> UpstreamRuns:
    """Read the run counts of all upstreams, including past restarts."""
    total = UpstreamRuns()
    plains = await asyncio.gather(
        *(plain.get("/_runs") for plain in deployment.plains.values())
    )
    for response in plains:
        runs = msgspec.convert(response, _Runs)
        total.by_key.update(runs.by_key)
        total.by_digest.update(runs.by_digest)
        total.by_request_id.update(runs.by_request_id)
    engines = await asyncio.gather(
        *(engine.get("/stats") for engine in deployment.engines.values())
    )
    for response in engines:
        stats = msgspec.convert(response, _Stats)
        total.by_request_id.update(stats.runs_by_request_id)
    return total


def repeated_runs(runs: UpstreamRuns) -> list[str]:
    """Describe the calls that ran more than once.

    Bodies are unique, and the load repeats a call without a key only after
    `not_run`, so a digest that ran twice is a violation as well.
    """
    return [
        f"{name} ran {count} times"
        for counter in (runs.by_key, runs.by_digest)
        for name, count in counter.items()
        if count > 1
    ]


def wrong_not_run(results: list[LoadResult], runs: UpstreamRuns) -> list[str]:
    """Describe requests reported as `not_run` that did run.

    A router keeps the request id when it retries at another upstream, so runs
    of earlier attempts count too. A caller's own retry has a new id.
    """
    return [
        f"request {request_id} ran {runs.by_request_id[request_id]} times"
        for result in results
        for request_id in result.not_run_request_ids
        if runs.by_request_id[request_id]
    ]


def aborted_by_shutdowns(
    results: list[LoadResult], shutdowns: list[GracefulShutdown]
) -> list[str]:
    """Describe requests without a response from a router that shut down."""
    return [
        f"{broken.marker}: {broken.outcome} "
        f"{broken.at_seconds - shutdown.began_at:.2f} s after the signal"
        for shutdown in shutdowns
        for result in results
        for broken in result.broken_connections
        if broken.address == shutdown.address
        and shutdown.began_at
        <= broken.at_seconds
        <= shutdown.ended_at + CLIENT_DETECTION_SECONDS
    ]


def responses_without_run(
    results: list[LoadResult], runs: UpstreamRuns
) -> list[str]:
    """Describe successful calls that never ran."""
    ran = {name.partition("/")[2] for name in runs.by_key}
    return [
        f"{key} was answered and never ran"
        for result in results
        for key in result.answered_keys
        if key not in ran
    ]


def differing_versions(
    versions_by_router: dict[str, dict[str, int] | None], newest: int
) -> list[str]:
    """Describe routers that lack the newest accepted version."""
    versions = {
        router_id: (found or {}).get(SERVICE_CHAT, 0)
        for router_id, found in versions_by_router.items()
    }
    expected = max(newest, *versions.values())
    return [
        f"{router_id} is at version {version} instead of {expected}"
        for router_id, version in versions.items()
        if version != expected
    ]
