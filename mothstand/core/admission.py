"""Which requests are taken on while the upstreams of a service are slow for all.

The load that this answers: a burst, or the loss of many upstreams, asks for more than the rest can
do. Taken on without a bound, all requests wait in the upstreams' queues: every answer is late, many
callers leave before theirs begins, and the prompts that were read for them are paid for in vain.
Turned away at arrival, a part of them costs the others nothing, and has not run.

What is seen is the time that upstreams took to begin an answer, beside the request's objective.
Attempts without an answer say nothing here: an upstream that is dark makes no other one slow.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

#: Answers begin after this part of their objective, on average, before any request is turned
#: away. Where the mean is higher the slower half of them is late.
_BEARABLE = 0.6

#: Steepness of the part that is turned away. What is taken on settles where it is what upstreams
#: can do; at twice as much demand the mean is then a quarter above what is bearable.
_STEEPNESS = 3.0

#: The least part of the requests that is taken on, so that the upstreams' recovery is noticed.
_LEAST_SHARE = 0.25

#: Time constant of the mean: about as long as a queue takes to build up or to drain.
_WINDOW_S = 1.0

#: Answers within the window that a mean needs; a slow one or two are chance.
_LEAST_ANSWERS = 6.0

#: Each step of priority counts as if the upstreams were so much faster or slower, so that the less
#: urgent are turned away first, and none of them wholly.
_PRIORITY_STEP = 0.85

#: Callers come back after a time between these two, in seconds: not all together.
_COME_BACK_S = (0.8, 2.4)


@dataclass(slots=True)
class Admission:
    """The decision for one service."""

    _answers: float = 0.0
    _relative_sum: float = 0.0
    _at_s: float = -math.inf
    _most_urgent: int | None = None

    def answered(self, took_s: float, objective_s: float, now_s: float) -> None:
        """Note after which time an upstream began an answer, if that has an objective."""
        if objective_s <= 0:
            return
        self._fade(now_s)
        self._answers += 1.0
        self._relative_sum += took_s / objective_s

    def share(self, priority: int, now_s: float) -> float:
        """Return which part of the requests of a priority is to be taken on now."""
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
    """Return when a request that was turned away should come back."""
    return random.uniform(*_COME_BACK_S)
