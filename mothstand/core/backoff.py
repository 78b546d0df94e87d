"""Ever longer delays between tries of the same thing."""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(slots=True)
class Backoff:
    """Delays that double, up to a most.

    Parameters
    ----------
    first_s, most_s
        The first delay, and the longest.
    tries
        How many delays have been taken since the start or the last `reset`.
    """

    first_s: float
    max_s: float
    attempts: int = 0

    def next_s(self) -> float:
        """Return the delay before the next try, and count it."""
        delay_s = min(self.max_s, self.first_s * 2 ** min(self.attempts, _MAX_DOUBLINGS))
        self.attempts += 1
        return delay_s

    def next_jittered_s(self) -> float:
        """Return a delay of half to one and a half times `next_s`.

        After an outage all instances would otherwise come back to what recovers in step.
        """
        return self.next_s() * random.uniform(0.5, 1.5)

    def reset(self) -> None:
        """Start again with the first delay."""
        self.attempts = 0


#: More than any delay needs; keeps the power from growing without end.
_MAX_DOUBLINGS = 30
