"""One instance's share of the retries that the whole fleet may send to a service.

When upstreams refuse or lose most requests, each instance retries at its limit, and there is no
time to ask other instances before a retry.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """The fleet's retry budget, by the operators' settings.

    Parameters
    ----------
    ratio
        Retries per request.
    burst
        Additional retries per window, over all instances.
    window_s
        Length of a window; the limit applies to every span of this length.
    delivery_s
        Maximum time from the grant of a retry to its arrival at the upstream.
    """

    ratio: float
    burst: float
    window_s: float
    delivery_s: float

    @property
    def span_s(self) -> float:
        """Time after its grant during which a retry may share a window with later ones."""
        return self.window_s + self.delivery_s


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Decision whether one more retry may be sent, with the numbers behind it.

    Parameters
    ----------
    used
        Retries in the deciding window, including the one asked for.
    allowed
        Maximum retries of this instance in that window.
    requests
        Callers' requests that the ratio was applied to.
    sharers
        Number of parts of the burst, or 0 if this instance may use none.
    """

    is_granted: bool
    used: int
    allowed: float
    requests: int
    sharers: int


@dataclass(slots=True)
class RetryBudget:
    """Limits the retries of this instance to one service.

    Notes
    -----
    In each window, an instance limits its retries to the ratio of the mean of its own requests in
    that window and the one before. The fleet's retries are then within the ratio of the mean of the
    fleet's requests in these two windows, hence of the larger count, as the budget allows. If
    windows were counted back from each retry, they would differ between instances, and requests
    that move from one instance to another would permit retries twice.
    """

    settings: RetryBudgetSettings
    _requests_s: list[float] = field(default_factory=list)
    _granted_s: list[float] = field(default_factory=list)

    def add_request(self, sent_s: float) -> None:
        """Count a caller's request.

        Parameters
        ----------
        sent_s
            The earliest time at which it was possibly sent.
        """
        self._drop_old(sent_s)
        insort(self._requests_s, sent_s)

    def try_acquire(self, now_s: float, *, sharers: int) -> RetryDecision:
        """Decide whether one more retry fits into each window, and count it if so.

        Parameters
        ----------
        sharers
            Number of parts of the burst, or 0 if this instance may use none.
        """
        self._drop_old(now_s)
        decision = self._decide(now_s, sharers)
        if decision.is_granted:
            self._granted_s.append(now_s)
        return decision

    def _drop_old(self, now_s: float) -> None:
        del self._granted_s[: bisect_left(self._granted_s, now_s - self.settings.span_s)]
        oldest_s = self._requests_count_from_s(self._granted_s[0] if self._granted_s else now_s)
        del self._requests_s[: bisect_left(self._requests_s, oldest_s)]

    def _requests_count_from_s(self, granted_s: float) -> float:
        """Return the time from which requests count in a window, by its first retry's grant time.

        That retry arrives within `delivery_s`, so the window begins by then, and the window before
        it `window_s` earlier.
        """
        return granted_s + self.settings.delivery_s - self.settings.window_s

    def _decide(self, now_s: float, sharers: int) -> RetryDecision:
        """Check the windows that begin with each retry, from the one asked for backwards."""
        share = self.settings.burst / sharers if sharers else 0.0
        for used, began_s in enumerate([now_s, *reversed(self._granted_s)], start=1):
            first = bisect_left(self._requests_s, self._requests_count_from_s(began_s))
            requests = len(self._requests_s) - first
            allowed = self.settings.ratio * requests / 2 + share
            if used > allowed:
                break
        return RetryDecision(used <= allowed, used, allowed, requests, sharers)
