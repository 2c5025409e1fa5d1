"""Errors of the scheduler component."""
