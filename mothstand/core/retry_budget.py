"""The share of one instance in the retries that the whole fleet may send to a service.

The load that this answers: upstreams that refuse or lose most of what they get. Each instance then
retries as often as it may, and nobody has time to ask the others first.
"""

from __future__ import annotations

from bisect import bisect_left, insort
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
    window_s
        Any span of this length is a window.
    delivery_s
        Within which a retry that was granted arrives at its upstream, if it does.
    """

    ratio: float
    burst: float
    window_s: float
    delivery_s: float

    @property
    def span_s(self) -> float:
        """For how long after its grant a retry may lie in a window with later ones."""
        return self.window_s + self.delivery_s


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether one more retry may be sent, and what it was decided from.

    Parameters
    ----------
    taken
        Retries in the window that decided it, the one asked for included.
    allowed
        How many of them this instance allows itself there.
    requests
        Callers' requests that pay for them.
    sharers
        In how many parts the burst was divided, 0 if no part of it may be used here.
    """

    is_granted: bool
    used: int
    allowed: float
    requests: int
    sharers: int


@dataclass(slots=True)
class RetryBudget:
    """Retries that this instance may still send to one service.

    Notes
    -----
    In each window an instance keeps to the ratio on the mean of its own requests in that window and
    in the one before. The fleet's retries are then within the ratio on the mean of the fleet's
    requests in these two, and so on the larger of both, which is what the budget allows. Counted
    back from each retry instead, the windows of the instances would not lie alike, and load that
    moves from one to another would pay for retries twice.
    """

    settings: RetryBudgetSettings
    _requests_s: list[float] = field(default_factory=list)
    _granted_s: list[float] = field(default_factory=list)

    def add_request(self, sent_s: float) -> None:
        """Count a caller's request.

        Parameters
        ----------
        sent_s
            The earliest time at which it may have been sent.
        """
        self._drop_old(sent_s)
        insort(self._requests_s, sent_s)

    def try_acquire(self, now_s: float, *, sharers: int) -> RetryDecision:
        """Decide whether one more retry fits into each window, and count it if so.

        Parameters
        ----------
        sharers
            In how many parts the burst is divided, 0 if no part of it may be used here.
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
        """Return since when requests pay, in a window whose first retry was granted then.

        It arrives within `delivery_s`, so the window begins by then, and the one before a window's
        length earlier.
        """
        return granted_s + self.settings.delivery_s - self.settings.window_s

    def _decide(self, now_s: float, sharers: int) -> RetryDecision:
        """Look at the windows that begin with each retry, the one asked for first."""
        share = self.settings.burst / sharers if sharers else 0.0
        for used, began_s in enumerate([now_s, *reversed(self._granted_s)], start=1):
            first = bisect_left(self._requests_s, self._requests_count_from_s(began_s))
            requests = len(self._requests_s) - first
            allowed = self.settings.ratio * requests / 2 + share
            if used > allowed:
                break
        return RetryDecision(used <= allowed, used, allowed, requests, sharers)
