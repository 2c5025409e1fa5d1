"""Errors of the peers component."""
