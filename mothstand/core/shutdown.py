"""A planned stop: how long requests are still taken, and when the process ends."""

from __future__ import annotations

from dataclasses import dataclass

#: Seconds in which requests are still taken: callers come on until the balancer has missed two
#: readiness checks, a second apart. One that is taken later may not end before the process must,
#: and would be cut; refused, it is sent again elsewhere.
LAME_DUCK_S = 3.0

#: Seconds before the process is killed at which it ends by itself.
STOP_MARGIN_S = 1.2

#: Of that margin, what no part of the stop may use.
STOP_RESERVE_S = 0.2

#: A caller that comes back from a stopping instance meets another one at once.
STOPPING_RETRY_AFTER_S = 0.05


@dataclass(slots=True)
class Shutdown:
    """The course of one stop.

    Parameters
    ----------
    grace_s
        Seconds from the stop's begin until the process is killed.
    began_s
        When the stop began; None before.
    """

    grace_s: float
    began_s: float | None = None

    @property
    def is_stopping(self) -> bool:
        """Whether a stop has begun: not ready, connections are closed after their answer."""
        return self.began_s is not None

    def refuses_requests(self, now_s: float) -> bool:
        """Return whether new requests are refused."""
        return self.began_s is not None and now_s - self.began_s >= LAME_DUCK_S

    @property
    def deadline_s(self) -> float:
        """When the process must have ended by itself, on the clock of `began_s`."""
        return (self.began_s or 0.0) + self.grace_s - STOP_RESERVE_S

    def is_over(self, now_s: float, *, running: int) -> bool:
        """Return whether the process should end."""
        if self.began_s is None:
            return False
        elapsed_s = now_s - self.began_s
        if elapsed_s >= self.grace_s - STOP_MARGIN_S:
            return True
        return elapsed_s >= LAME_DUCK_S and not running
