"""HTTP gateway of the fleet: routes requests, forwards them and bills their tokens."""
