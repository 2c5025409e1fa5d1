"""Benchmarks of the fleet on one machine."""
