"""Stand-ins that speak the interfaces of the users' platform."""
