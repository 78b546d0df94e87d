"""Exponential backoff between attempts."""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(slots=True)
class Backoff:
    """Delays that double with each attempt, up to a maximum.

    Parameters
    ----------
    first_s, max_s
        The first and the longest delay.
    attempts
        Number of delays returned since the start or the last `reset`.
    """

    first_s: float
    max_s: float
    attempts: int = 0

    def next_s(self) -> float:
        """Return the delay before the next attempt, and count the attempt."""
        delay_s = min(self.max_s, self.first_s * 2 ** min(self.attempts, _MAX_DOUBLINGS))
        self.attempts += 1
        return delay_s

    def next_jittered_s(self) -> float:
        """Return `next_s` multiplied by a random factor from 0.5 to 1.5.

        Without the random factor, all instances would retry at the same times after an outage.
        """
        return self.next_s() * random.uniform(0.5, 1.5)

    def reset(self) -> None:
        """Start again with the first delay."""
        self.attempts = 0


#: More doublings than any delay needs; bounds the power of two.
_MAX_DOUBLINGS = 30
