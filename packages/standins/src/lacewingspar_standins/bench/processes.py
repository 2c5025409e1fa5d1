"""Command line that runs the helper processes of the benchmarks."""

from typing import Annotated

import typer

from lacewingspar_standins.batching import BatchOptions
from lacewingspar_standins.bench.balancer import LeastLoadedBalancer
from lacewingspar_standins.bench.bare_proxy import bare_app
from lacewingspar_standins.bench.stamps import StampedApp
from lacewingspar_standins.engine import Engine
from lacewingspar_standins.engine_options import EngineFaults, EngineOptions
from lacewingspar_standins.main import run_loop
from lacewingspar_standins.server import serve

HOST = "127.0.0.1"

app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.command()
def engine(model: str = "model", slots: int = 16, step_ms: float = 10) -> None:
    """Run a model engine that adds timestamps to its responses."""
    options = EngineOptions(
        models=(model,),
        batch=BatchOptions(
            slots=slots,
            step_seconds=step_ms / 1000,
            prompt_token_seconds=0.0,
        ),
    )

    async def main() -> None:
        await serve(StampedApp(Engine(options, EngineFaults())), HOST, 0)

    run_loop(main())


@app.command()
def proxy(target: str = "") -> None:
    """Run a minimal reverse proxy in front of an engine."""

    async def main() -> None:
        await serve(bare_app(target), HOST, 0)

    run_loop(main())


@app.command()
def balancer(
    chat: Annotated[list[str], typer.Option(help="Base URL of an engine.")],
    plain: Annotated[list[str], typer.Option(help="Base URL of a service.")],
) -> None:
    """Run the baseline load balancer in front of engines and services."""
    targets_by_prefix = {"/v1/": chat, "/services/": plain}

    async def main() -> None:
        await serve(LeastLoadedBalancer(targets_by_prefix), HOST, 0)

    run_loop(main())


if __name__ == "__main__":
    app()
