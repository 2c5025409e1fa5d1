"""Cost of the core objects, measured in one process."""

import time
import tracemalloc
from typing import Any

import msgspec

from lacewingspar_core.claims import (
    Claim,
    ClaimState,
    Outcome,
    apply_claim_record,
    claim_key,
    decode_record,
    encode_record,
)
from lacewingspar_core.configlog import (
    ConfigState,
    Edit,
    apply_record,
    make_snapshot,
)
from lacewingspar_core.configlog import decode_record as decode_config_record
from lacewingspar_core.configlog import encode_record as encode_config_record
from lacewingspar_core.dispatch import SlotOwner
from lacewingspar_core.documents import (
    ServiceDocument,
    ServiceKind,
    Upstream,
    Workspace,
    dump_document,
)
from lacewingspar_core.events import (
    Announce,
    CountersDue,
    MessageReceived,
    TimePassed,
    UpstreamsChanged,
)
from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.messages import (
    Demand,
    DemandEntry,
    OfferAccepted,
    SlotOutcome,
    SlotReleased,
    encode_message,
)
from lacewingspar_core.ownership import assign_owners
from lacewingspar_core.platform import StoredRecord
from lacewingspar_core.slots import OwnedUpstream
from lacewingspar_standins.bench.gossip import GossipFigures, GossipFleet
from lacewingspar_standins.fleet_settings import sha256_hex

DATA_CENTRES = 5
# Upstreams and slots of one shard.
OWNED_UPSTREAMS = 16
SLOTS_PER_UPSTREAM = 8
# Upstreams of one service: 1,800 runners share 6 models.
SERVICE_UPSTREAMS = 300
SERVICE = "chat"
_OWNER_INSTANCE = RouterInstance("router-dc-1-000", 1 << 52)
_INGRESS_INSTANCE = RouterInstance("router-dc-1-001", 1 << 52)
_GRANTS = 400
# Backlogged workspaces of one of 6 services.
_SERVICE_BACKLOGGED = 70
_DEMAND_ROUNDS = 3
_TICKS = 20
_GOSSIP_SECONDS = 40.0
_FAILURE_SECONDS = 30.0
_OUTCOME_BYTES = 256


def measure_gossip(routers: int, seed: int) -> dict[str, float]:
    """Return the cost of heartbeats for a number of routers."""
    seconds = _GOSSIP_SECONDS
    fleet = GossipFleet(routers, DATA_CENTRES, seed)
    fleet.run(seconds)
    steady = fleet.figures
    fleet.figures = GossipFigures()
    fleet.fail(fleet.first_id, _FAILURE_SECONDS)
    return {
        "sent B/s": steady.sent_bytes / routers / seconds,
        "messages/s": steady.messages / routers / seconds,
        "processor ms/s": steady.cpu_seconds / seconds * 1000,
        "local false suspicions": float(steady.local_misses),
        "remote false suspicions": float(steady.remote_misses),
        "failure seen last s": max(fleet.figures.suspected_seconds),
    }


def measure_backlog(workspaces: int, _seed: int) -> dict[str, float]:
    """Return the cost of an owner for a number of backlogged workspaces."""
    owner = SlotOwner(SERVICE, _OWNER_INSTANCE, "dc-1")
    owner.handle(_owned_upstreams(workspaces), 0.0)
    now = 1.0
    names = [f"ws-{index:04}" for index in range(workspaces)]
    entries = tuple(DemandEntry(name, "m", 50, 1.0, 1.0) for name in names)
    demand = Demand(SERVICE, 1, True, entries)
    before = time.process_time()
    sends = owner.handle(MessageReceived(_INGRESS_INSTANCE, demand), now)
    demand_ms = (time.process_time() - before) * 1000
    before = time.process_time()
    grants = 0
    while grants < _GRANTS and sends:
        send: Any = sends.pop()
        offer = send.message
        now += 0.01
        accepted = OfferAccepted(SERVICE, offer.slot, 1.0)
        sends += owner.handle(MessageReceived(_INGRESS_INSTANCE, accepted), now)
        released = SlotReleased(
            SERVICE,
            offer.slot,
            offer.upstream_id,
            offer.workspace,
            1.0,
            1,
            100,
            SlotOutcome.COMPLETED,
        )
        sends += owner.handle(MessageReceived(_INGRESS_INSTANCE, released), now)
        grants += 1
    grant_ms = (time.process_time() - before) * 1000 / max(1, grants)
    before = time.process_time()
    (announced,) = owner.handle(CountersDue(full=True), now)
    publish_ms = (time.process_time() - before) * 1000
    assert isinstance(announced, Announce)
    return {
        "full counters B": float(len(encode_message(announced.counters))),
        "full demand B": float(len(encode_message(demand))),
        "demand with 128 offers ms": demand_ms,
        "grant ms": grant_ms,
        "publish ms": publish_ms,
    }


