"""Errors of the caller api component."""
