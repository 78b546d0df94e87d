"""How long a request waits for an upstream before another one is worth a try.

The load that this answers: an upstream that hangs, or is dark behind a cut, answers never, and a
request that may run twice should leave it while its objective can still be met. Where all upstreams
are slow, in a burst, leaving one only gets a prompt read once more at the next.
"""

from __future__ import annotations

from dataclasses import dataclass, field

#: After this many objectives without a sign of an answer, another upstream is tried. One that is
#: merely busy answers before; one that hangs never.
_OBJECTIVES = 1.6

#: The same in mean times to an answer's head, for when all upstreams are slow.
_MEANS = 3.0

#: Least patience; a busy upstream takes so long for a short request.
_LEAST_S = 0.25

#: Longest patience; callers abandon a stream after two seconds without an event.
_MOST_S = 1.5

#: Weight of the latest answer in the mean time to an answer's head.
_LATEST_WEIGHT = 0.05


@dataclass(slots=True)
class Patience:
    """Mean times to an answer's head by service, and the patience that follows from them."""

    _head_s: dict[str, float] = field(default_factory=dict)

    def answered(self, service: str, took_s: float) -> None:
        """Note how long an answer's head took."""
        mean_s = self._head_s.get(service, took_s)
        self._head_s[service] = mean_s + _LATEST_WEIGHT * (took_s - mean_s)

    def of(self, service: str, objective_s: float) -> float:
        """Return the seconds to wait for an answer's head from one upstream.

        Parameters
        ----------
        objective_s
            Within which the request should be answered.
        """
        by_objective_s = _OBJECTIVES * objective_s
        by_mean_s = _MEANS * self._head_s.get(service, 0.0)
        return min(_MOST_S, max(_LEAST_S, by_objective_s, by_mean_s))
