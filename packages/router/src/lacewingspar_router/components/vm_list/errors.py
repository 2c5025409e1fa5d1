"""Errors of the vm list component."""
