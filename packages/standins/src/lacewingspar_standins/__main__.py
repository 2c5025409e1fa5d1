"""Entry point of `python -m lacewingspar_standins`."""

from lacewingspar_standins.main import run

run()
