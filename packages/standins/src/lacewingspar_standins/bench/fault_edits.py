"""Operator edits and active document versions during faults."""

import asyncio
import contextlib
import random
import uuid
from dataclasses import dataclass, field

import httpx
import msgspec

from lacewingspar_core.documents import dump_document
from lacewingspar_core.platform import ReadReply
from lacewingspar_standins.bench.deployment import SERVICE_CHAT, Deployment
from lacewingspar_standins.fleet_settings import ADMIN_TOKEN, RouterPlan
from lacewingspar_standins.process import RouterProcess

POLL_SECONDS = 0.25
POLL_TIMEOUT_SECONDS = 1.0
EDIT_TIMEOUT_SECONDS = 20.0
STATUS_ACCEPTED = 200


def admin_client(timeout_seconds: float) -> httpx.AsyncClient:
    """Return a client of the administration API."""
    return httpx.AsyncClient(
        timeout=timeout_seconds,
        trust_env=False,
        headers={"authorization": f"Bearer {ADMIN_TOKEN}"},
    )


async def read_versions(
    client: httpx.AsyncClient, plan: RouterPlan
) -> dict[str, int] | None:
    """Return a router's versions by service, or None if it is not ready."""
    base = f"http://{plan.admin_address}"
    try:
        ready = await client.get(f"{base}/ready")
        response = await client.get(f"{base}/v1/services")
    except httpx.HTTPError:
        return None
    if ready.status_code != 200 or response.status_code != 200:
        return None
    return {
        entry["service"]: entry["version"]
        for entry in response.json()["services"]
    }


@dataclass(slots=True)
class VersionMonitor:
    """Tracks the document versions that routers report.

    Attributes:
        reverted: Descriptions of versions that decreased.
        readings: Number of readings so far.
    """

    reverted: list[str] = field(default_factory=list)
    readings: int = 0
    _seen: dict[tuple[str, str], tuple[int, RouterProcess]] = field(
        default_factory=dict
    )

    async def async_run(self, deployment: Deployment) -> None:
        """Poll all routers until cancelled."""
        async with admin_client(POLL_TIMEOUT_SECONDS) as client:
            await asyncio.gather(
                *(
                    self._async_poll(deployment, client, plan)
                    for plan in deployment.plans
                )
            )

    async def _async_poll(
        self,
        deployment: Deployment,
        client: httpx.AsyncClient,
        plan: RouterPlan,
    ) -> None:
        while True:
            process = deployment.routers[plan.router_id]
            versions = await read_versions(client, plan)
            if process is deployment.routers[plan.router_id] and versions:
                self.record_versions(plan.router_id, process, versions)
            await asyncio.sleep(POLL_SECONDS)

    def record_versions(
        self, router_id: str, process: RouterProcess, versions: dict[str, int]
    ) -> None:
        """Record a reading and report a version that decreased."""
        self.readings += 1
        for service, version in versions.items():
            newest, seen_at = self._seen.get((router_id, service), (0, process))
            if version < newest:
                restart_note = (
                    "without restart" if seen_at is process else "after restart"
                )
                self.reverted.append(
                    f"{router_id}: {service} from {newest} to {version}, "
                    f"{restart_note}"
                )
            if version >= newest:
                self._seen[(router_id, service)] = (version, process)


@dataclass(frozen=True, slots=True)
class Edit:
    """An operator's edit.

    Attributes:
        edit_id: Id of the edit.
        status: HTTP status, or 0 without a response.
        version: New version if accepted.
    """

    edit_id: str
    status: int
    version: int = 0


async def async_conflicting_edits(
    deployment: Deployment, generator: random.Random
) -> tuple[Edit, ...]:
    """Submit two edits of the same version to two routers concurrently."""
    first, second = generator.sample(deployment.plans, 2)
    async with admin_client(EDIT_TIMEOUT_SECONDS) as client:
        versions = await read_versions(client, first)
        if versions is None:
            return ()
        base = versions[SERVICE_CHAT]
        return tuple(
            await asyncio.gather(
                *(
                    _async_edit(deployment, client, plan, base, generator)
                    for plan in (first, second)
                )
            )
        )


async def _async_edit(
    deployment: Deployment,
    client: httpx.AsyncClient,
    plan: RouterPlan,
    base_version: int,
    generator: random.Random,
) -> Edit:
    document = dump_document(deployment.documents[SERVICE_CHAT])
    document["workspaces"][0]["queue_limit"] = generator.randrange(100, 1000)
    edit_id = str(uuid.UUID(int=generator.getrandbits(128), version=4))
    body = {
        "edit_id": edit_id,
        "base_version": base_version,
        "author": plan.router_id,
        "document": document,
    }
    url = f"http://{plan.admin_address}/v1/services/{SERVICE_CHAT}"
    with contextlib.suppress(httpx.HTTPError):
        response = await client.put(url, json=body)
        if response.status_code == STATUS_ACCEPTED:
            return Edit(edit_id, STATUS_ACCEPTED, response.json()["version"])
        return Edit(edit_id, response.status_code)
    return Edit(edit_id, 0)


async def async_lost_edits(
    deployment: Deployment, edits: list[Edit]
) -> list[str]:
    """Describe accepted edits that are missing from the log."""
    response = await deployment.log.get(
        "/streams/configuration/records?limit=10000"
    )
    reply = msgspec.convert(response, ReadReply)
    data_by_offset = {record.offset: record.data for record in reply.records}
    return [
        f"edit {edit.edit_id} is not version {edit.version}"
        for edit in edits
        if edit.status == STATUS_ACCEPTED
        and edit.edit_id.encode()
        not in data_by_offset.get(edit.version - 1, b"")
    ]
