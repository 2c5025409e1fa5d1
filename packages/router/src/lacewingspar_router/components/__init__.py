"""Components of the router daemon, one folder each."""
