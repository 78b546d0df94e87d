"""How long a request waits for an upstream before another one is worth a try.

The load that this answers: an upstream that hangs, or is dark behind a cut, answers never, and a
request that may run twice should leave it while its objective can still be met. Where all upstreams
are slow, in a burst, leaving one only gets a prompt read once more at the next.
"""

from __future__ import annotations

from dataclasses import dataclass, field

#: After this many objectives without a sign of an answer, another upstream is tried. One that is
#: merely busy answers before; one that hangs never.
_OBJECTIVE_FACTOR = 1.6

#: The same in mean times to an answer's head, for when all upstreams are slow.
_MEAN_FACTOR = 3.0

#: Least patience; a busy upstream takes so long for a short request.
_MIN_TIMEOUT_S = 0.25

#: Longest patience; callers abandon a stream after two seconds without an event.
_MAX_TIMEOUT_S = 1.5

#: Weight of the latest answer in the mean time to an answer's head.
_LATEST_WEIGHT = 0.05


@dataclass(slots=True)
class AdaptiveTimeout:
    """Mean times to an answer's head by service, and the patience that follows from them."""

    _mean_head_s: dict[str, float] = field(default_factory=dict)

    def record_response_time(self, service: str, elapsed_s: float) -> None:
        """Note how long an answer's head took."""
        mean_s = self._mean_head_s.get(service, elapsed_s)
        self._mean_head_s[service] = mean_s + _LATEST_WEIGHT * (elapsed_s - mean_s)

    def timeout_s(self, service: str, objective_s: float) -> float:
        """Return the seconds to wait for an answer's head from one upstream.

        Parameters
        ----------
        objective_s
            Within which the request should be answered.
        """
        by_objective_s = _OBJECTIVE_FACTOR * objective_s
        by_mean_s = _MEAN_FACTOR * self._mean_head_s.get(service, 0.0)
        return min(_MAX_TIMEOUT_S, max(_MIN_TIMEOUT_S, by_objective_s, by_mean_s))
