"""Demo of a small fleet under load and failures."""
