"""The lacewingspar router daemon."""
