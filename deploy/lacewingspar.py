"""Starts the command line of the router from a source checkout."""

import signal
import sys
from pathlib import Path

# Loading the modules takes tenths of a second. Until the router installs its
# handler, the default action of this signal would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

_PACKAGES = Path(__file__).resolve().parents[1] / "packages"
sys.path[:0] = [str(_PACKAGES / name / "src") for name in ("core", "router")]
# structlog and typer load rich for output to a console, which a VM has not. A
# start takes less processor time and memory without it.
sys.modules["rich"] = None  # type: ignore[assignment]

from lacewingspar_router.main import run  # noqa: E402

run()
