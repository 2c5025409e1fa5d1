"""Entry point for `python -m lacewingspar_standins.demo`."""

from lacewingspar_standins.demo.main import run

run()
