"""The operators' command line of the lacewingspar router fleet."""
