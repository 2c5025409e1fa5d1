"""Pure decision logic of the lacewingspar router fleet."""
