"""Benchmarks, one module each."""
