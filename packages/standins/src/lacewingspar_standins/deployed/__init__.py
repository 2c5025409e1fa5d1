"""Stand-ins that implement the interfaces of the users' platform."""