def measure_ingress_routers(
    ingress_routers: int, _seed: int
) -> dict[str, float]:
    """Return the cost of an owner for ingress routers with full queues."""
    owner = SlotOwner(SERVICE, _OWNER_INSTANCE, "dc-1")
    owner.handle(_owned_upstreams(_SERVICE_BACKLOGGED), 0.0)
    entries = tuple(
        DemandEntry(f"ws-{index:04}", "m", 50, 1.0, 1.0)
        for index in range(_SERVICE_BACKLOGGED)
    )
    events = []
    for sequence in range(_DEMAND_ROUNDS):
        demand = Demand(SERVICE, sequence, True, entries)
        events += [
            MessageReceived(RouterInstance(f"router-{index:03}", 1), demand)
            for index in range(ingress_routers)
        ]
    for event in events[:ingress_routers]:
        owner.handle(event, 0.5)
    before = time.process_time()
    for event in events[ingress_routers:]:
        owner.handle(event, 0.6)
    demand_ms = (time.process_time() - before) * 1000
    before = time.process_time()
    for _ in range(_TICKS):
        owner.handle(TimePassed(), 0.7)
    tick_ms = (time.process_time() - before) * 1000
    return {
        "demand message ms": demand_ms / (len(events) - ingress_routers),
        "tick ms": tick_ms / _TICKS,
    }


def measure_ownership(routers: int, _seed: int) -> dict[str, float]:
    """Return the time to assign one service to a number of routers."""
    data_centre_by_upstream = {
        f"engine-{index:04}": f"dc-{index % DATA_CENTRES + 1}"
        for index in range(SERVICE_UPSTREAMS)
    }
    data_centre_by_router = {
        f"router-{index:03}": f"dc-{index % DATA_CENTRES + 1}"
        for index in range(routers)
    }
    before = time.process_time()
    ownership = assign_owners(
        SERVICE, data_centre_by_upstream, data_centre_by_router
    )
    return {
        "assign_owners ms": (time.process_time() - before) * 1000,
        "owners": float(len(ownership.owners)),
    }


def measure_document(workspaces: int, _seed: int) -> dict[str, float]:
    """Return the cost of one service for a number of workspaces."""
    document = service_document(workspaces, SERVICE_UPSTREAMS)
    first = Edit("e-0", SERVICE, 0, dump_document(document), "bench")
    patch = {"limits": {"attempts": 2}}
    second = Edit("e-1", SERVICE, 1, patch, "bench")
    stored = encode_config_record(first)
    tracemalloc.start()
    state = apply_record(ConfigState(), 0, decode_config_record(stored))
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    before = time.process_time()
    state = apply_record(state, 1, second)
    change_ms = (time.process_time() - before) * 1000
    assert state.service_by_name[SERVICE].version == 2
    snapshot = encode_config_record(make_snapshot(state))
    return {
        "document B": float(len(stored)),
        "small edit B": float(len(encode_config_record(second))),
        "snapshot B": float(len(snapshot)),
        "apply edit ms": change_ms,
        "state kB": memory / 1000,
    }


def measure_claims(claims: int, _seed: int) -> dict[str, float]:
    """Return the cost of the claim stream for claims in the window."""
    body = b"x" * _OUTCOME_BYTES
    records: list[bytes] = []
    for index in range(claims):
        key = claim_key(SERVICE, f"ws-{index % 420}", str(index))
        records.append(encode_record(Claim(key, key, _OWNER_INSTANCE, index)))
        outcome = Outcome(2 * index, 200, "application/json", body)
        records.append(encode_record(outcome))
    tracemalloc.start()
    state = _claim_state(records)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    before = time.process_time()
    state = _claim_state(records)
    apply_ms = (time.process_time() - before) * 1000
    assert len(state) == claims
    read_bytes = sum(
        len(msgspec.json.encode(StoredRecord(offset, 1_700_000_000_000, data)))
        for offset, data in enumerate(records)
    )
    return {
        "read B": float(read_bytes),
        "apply ms": apply_ms,
        "state kB": memory / 1000,
    }


def _claim_state(records: list[bytes]) -> ClaimState:
    state = ClaimState(window_ms=1_800_000)
    for offset, data in enumerate(records):
        apply_claim_record(state, offset, 1_000_000, decode_record(data))
    return state


def service_document(workspaces: int, upstreams: int) -> ServiceDocument:
    """Return a service document of the given size."""
    return ServiceDocument(
        service=SERVICE,
        kind=ServiceKind.MODEL,
        upstreams=tuple(
            Upstream(
                id=f"engine-{index:04}",
                data_centre=f"dc-{index % DATA_CENTRES + 1}",
                address=f"http://10.20.{index // 250}.{index % 250}:8000",
                slots=SLOTS_PER_UPSTREAM,
                models=("m",),
                vm=f"vm-{index:04}",
            )
            for index in range(upstreams)
        ),
        workspaces=tuple(
            Workspace(f"ws-{index:04}", (sha256_hex(f"ws-{index}"),))
            for index in range(workspaces)
        ),
    )


def _owned_upstreams(workspaces: int) -> UpstreamsChanged:
    return UpstreamsChanged(
        upstream_by_id={
            f"engine-{index:04}": OwnedUpstream(
                f"engine-{index:04}", SLOTS_PER_UPSTREAM, frozenset({"m"}), True
            )
            for index in range(OWNED_UPSTREAMS)
        },
        weight_by_workspace={
            f"ws-{index:04}": 1.0 for index in range(workspaces)
        },
        routers=frozenset(),
    )
