"""The share of one instance in the retries that the whole fleet may send to a service."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """The fleet's budget, as the operators set it.

    Parameters
    ----------
    ratio
        Retries for each request.
    burst
        Retries in a window on top of those, over all instances.
    """

    ratio: float
    burst: float
    window_s: float


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether one more retry may be sent, and what it was decided from.

    Parameters
    ----------
    taken
        Retries of this instance in the window, this one included if it is granted.
    allowed
        How many of them this instance allows itself.
    requests
        Callers' requests that count.
    sharers
        By how many instances the burst was divided.
    """

    is_granted: bool
    taken: int
    allowed: float
    requests: int
    sharers: int


@dataclass(slots=True)
class RetryBudget:
    """Retries that this instance may still send to one service.

    Notes
    -----
    The budget is the fleet's, but asking the others before each retry would cost a round trip
    when time is shortest. Each instance keeps to the ratio on its own requests and to an equal
    part of the burst, so that their sum stays within the budget whatever the others do.
    """

    settings: RetryBudgetSettings
    _requests_s: deque[float] = field(default_factory=deque)
    _retries_s: deque[float] = field(default_factory=deque)

    def request(self, now_s: float) -> None:
        """Count a caller's request."""
        self._requests_s.append(now_s)

    def take(self, now_s: float, *, sharers: int) -> RetryDecision:
        """Decide whether one more retry fits, and count it if so."""
        since_s = now_s - self.settings.window_s
        for times in (self._requests_s, self._retries_s):
            while times and times[0] < since_s:
                times.popleft()
        allowed = self.settings.ratio * len(self._requests_s)
        allowed += self.settings.burst / max(1, sharers)
        is_granted = len(self._retries_s) + 1 <= allowed
        if is_granted:
            self._retries_s.append(now_s)
        return RetryDecision(
            is_granted, len(self._retries_s), allowed, len(self._requests_s), sharers
        )
