"""Delays requests that arrive during the start of an instance until it can serve them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock

#: Maximum startup time, from the start of the process: twice the time of the imports. Callers give
#: up on an instance that has not read their request after a second, and an instance that takes
#: longer than this is waiting for the store.
MAX_STARTUP_S = 1.5

#: Seconds between two checks; the store answers within some milliseconds.
_POLL_INTERVAL_S = 0.02


class StartupWait:
    """Delays requests until the instance can serve, at most for the usual time of a start.

    Parameters
    ----------
    can_serve
        Returns whether the instance has what it needs to serve requests.
    """

    def __init__(self, clock: Clock, started_s: float, can_serve: Callable[[], bool]) -> None:
        self._clock = clock
        self._deadline_s = started_s + MAX_STARTUP_S
        self._can_serve = can_serve

    async def wait(self) -> None:
        """Return when the instance can serve or its start has taken too long.

        Without this wait callers that are waiting when an instance starts would be refused, since
        it receives configuration and upstreams from the store about 50 ms later.
        """
        while not self._can_serve() and self._clock.monotonic_s() < self._deadline_s:
            await self._clock.sleep(_POLL_INTERVAL_S)
