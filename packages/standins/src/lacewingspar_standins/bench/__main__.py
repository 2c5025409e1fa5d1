"""Command line of the benchmarks."""

import typer

from lacewingspar_standins.bench import (
    bodies,
    capacity,
    convictions,
    faults,
    path,
    propagation,
    share,
    soak,
)

app = typer.Typer(help="Benchmarks of the fleet.", add_completion=False)
app.command("path")(path.path_command)
app.command("share")(share.main)
app.command("propagation")(propagation.main)
app.command("capacity")(capacity.main)
app.command("faults")(faults.main)
app.command("bodies")(bodies.main)
app.command("convictions")(convictions.main)
app.command("soak")(soak.main)


@app.callback()
def callback() -> None:
    """Run one benchmark."""


if __name__ == "__main__":
    app()
