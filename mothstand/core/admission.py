"""Admission control that rejects a share of requests while all upstreams of a service are slow.

In a burst, or after the loss of many upstreams, demand exceeds capacity. If all requests were
admitted, they would wait in the upstreams' queues: every answer is late, many callers disconnect
before their answer begins, and the prompts read for them are wasted. Rejecting a share of the
requests on arrival, before they run, keeps the others fast.

The input is the time that upstreams take to begin an answer, relative to the request's objective.
Attempts without an answer are ignored: an unreachable upstream does not slow down the others.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

#: Highest mean relative delay (time to the start of an answer, divided by the objective) at which
#: all requests are admitted. With a higher mean the slower half of the answers is late.
_BEARABLE = 0.6

#: Exponent of the rejected share. The admitted load settles at the upstreams' capacity; at a demand
#: of twice the capacity the mean is then a quarter above `_MAX_RELATIVE_DELAY`.
_STEEPNESS = 3.0

#: Minimum share of admitted requests, so that the recovery of the upstreams is noticed.
_LEAST_SHARE = 0.25

#: Time constant of the mean: about the time in which a queue builds up or drains.
_WINDOW_S = 1.0

#: Decayed number of answers that a mean requires: one or two slow ones may be chance.
_LEAST_ANSWERS = 6.0

#: Factor on the maximum relative delay for each priority level below the highest, so that lower
#: priorities are rejected first, but none entirely.
_PRIORITY_STEP = 0.85

#: Range in seconds of the random time after which callers retry, so that they do not all retry at
#: once.
_COME_BACK_S = (0.8, 2.4)


@dataclass(slots=True)
class Admission:
    """Admission control of one service, from the start times of its recent answers."""

    _answers: float = 0.0
    _relative_sum: float = 0.0
    _at_s: float = -math.inf
    _most_urgent: int | None = None

    def answered(self, took_s: float, objective_s: float, now_s: float) -> None:
        """Record the time an upstream took to begin an answer, if the request has an objective."""
        if objective_s <= 0:
            return
        self._fade(now_s)
        self._answers += 1.0
        self._relative_sum += took_s / objective_s

    def share(self, priority: int, now_s: float) -> float:
        """Return the share of requests of a priority to admit now."""
        self._fade(now_s)
        if self._most_urgent is None or priority < self._most_urgent:
            self._most_urgent = priority
        if self._answers < _LEAST_ANSWERS:
            return 1.0
        relative = self._relative_sum / self._answers
        bearable = _BEARABLE * _PRIORITY_STEP ** (priority - self._most_urgent)
        if relative <= bearable:
            return 1.0
        return max(_LEAST_SHARE, (bearable / relative) ** _STEEPNESS)

    def _fade(self, now_s: float) -> None:
        kept = math.exp(min(0.0, self._at_s - now_s) / _WINDOW_S)
        self._answers *= kept
        self._relative_sum *= kept
        self._at_s = max(self._at_s, now_s)


def come_back_s() -> float:
    """Return the seconds after which the caller of a rejected request should retry."""
    return random.uniform(*_COME_BACK_S)
