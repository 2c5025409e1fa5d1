"""Runs the command line with `python -m lacewingspar_router`."""

from lacewingspar_router.main import run

run()
