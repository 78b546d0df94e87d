"""Admission control that rejects a share of requests while all upstreams of a service are slow.

In a burst, or after the loss of many upstreams, demand exceeds capacity. If all requests were
admitted, they would wait in the upstreams' queues: every answer would be late, many callers would
disconnect before their answer begins, and the prompts read for them would be wasted. Rejecting a
share of the requests on arrival, before they run, keeps the others fast.

The input is the time that upstreams take to begin an answer, relative to the request's objective.
Attempts without an answer are ignored: an unreachable upstream does not slow down the others.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

#: Highest mean relative delay (time to the start of an answer, divided by the objective) at which
#: all requests are admitted. With a higher mean the slower half of the answers is late.
_MAX_RELATIVE_DELAY = 0.6

#: Exponent of the rejected share. The admitted load settles at the upstreams' capacity; at a demand
#: of twice the capacity the mean is then a quarter above `_MAX_RELATIVE_DELAY`.
_SHED_EXPONENT = 3.0

#: Minimum share of admitted requests, so that the recovery of the upstreams is noticed.
_MIN_ADMITTED_SHARE = 0.25

#: Time constant of the mean: about the time in which a queue builds up or drains.
_TIME_CONSTANT_S = 1.0

#: Decayed number of answers that a mean requires: one or two slow ones may be chance.
_MIN_ANSWERS = 6.0

#: Factor on the maximum relative delay for each priority level below the highest one seen, so that
#: lower priorities are rejected first, but none entirely.
_PRIORITY_FACTOR = 0.85

#: Range in seconds of the random time after which callers retry, so that they do not all retry at
#: once.
RETRY_AFTER_RANGE_S = (0.8, 2.4)


@dataclass(slots=True)
class Admission:
    """Admission control of one service, from the start times of its recent answers."""

    _answers: float = 0.0
    _relative_delay_sum: float = 0.0
    _decayed_at_s: float = -math.inf
    _most_urgent_priority: int | None = None

    def record_response_time(self, elapsed_s: float, objective_s: float, now_s: float) -> None:
        """Record the time an upstream took to begin an answer, if the request has an objective."""
        if objective_s <= 0:
            return
        self._decay(now_s)
        self._answers += 1.0
        self._relative_delay_sum += elapsed_s / objective_s

    def admitted_share(self, priority: int, now_s: float) -> float:
        """Return the share of requests of a priority, where 0 is the highest, to admit now."""
        self._decay(now_s)
        if self._most_urgent_priority is None or priority < self._most_urgent_priority:
            self._most_urgent_priority = priority
        return self._share(self._answers, priority - self._most_urgent_priority)

    def peek_admitted_share(self, priority: int, now_s: float) -> float:
        """Return what `admitted_share` would, without recording the priority or the time."""
        most_urgent = self._most_urgent_priority
        levels_below = 0 if most_urgent is None else max(0, priority - most_urgent)
        return self._share(self._answers * self._decay_factor(now_s), levels_below)

    def _share(self, answers: float, levels_below: int) -> float:
        """Return the share to admit, with the decayed number of answers.

        Parameters
        ----------
        levels_below
            Priority levels below the most urgent one seen.
        """
        if answers < _MIN_ANSWERS:
            return 1.0
        # Both sums decay by the same factor.
        relative_delay = self._relative_delay_sum / self._answers
        max_relative_delay = _MAX_RELATIVE_DELAY * _PRIORITY_FACTOR**levels_below
        if relative_delay <= max_relative_delay:
            return 1.0
        return max(_MIN_ADMITTED_SHARE, (max_relative_delay / relative_delay) ** _SHED_EXPONENT)

    def _decay_factor(self, now_s: float) -> float:
        return math.exp(min(0.0, self._decayed_at_s - now_s) / _TIME_CONSTANT_S)

    def _decay(self, now_s: float) -> None:
        factor = self._decay_factor(now_s)
        self._answers *= factor
        self._relative_delay_sum *= factor
        self._decayed_at_s = max(self._decayed_at_s, now_s)


def random_retry_after_s() -> float:
    """Return the seconds after which the caller of a rejected request should retry."""
    return random.uniform(*RETRY_AFTER_RANGE_S)
