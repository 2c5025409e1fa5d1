"""Random fault plans of the benchmark `faults`."""

import random
from dataclasses import dataclass
from enum import StrEnum

from lacewingspar_standins.bench.deployment import Shape

# Slot leases expire after 5 s and claims may be sent for 10 s.
MIN_FREEZE_SECONDS = 6.0
MAX_FREEZE_SECONDS = 12.0
MIN_FAULT_SECONDS = 2.0
MAX_FAULT_SECONDS = 6.0


class FaultKind(StrEnum):
    """Kind of fault."""

    ROUTER_KILLED = "router-killed"
    ROUTER_FROZEN = "router-frozen"
    ROUTER_TERMINATED = "router-terminated"
    DATA_CENTRE_ISOLATED = "data-centre-cut"
    PLATFORM_UNREACHABLE = "platform-cut"
    LINKS_SILENT = "links-silent"
    LOG_OUTAGE = "log-outage"
    LOG_SLOW = "log-slow"
    LOG_REPLIES_LOST = "log-replies-lost"
    UPSTREAM_KILLED = "upstream-killed"
    UPSTREAM_LEAVING = "upstream-leaving"
    CONFLICTING_EDITS = "conflicting-edits"


_ROUTER_KINDS = (
    FaultKind.ROUTER_KILLED,
    FaultKind.ROUTER_FROZEN,
    FaultKind.ROUTER_TERMINATED,
)
_DATA_CENTRE_KINDS = (
    FaultKind.DATA_CENTRE_ISOLATED,
    FaultKind.PLATFORM_UNREACHABLE,
    FaultKind.LINKS_SILENT,
)
_UPSTREAM_KINDS = (FaultKind.UPSTREAM_KILLED, FaultKind.UPSTREAM_LEAVING)


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault to inject.

    Attributes:
        kind: Kind of fault.
        target: Router, data centre or upstream; "" for the log service.
        data_centre: Data centre of the target, or "".
        seconds: Duration.
    """

    kind: FaultKind
    target: str
    data_centre: str
    seconds: float

    def __str__(self) -> str:
        """Return a one-line description."""
        target = f" {self.target}" if self.target else ""
        return f"{self.kind}{target} {self.seconds:.1f} s"


@dataclass(frozen=True, slots=True)
class Targets:
    """Routers and upstreams that faults can target.

    Attributes:
        routers: Data centre by router.
        upstreams: Data centre by upstream.
    """

    routers: dict[str, str]
    upstreams: dict[str, str]


def draw_rounds(
    seed: int, rounds: int, shape: Shape, targets: Targets
) -> list[tuple[PlannedFault, ...]]:
    """Draw one or two faults for each round from the seed."""
    generator = random.Random(f"faults/{seed}")
    planned: list[tuple[PlannedFault, ...]] = []
    for _ in range(rounds):
        faults: list[PlannedFault] = []
        count = generator.choice((1, 2))
        while len(faults) < count:
            fault = _draw_fault(generator, shape, targets)
            if not any(_are_incompatible(fault, other) for other in faults):
                faults.append(fault)
        planned.append(tuple(faults))
    return planned


def _draw_fault(
    generator: random.Random, shape: Shape, targets: Targets
) -> PlannedFault:
    kind = generator.choice(list(FaultKind))
    min_seconds, max_seconds = MIN_FAULT_SECONDS, MAX_FAULT_SECONDS
    if kind is FaultKind.ROUTER_FROZEN:
        min_seconds, max_seconds = MIN_FREEZE_SECONDS, MAX_FREEZE_SECONDS
    seconds = generator.uniform(min_seconds, max_seconds)
    if kind in _ROUTER_KINDS:
        target = generator.choice(sorted(targets.routers))
        return PlannedFault(kind, target, targets.routers[target], seconds)
    if kind in _UPSTREAM_KINDS:
        target = generator.choice(sorted(targets.upstreams))
        return PlannedFault(kind, target, targets.upstreams[target], seconds)
    if kind in _DATA_CENTRE_KINDS:
        target = generator.choice(shape.data_centres)
        return PlannedFault(kind, target, target, seconds)
    return PlannedFault(kind, "", "", seconds)


def _are_incompatible(fault: PlannedFault, other: PlannedFault) -> bool:
    """Return whether two faults must not overlap."""
    if fault.kind is other.kind or (
        fault.target and fault.target == other.target
    ):
        return True
    # A data centre cut off from the VM list does not see that a VM is leaving.
    kinds = {fault.kind, other.kind}
    return (
        kinds == {FaultKind.UPSTREAM_LEAVING, FaultKind.PLATFORM_UNREACHABLE}
        and fault.data_centre == other.data_centre
    )
