"""Since when a process may have left requests unread.

The load that this answers: a process that hangs for seconds, or is starved of its processor, while
callers go on sending. What it reads when it wakes was sent at any time since; counted as sent now,
requests of the last window would pay for retries in this one, too.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

#: Seconds between two ticks of a process that runs.
TICK_S = 0.25

#: Seconds without a tick that count as a stall.
_STALL_S = 0.6


@dataclass(slots=True)
class StallDetector:
    """The ticks of a process, and its latest stall."""

    _last_tick_s: float = math.inf
    _stall_began_s: float = -math.inf
    _reads_backlog_until_s: float = -math.inf

    def tick(self, now_s: float) -> None:
        """Note that the process runs."""
        stall_s = now_s - self._last_tick_s
        if stall_s > _STALL_S:
            self._stall_began_s = self._last_tick_s
            # Reading what came in a stall takes no longer than it took to come.
            self._reads_backlog_until_s = now_s + stall_s
        self._last_tick_s = now_s

    def earliest_send_s(self, now_s: float) -> float:
        """Return the earliest time at which a request that is read now may have been sent."""
        if now_s - self._last_tick_s > _STALL_S:
            # It has just woken, and reads before it ticks.
            return self._last_tick_s
        if now_s < self._reads_backlog_until_s:
            return self._stall_began_s
        return now_s
