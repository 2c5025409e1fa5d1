"""Router settings and document entries for the fleet harness."""

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from lacewingspar_core.documents import Upstream, Workspace
from lacewingspar_standins.process import StandInProcess

ADMIN_TOKEN = "fleet-admin-token"


@dataclass(frozen=True, slots=True)
class RouterPlan:
    """Name and reserved addresses of a router that may not run yet.

    Attributes:
        router_id: Name of the router.
        data_centre: Data centre of the router.
        caller_address: Address for callers as `host:port`.
        admin_address: Address of the administration API.
        peer_address: Address for other routers.
    """

    router_id: str
    data_centre: str
    caller_address: str
    admin_address: str
    peer_address: str


def token_of(workspace: str) -> str:
    """Return the bearer token of a workspace in harness documents."""
    return f"token-{workspace}"


def sha256_hex(text: str) -> str:
    """Return the SHA-256 hash of a text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def workspace_entry(
    name: str, weight: float = 1.0, queue_limit: int = 100
) -> Workspace:
    """Return a workspace for a service document."""
    return Workspace(
        name=name,
        token_sha256=(sha256_hex(token_of(name)),),
        weight=weight,
        queue_limit=queue_limit,
    )


def upstream_entry(
    standin: StandInProcess,
    data_centre: str,
    slots: int,
    models: Sequence[str] = (),
    vm: str | None = None,
) -> Upstream:
    """Return the entry of a stand-in for a service document.

    Args:
        standin: The engine or plain service; its name becomes the id.
        data_centre: Data centre of the upstream.
        slots: Maximum number of requests that run at the same time.
        models: Names of the models of an engine.
        vm: Name of its VM in the VM list, if any.
    """
    return Upstream(
        id=standin.name,
        data_centre=data_centre,
        address=standin.url,
        slots=slots,
        models=tuple(models),
        vm=vm,
    )


def router_settings(
    plan: RouterPlan,
    log_url: str,
    vms_url: str,
    peers: Sequence[RouterPlan],
    extra: Mapping[str, Any],
) -> dict[str, Any]:
    """Return the settings of a router; `extra` overrides the defaults."""
    return {
        "router_id": plan.router_id,
        "data_centre": plan.data_centre,
        "caller_address": plan.caller_address,
        "admin_address": plan.admin_address,
        "peer_address": plan.peer_address,
        "admin_token_sha256": sha256_hex(ADMIN_TOKEN),
        "log_service_url": log_url,
        "vm_list_url": vms_url,
        "peers": [
            {
                "router_id": peer.router_id,
                "data_centre": peer.data_centre,
                "address": peer.peer_address,
            }
            for peer in peers
            if peer.router_id != plan.router_id
        ],
        **extra,
    }
