"""Timeout after which a request that may run twice is sent to another upstream.

An upstream that hangs or is unreachable never answers, and the request should be sent to another
one while its objective can still be met. When all upstreams are slow, in a burst, the timeout must
be longer: switching would only make a second upstream read the prompt.
"""

from __future__ import annotations

from dataclasses import dataclass, field

#: Timeout as a multiple of the objective. A busy upstream answers before; a hanging one never does.
_OBJECTIVE_FACTOR = 1.6

#: Timeout as a multiple of the mean time to the head of an answer, when all upstreams are slow.
_MEAN_FACTOR = 3.0

#: Minimum timeout: a busy upstream takes this long for a short request.
_MIN_TIMEOUT_S = 0.25

#: Maximum timeout: callers abandon a stream after two seconds without an event.
_MAX_TIMEOUT_S = 1.5

#: Weight of the latest answer in the mean time to the head of an answer.
_LATEST_WEIGHT = 0.05


@dataclass(slots=True)
class AdaptiveTimeout:
    """Timeouts from the objective and from the mean time to the head of an answer, by service."""

    _mean_head_s: dict[str, float] = field(default_factory=dict)

    def record_response_time(self, service: str, elapsed_s: float) -> None:
        """Record the time to the head of an answer."""
        mean_s = self._mean_head_s.get(service, elapsed_s)
        self._mean_head_s[service] = mean_s + _LATEST_WEIGHT * (elapsed_s - mean_s)

    def timeout_s(self, service: str, objective_s: float) -> float:
        """Return the seconds to wait for the head of an answer from one upstream.

        Parameters
        ----------
        objective_s
            Time within which the request should be answered.
        """
        by_objective_s = _OBJECTIVE_FACTOR * objective_s
        by_mean_s = _MEAN_FACTOR * self._mean_head_s.get(service, 0.0)
        return min(_MAX_TIMEOUT_S, max(_MIN_TIMEOUT_S, by_objective_s, by_mean_s))
