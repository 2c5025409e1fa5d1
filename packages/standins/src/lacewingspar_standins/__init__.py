"""Stand-ins for the systems around the router fleet, and a load generator."""
