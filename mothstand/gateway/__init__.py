"""The HTTP gateway of the fleet: takes requests by route, forwards them, bills their tokens."""
