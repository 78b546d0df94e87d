"""Decision logic without I/O: pure functions and state machines with the time as an argument."""
