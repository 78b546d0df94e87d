"""Decides when work that accumulates is done in one batch: at once, but not too often."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from ..clock import Clock


class BatchTimer:
    """Timer of batches, which keeps an interval between them; urgent work shortens it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._has_work = anyio.Event()
        self._has_urgent_work = anyio.Event()
        self._latest_s = float("-inf")

    def note_work(self, *, is_urgent: bool) -> None:
        """Note that there is work for the next batch."""
        self._has_work.set()
        if is_urgent:
            self._has_urgent_work.set()

    async def wait(self, interval_s: float, urgent_interval_s: float) -> None:
        """Wait until the next batch is due.

        Parameters
        ----------
        interval_s, urgent_interval_s
            Least time between two batches, and the same if there is urgent work.
        """
        await self._has_work.wait()
        with anyio.move_on_after(self._latest_s + interval_s - self._clock.monotonic_s()):
            await self._has_urgent_work.wait()
        due_s = self._latest_s + urgent_interval_s
        await self._clock.sleep(max(0.0, due_s - self._clock.monotonic_s()))
        self._has_work = anyio.Event()
        self._has_urgent_work = anyio.Event()
        self._latest_s = self._clock.monotonic_s()
