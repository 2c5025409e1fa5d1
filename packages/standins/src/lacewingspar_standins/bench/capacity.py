"""Benchmark `capacity`: how a router's cost grows with the fleet."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from lacewingspar_standins.bench import capacity_core, capacity_routers
from lacewingspar_standins.bench.capacity_fit import (
    Line,
    Point,
    fit_lines,
    median_figures,
)

CoreMeasure = Callable[[int, int], dict[str, float]]
RouterMeasure = Callable[
    [int, int, float], Coroutine[None, None, dict[str, float]]
]


@dataclass(frozen=True, slots=True)
class Factor:
    """A quantity that grows with the fleet.

    Attributes:
        unit: Unit of the size.
        sizes: Sizes to measure by default.
        target: Target size, at which the fitted line is evaluated.
        core: Measures the core objects in this process, or None.
        router: Measures a router process, or None.
    """

    unit: str
    sizes: tuple[int, ...]
    target: int
    core: CoreMeasure | None = None
    router: RouterMeasure | None = None


FACTORS_BY_NAME = {
    "gossip": Factor(
        "routers",
        (50, 100, 200, 390),
        390,
        core=capacity_core.measure_gossip,
    ),
    "backlog": Factor(
        "backlogged workspaces",
        (50, 100, 200, 420),
        420,
        core=capacity_core.measure_backlog,
    ),
    "holders": Factor(
        "ingress routers with 70 backlogged workspaces",
        (10, 20, 40, 78),
        78,
        core=capacity_core.measure_ingress_routers,
    ),
    "ownership": Factor(
        "routers",
        (50, 100, 200, 390),
        390,
        core=capacity_core.measure_ownership,
    ),
    "document": Factor(
        "workspaces",
        (500, 1000, 2000, 4200),
        4200,
        core=capacity_core.measure_document,
    ),
    "claims": Factor(
        "claims",
        (1000, 5000, 20_000),
        20_000,
        core=capacity_core.measure_claims,
    ),
    "peers": Factor(
        "routers",
        (25, 50, 100, 200),
        390,
        router=capacity_routers.async_measure_peers,
    ),
    "upstreams": Factor(
        "upstreams in the data centre",
        (10, 40, 80, 160),
        360,
        router=capacity_routers.async_measure_upstreams,
    ),
    "shared-upstreams": Factor(
        f"upstreams that {capacity_routers.SHARING_ROUTERS} routers share",
        (16, 80, 160),
        360,
        router=capacity_routers.async_measure_shared_upstreams,
    ),
    "vms": Factor(
        "VMs",
        (100, 500, 1000, 2190),
        2190,
        router=capacity_routers.async_measure_vms,
    ),
    "requests": Factor(
        "requests/s",
        (10, 20, 40, 80),
        7,
        router=capacity_routers.async_measure_requests,
    ),
}


class CapacityResult(msgspec.Struct, frozen=True):
    """Measured points and fitted lines of one factor."""

    factor: str
    points: tuple[Point, ...]
    line_by_figure: dict[str, Line]


def main(
    factor: Annotated[
        str, typer.Argument(help=f"One of {', '.join(FACTORS_BY_NAME)}.")
    ],
    sizes: Annotated[
        str, typer.Option(help="Sizes instead of the default ones.")
    ] = "",
    seconds: Annotated[
        float, typer.Option(help="Time of each measurement of a process.")
    ] = 10.0,
    repeat: Annotated[int, typer.Option(help="Runs of each size.")] = 3,
    seed: Annotated[int, typer.Option(help="Seed of the first run.")] = 1,
    output: Annotated[
        Path | None, typer.Option(help="File for the result in JSON.")
    ] = None,
) -> None:
    """Measure how a router's cost grows with one factor."""
    if factor not in FACTORS_BY_NAME:
        raise typer.BadParameter(f"{factor!r} is not a factor")
    plan = FACTORS_BY_NAME[factor]
    chosen = [int(text) for text in sizes.split(",") if text] or plan.sizes
    points = tuple(
        Point(size, _figures(plan, size, seconds, range(seed, seed + repeat)))
        for size in chosen
    )
    result = CapacityResult(factor, points, fit_lines(points))
    _print(plan, result, repeat, seed)
    if output is not None:
        output.write_bytes(msgspec.json.encode(result))


def _figures(
    plan: Factor, size: int, seconds: float, seeds: range
) -> dict[str, float]:
    return median_figures([_run(plan, size, seconds, seed) for seed in seeds])


def _run(
    plan: Factor, size: int, seconds: float, seed: int
) -> dict[str, float]:
    if plan.core is not None:
        return plan.core(size, seed)
    assert plan.router is not None
    return asyncio.run(plan.router(size, seed, seconds))


def _print(
    plan: Factor, result: CapacityResult, repeat: int, seed: int
) -> None:
    typer.echo(
        f"{result.factor}: medians of {repeat} runs from seed {seed}, "
        f"against {plan.unit}"
    )
    for name, line in result.line_by_figure.items():
        values = ", ".join(
            f"{point.figures[name]:.4g} at {point.size}"
            for point in result.points
        )
        typer.echo(
            f"  {name}: {values}; {line.base:.4g} + {line.slope:.4g} x size "
            f"(error {line.largest_error:.0%}); "
            f"{line.at(plan.target):.4g} at {plan.target}"
        )
