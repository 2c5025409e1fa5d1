"""Runs a benchmark with `python -m lacewingspar_standins.bench NAME`."""

import typer

from lacewingspar_standins.bench import path

app = typer.Typer(
    help="Benchmarks of the router fleet.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
app.command("path")(path.path_command)


@app.callback()
def benchmarks() -> None:
    """Keep the names of benchmarks as commands, even if there is only one."""


app()
