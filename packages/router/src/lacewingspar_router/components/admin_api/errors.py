"""Errors of the admin api component."""
