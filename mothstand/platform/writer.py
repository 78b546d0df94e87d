"""One author's appends to one stream: numbered, batched, paced, retried until they are in."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Generic, TypeVar

import anyio

from ..core.records import Record, RecordId
from .codec import encode
from .log import LogClient, LogError

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock

_R = TypeVar("_R", bound=Record)

#: Most records in one append; the rest goes with the next.
MAX_BATCH = 500
_BACKOFF_FIRST_S = 0.05
_BACKOFF_MOST_S = 2.0


class LogWriter(Generic[_R]):
    """Appends records of one author to one stream, in order.

    Parameters
    ----------
    author
        The process's incarnation; with the sequence number it makes the record id.
    least_interval_s
        Least time between two appends: group commit, and the author's share of the rate that the
        log allows for all of us together.

    Notes
    -----
    An append whose answer is lost may be in the log. The writer sends the same bytes again until
    it has an answer, and never a later record before an earlier one, so the folds can drop
    duplicates by the author's last sequence number.
    """

    def __init__(
        self, log: LogClient, stream: str, *, author: str, clock: Clock, least_interval_s: float
    ) -> None:
        self.stream = stream
        self.appends = 0
        self._log = log
        self._author = author
        self._clock = clock
        self._least_interval_s = least_interval_s
        self._sequence = 0
        self._queue: list[_R] = []
        self._wake = anyio.Event()
        self._appended: list[Callable[[tuple[_R, ...]], None]] = []

    @property
    def pending(self) -> int:
        """Number of records that are not known to be in the log."""
        return len(self._queue)

    def submit(self, make: Callable[[RecordId], _R]) -> _R:
        """Queue the record that `make` returns for the next record id, and return it."""
        self._sequence += 1
        record = make(RecordId(self._author, self._sequence))
        self._queue.append(record)
        self._wake.set()
        return record

    def on_appended(self, callback: Callable[[tuple[_R, ...]], None]) -> None:
        """Call `callback` with the records of each append that was answered."""
        self._appended.append(callback)

    async def run(self) -> None:
        """Append what is queued, until cancelled."""
        while True:
            await self._wake.wait()
            await self.flush()
            await self._clock.sleep(self._least_interval_s)

    async def flush(self) -> None:
        """Append what is queued now."""
        while self._queue:
            batch = tuple(self._queue[:MAX_BATCH])
            await self._append(encode(batch))
            del self._queue[: len(batch)]
            for callback in self._appended:
                callback(batch)
        self._wake = anyio.Event()

    async def _append(self, payload: bytes) -> None:
        backoff_s = _BACKOFF_FIRST_S
        while True:
            try:
                self.appends += 1
                await self._log.append(self.stream, payload)
                return
            except LogError:
                # Jitter, lest all instances come back to a recovering log in step.
                await self._clock.sleep(backoff_s * random.uniform(0.5, 1.5))
                backoff_s = min(_BACKOFF_MOST_S, backoff_s * 2)
