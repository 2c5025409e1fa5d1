"""Errors of the claims component."""
