"""The decisions: pure functions and state of (state, event, now), without I/O."""
