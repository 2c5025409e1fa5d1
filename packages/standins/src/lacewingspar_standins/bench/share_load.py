"""Load of the benchmark `share`: workspaces with uneven entry points."""

from lacewingspar_standins.bench.deployment import (
    MODEL,
    SERVICE_CHAT,
    SERVICE_PLAIN,
    Deployment,
)
from lacewingspar_standins.bench.load_processes import LoadProcess, start_load
from lacewingspar_standins.fleet_settings import token_of
from lacewingspar_standins.load_options import LoadOptions, WorkspaceLoad

# Requests in flight per backlogged workspace. The first two are the large ones.
CONCURRENCY_BY_WORKSPACE = {
    "ws-01": 60,
    "ws-02": 40,
    "ws-03": 24,
    "ws-04": 24,
    "ws-05": 16,
    "ws-06": 16,
    "ws-07": 16,
    "ws-08": 16,
    "ws-09": 16,
    "ws-10": 16,
    "ws-11": 16,
    "ws-12": 16,
}
# Requests per second of the workspaces that are not backlogged.
RATE_BY_WORKSPACE = {"ws-13": 0.5, "ws-14": 0.5, "ws-15": 1.0, "ws-16": 1.0}


async def start_loads(
    deployment: Deployment, seed: int, seconds: float
) -> list[LoadProcess]:
    """Start one load process for each service and group of workspaces.

    The large workspaces send to all data centres, each of the others to only
    one.
    """
    data_centres = deployment.shape.data_centres
    loads: list[LoadProcess] = []
    for service, chat_share, divisor in (
        (SERVICE_CHAT, 1.0, 1),
        (SERVICE_PLAIN, 0.0, 2),
    ):
        for index, group in enumerate(_groups(len(data_centres))):
            entry = () if index == 0 else (data_centres[index - 1],)
            options = LoadOptions(
                addresses=deployment.caller_addresses(*entry),
                workspaces=tuple(_workspace_load(w, divisor) for w in group),
                seed=seed,
                max_requests=1_000_000,
                max_seconds=seconds,
                timeout_seconds=180,
                chat_share=chat_share,
                model=MODEL,
                plain_path=f"/services/{SERVICE_PLAIN}/work",
                median_tokens=40,
                sigma=0.7,
                work_ms=150,
            )
            name = f"load-{service}-{index}"
            loads.append(await start_load(deployment.fleet, name, options))
    return loads


def _groups(data_centres: int) -> list[list[str]]:
    """Return a group of the large workspaces, then one per data centre."""
    names = [*CONCURRENCY_BY_WORKSPACE, *RATE_BY_WORKSPACE]
    others = names[2:]
    return [names[:2], *(others[n::data_centres] for n in range(data_centres))]


def _workspace_load(workspace: str, divisor: int) -> WorkspaceLoad:
    return WorkspaceLoad(
        name=workspace,
        token=token_of(workspace),
        concurrency=CONCURRENCY_BY_WORKSPACE.get(workspace, 0) // divisor,
        rate=RATE_BY_WORKSPACE.get(workspace, 0.0),
    )
