"""Errors of the telemetry component."""
