"""Calls that are made after a delay."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock

#: Seconds between two checks for due calls, while there are any.
_POLL_S = 0.05


@dataclass(order=True, slots=True)
class _DelayedCall:
    """A call and the time on the monotonic clock from which it is due."""

    due_s: float
    number: int
    call: Callable[[], None] = field(compare=False)


class DelayedCalls:
    """Queue of calls, which `run` makes when they are due."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._calls: list[_DelayedCall] = []
        self._numbers = itertools.count()
        self._has_calls = anyio.Event()

    def schedule(self, delay_s: float, call: Callable[[], None]) -> None:
        """Make a call after a delay."""
        due_s = self._clock.monotonic_s() + delay_s
        heapq.heappush(self._calls, _DelayedCall(due_s, next(self._numbers), call))
        self._has_calls.set()

    async def run(self) -> None:
        """Make the calls that are due until cancelled."""
        while True:
            await self._has_calls.wait()
            while self._calls:
                await self._clock.sleep(_POLL_S)
                self._make_due_calls()
            self._has_calls = anyio.Event()

    def _make_due_calls(self) -> None:
        now_s = self._clock.monotonic_s()
        while self._calls and self._calls[0].due_s <= now_s:
            heapq.heappop(self._calls).call()
