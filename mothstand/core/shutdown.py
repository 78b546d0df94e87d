"""Course of a planned stop: how long requests are still accepted, and when the process ends."""

from __future__ import annotations

from dataclasses import dataclass

#: Seconds for which requests are still accepted: they keep arriving until the load balancer has
#: seen two failed readiness checks, a second apart. A request accepted later may not finish before
#: the process ends, and would be cut; if it is refused, the caller sends it to another instance.
LAME_DUCK_S = 3.0

#: Seconds before the kill at which the process ends by itself.
STOP_MARGIN_S = 1.2

#: Part of that margin that no step of the stop may use, in seconds.
STOP_RESERVE_S = 0.2

#: Seconds after which a refused caller should retry: it reaches another instance at once.
STOPPING_RETRY_AFTER_S = 0.05


@dataclass(slots=True)
class Shutdown:
    """State and timing of one stop.

    Parameters
    ----------
    grace_s
        Seconds from the beginning of the stop until the process is killed.
    began_s
        Time at which the stop began; None before.
    """

    grace_s: float
    began_s: float | None = None

    @property
    def is_stopping(self) -> bool:
        """Whether a stop has begun: not ready, and connections are closed after their answer."""
        return self.began_s is not None

    def refuses_requests(self, now_s: float) -> bool:
        """Return whether new requests are refused."""
        return self.began_s is not None and now_s - self.began_s >= LAME_DUCK_S

    @property
    def deadline_s(self) -> float:
        """Time by which the process must have ended by itself, on the clock of `began_s`."""
        return (self.began_s or 0.0) + self.grace_s - STOP_RESERVE_S

    def is_over(self, now_s: float, *, running: int) -> bool:
        """Return whether the process should end now."""
        if self.began_s is None:
            return False
        elapsed_s = now_s - self.began_s
        if elapsed_s >= self.grace_s - STOP_MARGIN_S:
            return True
        return elapsed_s >= LAME_DUCK_S and not running
