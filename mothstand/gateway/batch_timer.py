"""Decides when work that accumulates is done in one batch: soon, or once it is urgent at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from ..clock import Clock


class BatchTimer:
    """Timer of batches; batches in short intervals cost more calls for the same work."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._has_work = anyio.Event()
        self._has_urgent_work = anyio.Event()

    def note_work(self, *, is_urgent: bool) -> None:
        """Note that there is work for the next batch."""
        self._has_work.set()
        if is_urgent:
            self._has_urgent_work.set()

    async def wait(self, batch_s: float, urgent_batch_s: float) -> None:
        """Wait until the next batch is due.

        Parameters
        ----------
        batch_s, urgent_batch_s
            Time from the first work, and from the first urgent work, to the batch.
        """
        await self._has_work.wait()
        with anyio.move_on_after(batch_s - urgent_batch_s):
            await self._has_urgent_work.wait()
        await self._clock.sleep(urgent_batch_s)
        self._has_work = anyio.Event()
        self._has_urgent_work = anyio.Event()
