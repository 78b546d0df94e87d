"""Detection of stalls of the process, after which it reads requests that were sent earlier.

A process may hang for seconds, or get no processor time, while callers keep sending. Requests that
it reads afterwards were sent at any time since the stall began. If they were counted as sent now,
requests of the previous window would also allow retries in the current one.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

#: Seconds between two ticks of a running process.
TICK_S = 0.25

#: Seconds without a tick that count as a stall.
_STALL_S = 0.6


@dataclass(slots=True)
class StallDetector:
    """Detects stalls by the missing ticks of the process, and remembers the latest one."""

    _last_tick_s: float = math.inf
    _stall_began_s: float = -math.inf
    _reads_backlog_until_s: float = -math.inf

    def tick(self, now_s: float) -> None:
        """Record that the process is running."""
        stall_s = now_s - self._last_tick_s
        if stall_s > _STALL_S:
            self._stall_began_s = self._last_tick_s
            # Reading the requests that arrived in a stall takes at most as long as the stall.
            self._reads_backlog_until_s = now_s + stall_s
        self._last_tick_s = now_s

    def earliest_send_s(self, now_s: float) -> float:
        """Return the earliest time at which a request that is read now may have been sent."""
        if now_s - self._last_tick_s > _STALL_S:
            # The process has just resumed, and reads before its next tick.
            return self._last_tick_s
        if now_s < self._reads_backlog_until_s:
            return self._stall_began_s
        return now_s
