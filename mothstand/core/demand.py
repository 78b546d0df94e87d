"""How many tokens callers ask for, as a moving average."""

from __future__ import annotations

import math
from dataclasses import dataclass

#: Time constant of the demand's moving average: a workspace's jump shows within seconds, and a
#: single large request does not pass for one.
DEMAND_WINDOW_S = 4.0


@dataclass(slots=True)
class Demand:
    """What callers of one budget ask of this instance.

    Parameters
    ----------
    tokens_per_s
        Exponential moving average of the requests' bounds.
    largest_tokens
        The largest request seen.
    """

    tokens_per_s: float = 0.0
    largest_tokens: int = 0
    _at_s: float = -math.inf

    def ask(self, tokens: int, now_s: float) -> None:
        """Count a request."""
        self.tokens_per_s = self.rate(now_s) + tokens / DEMAND_WINDOW_S
        self.largest_tokens = max(self.largest_tokens, tokens)
        self._at_s = now_s

    def rate(self, now_s: float) -> float:
        """Return the demand as of now."""
        if math.isinf(self._at_s):
            return self.tokens_per_s
        return self.tokens_per_s * math.exp((self._at_s - now_s) / DEMAND_WINDOW_S)
