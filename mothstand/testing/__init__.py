"""Fakes, simulations and checkers for tests of the fleet."""
