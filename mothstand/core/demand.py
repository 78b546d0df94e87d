"""Moving average of the tokens that callers request."""

from __future__ import annotations

import math
from dataclasses import dataclass

#: Time constant of the moving average. A jump in a workspace's demand shows within seconds, and a
#: single large request does not look like a jump.
DEMAND_WINDOW_S = 4.0

#: Weight of the latest request in the mean size, which covers about the last twenty requests.
_LATEST_WEIGHT = 0.05

#: Minimum time over which the first requests are averaged, as one alone says little about demand.
_MIN_SEEN_S = 1.0


@dataclass(slots=True)
class Demand:
    """Demand on one budget at this instance.

    Parameters
    ----------
    largest_tokens, mean_tokens
        The largest request seen, and the mean of the latest ones.

    Notes
    -----
    The rate is an exponential moving average, divided by the weight of the time since the first
    request. Without that division, demand is underestimated in the first seconds and too little is
    held for an outage that begins then.
    """

    largest_tokens: int = 0
    mean_tokens: float = 0.0
    _average: float = 0.0
    _updated_s: float = -math.inf
    _first_s: float = math.inf

    def add_request(self, tokens: int, now_s: float) -> None:
        """Count a request."""
        self._average = self._decayed(now_s) + tokens / DEMAND_WINDOW_S
        self.largest_tokens = max(self.largest_tokens, tokens)
        latest_weight = _LATEST_WEIGHT if self.mean_tokens else 1.0
        self.mean_tokens += latest_weight * (tokens - self.mean_tokens)
        self._updated_s = now_s
        self._first_s = min(self._first_s, now_s)

    def rate_tokens_per_s(self, now_s: float) -> float:
        """Return the demand at `now_s`."""
        if not self._average:
            return 0.0
        seen_s = max(_MIN_SEEN_S, now_s - self._first_s)
        return self._decayed(now_s) / (1 - math.exp(-seen_s / DEMAND_WINDOW_S))

    def _decayed(self, now_s: float) -> float:
        if not self._average:
            return 0.0
        return self._average * math.exp((self._updated_s - now_s) / DEMAND_WINDOW_S)
