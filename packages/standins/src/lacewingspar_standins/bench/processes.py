"""Command line that runs the helper processes of the benchmarks."""

from typing import Annotated

import typer

from lacewingspar_standins.batching import BatchOptions
from lacewingspar_standins.bench.balancer import LeastLoadedBalancer
from lacewingspar_standins.bench.bare_proxy import bare_app
from lacewingspar_standins.bench.stamps import StampedApp
from lacewingspar_standins.engine import Engine
from lacewingspar_standins.engine_options import EngineFaults, EngineOptions
from lacewingspar_standins.main import DEFAULT_HOST, Host, run_loop
from lacewingspar_standins.server import serve

app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.command()
def engine(
    host: Host = DEFAULT_HOST,
    model: str = "model",
    slots: int = 16,
    step_ms: float = 10,
) -> None:
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
        await serve(StampedApp(Engine(options, EngineFaults())), host, 0)

    run_loop(main())


@app.command()
def proxy(host: Host = DEFAULT_HOST, target: str = "") -> None:
    """Run a minimal reverse proxy in front of an engine."""

    async def main() -> None:
        await serve(bare_app(target), host, 0)

    run_loop(main())


@app.command()
def balancer(
    chat: Annotated[list[str], typer.Option(help="Base URL of an engine.")],
    plain: Annotated[list[str], typer.Option(help="Base URL of a service.")],
    host: Host = DEFAULT_HOST,
) -> None:
    """Run the baseline load balancer in front of engines and services."""
    targets_by_prefix = {"/v1/": chat, "/services/": plain}

    async def main() -> None:
        await serve(LeastLoadedBalancer(targets_by_prefix), host, 0)

    run_loop(main())


if __name__ == "__main__":
    app()
