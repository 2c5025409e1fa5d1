"""Errors of the configuration component."""
