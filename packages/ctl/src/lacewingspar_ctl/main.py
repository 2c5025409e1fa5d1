"""The command line lacewingsparctl."""

from typing import Annotated, Any

import httpx
import typer
from typer.core import TyperGroup

from lacewingspar_ctl.commands import documents, fleet
from lacewingspar_ctl.commands.publish import publish
from lacewingspar_ctl.commands.replay import replay_command
from lacewingspar_ctl.commands.story import story
from lacewingspar_ctl.errors import CtlError
from lacewingspar_ctl.output import Output
from lacewingspar_ctl.session import ENV_ROUTER, ENV_TOKEN, Session

HELP = """Control a fleet of lacewingspar routers.

Exit codes: 0 done, 2 bad input, 3 conflict with another edit, 4 outcome
unknown, 5 router unreachable, 6 refused by the router.
"""


class _CommandGroup(TyperGroup):
    """Reports errors of commands and turns them into exit codes."""

    def invoke(self, ctx: Any) -> Any:
        try:
            return super().invoke(ctx)
        except CtlError as error:
            ctx.obj.output.error(error)
            raise typer.Exit(error.exit_code) from error


app = typer.Typer(
    cls=_CommandGroup, help=HELP, no_args_is_help=True, add_completion=False
)


@app.callback()
def main(
    context: typer.Context,
    router: Annotated[
        str | None,
        typer.Option(
            envvar=ENV_ROUTER,
            help="Base URL of a router's administration address.",
        ),
    ] = None,
    token: Annotated[
        str | None,
        typer.Option(
            envvar=ENV_TOKEN,
            help="Administration token; other users of the machine may see "
            "command lines, so prefer the environment variable.",
        ),
    ] = None,
    as_json: Annotated[
        bool, typer.Option("--json", help="Write JSON for programs.")
    ] = False,
) -> None:
    """Collect the options that all commands share."""
    transport: httpx.BaseTransport | None = context.obj
    context.obj = Session(router, token, Output(as_json), transport)


for command in (
    documents.validate,
    publish,
    documents.show,
    documents.history,
    documents.diff,
    fleet.status,
    fleet.accounts,
    fleet.drain,
    fleet.requests,
    fleet.quarantine,
    fleet.release,
    story,
):
    app.command()(command)
app.command("replay")(replay_command)


def run() -> None:
    """Run the command line."""
    app()
