"""Public assertions, fakes and checkers for tests of the fleet."""
