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
_MAX_RELATIVE_DELAY = 0.6

#: Steepness of the part that is turned away. What is taken on settles where it is what upstreams
#: can do; at twice as much demand the mean is then a quarter above what is bearable.
_SHED_EXPONENT = 3.0

#: The least part of the requests that is taken on, so that the upstreams' recovery is noticed.
_MIN_ADMITTED_SHARE = 0.25

#: Time constant of the mean: about as long as a queue takes to build up or to drain.
_TIME_CONSTANT_S = 1.0

#: Answers within the window that a mean needs; a slow one or two are chance.
_MIN_ANSWERS = 6.0

#: Each step of priority counts as if the upstreams were so much faster or slower, so that the less
#: urgent are turned away first, and none of them wholly.
_PRIORITY_FACTOR = 0.85

#: Callers come back after a time between these two, in seconds: not all together.
_RETRY_AFTER_RANGE_S = (0.8, 2.4)


@dataclass(slots=True)
class Admission:
    """The decision for one service."""

    _answers: float = 0.0
    _relative_delay_sum: float = 0.0
    _decayed_at_s: float = -math.inf
    _most_urgent_priority: int | None = None

    def record_response_time(self, elapsed_s: float, objective_s: float, now_s: float) -> None:
        """Note after which time an upstream began an answer, if that has an objective."""
        if objective_s <= 0:
            return
        self._decay(now_s)
        self._answers += 1.0
        self._relative_delay_sum += elapsed_s / objective_s

    def admitted_share(self, priority: int, now_s: float) -> float:
        """Return which part of the requests of a priority is to be taken on now."""
        self._decay(now_s)
        if self._most_urgent_priority is None or priority < self._most_urgent_priority:
            self._most_urgent_priority = priority
        if self._answers < _MIN_ANSWERS:
            return 1.0
        relative_delay = self._relative_delay_sum / self._answers
        max_relative_delay = _MAX_RELATIVE_DELAY * _PRIORITY_FACTOR ** (
            priority - self._most_urgent_priority
        )
        if relative_delay <= max_relative_delay:
            return 1.0
        return max(_MIN_ADMITTED_SHARE, (max_relative_delay / relative_delay) ** _SHED_EXPONENT)

    def _decay(self, now_s: float) -> None:
        factor = math.exp(min(0.0, self._decayed_at_s - now_s) / _TIME_CONSTANT_S)
        self._answers *= factor
        self._relative_delay_sum *= factor
        self._decayed_at_s = max(self._decayed_at_s, now_s)


def random_retry_after_s() -> float:
    """Return when a request that was turned away should come back."""
    return random.uniform(*_RETRY_AFTER_RANGE_S)
