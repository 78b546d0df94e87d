"""Requests that come while an instance starts wait for what it has to know."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock

#: From the process's start: two of its imports' times. Callers give up on an instance that has not
#: read their request after a second, and one that waits longer than this waits for the store.
MAX_STARTUP_S = 1.5

#: Between two looks; the store answers within some milliseconds.
_POLL_INTERVAL_S = 0.02


class StartupWait:
    """Waits until the instance knows enough to serve, for as long as its start usually takes.

    Parameters
    ----------
    can_serve
        Whether it does.
    """

    def __init__(self, clock: Clock, started_s: float, can_serve: Callable[[], bool]) -> None:
        self._clock = clock
        self._deadline_s = started_s + MAX_STARTUP_S
        self._can_serve = can_serve

    async def wait(self) -> None:
        """Return once the instance can serve, or its start has taken too long.

        Without it the callers that wait for the first moment of an instance are refused in it:
        configuration and upstreams come from the store some 50 ms later.
        """
        while not self._can_serve() and self._clock.monotonic_s() < self._deadline_s:
            await self._clock.sleep(_POLL_INTERVAL_S)
