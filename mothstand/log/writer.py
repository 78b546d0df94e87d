"""One author's appends to one stream: numbered, batched, paced, retried until they are in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

import anyio

from ..core.backoff import Backoff
from ..core.records import Record, RecordId
from .client import LogClient, LogError
from .codec import encode

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock

_R = TypeVar("_R", bound=Record)

#: Most records in one append; the rest goes with the next.
MAX_BATCH = 500
_FIRST_RETRY_DELAY_S = 0.05
_MAX_RETRY_DELAY_S = 1.0


@dataclass(frozen=True, slots=True)
class Pace:
    """When a writer appends.

    Parameters
    ----------
    least_interval_s
        Least time between two appends.
    gather_s
        How long the first record waits for more to share its append.
    full_records
        As many records do not wait.
    """

    min_interval_s: float
    linger_s: float = 0.0
    full_batch_records: int = 1


class LogWriter(Generic[_R]):
    """Appends records of one author to one stream, in order.

    Parameters
    ----------
    author
        The process's incarnation; with the sequence number it makes the record id.
    pace
        When to append: the author's share of the rate that the log allows for all of us together.

    Notes
    -----
    An append whose answer is lost may be in the log. The writer sends the same bytes again until
    it has an answer, and never a later record before an earlier one, so the folds can drop
    duplicates by the author's last sequence number.
    """

    def __init__(
        self, log: LogClient, stream: str, *, author: str, clock: Clock, pace: Pace
    ) -> None:
        self.stream = stream
        self.append_attempts = 0
        self._log = log
        self._author = author
        self._clock = clock
        self._pace = pace
        self._batch_is_full = anyio.Event()
        self._is_linger_disabled = False
        self._sequence = 0
        self._queue: list[_R] = []
        self._wake = anyio.Event()
        self._append_callbacks: list[Callable[[tuple[_R, ...]], None]] = []

    @property
    def pending(self) -> int:
        """Number of records that are not known to be in the log."""
        return len(self._queue)

    def submit(self, make_record: Callable[[RecordId], _R]) -> _R:
        """Queue the record that `make` returns for the next record id, and return it."""
        self._sequence += 1
        record = make_record(RecordId(self._author, self._sequence))
        self._queue.append(record)
        self._wake.set()
        if len(self._queue) >= self._pace.full_batch_records:
            self._batch_is_full.set()
        return record

    def disable_linger(self) -> None:
        """Append at once from now on, as before a stop."""
        self._is_linger_disabled = True
        self._batch_is_full.set()

    def on_appended(self, callback: Callable[[tuple[_R, ...]], None]) -> None:
        """Call `callback` with the records of each append that was answered."""
        self._append_callbacks.append(callback)

    async def run(self) -> None:
        """Append what is queued, until cancelled."""
        while True:
            await self._wake.wait()
            await self._linger()
            await self.flush()
            await self._clock.sleep(self._pace.min_interval_s)

    async def flush(self) -> None:
        """Append what is queued now."""
        while self._queue:
            batch = tuple(self._queue[:MAX_BATCH])
            await self._append(encode(batch))
            del self._queue[: len(batch)]
            for callback in self._append_callbacks:
                callback(batch)
        self._wake = anyio.Event()
        if not self._is_linger_disabled:
            self._batch_is_full = anyio.Event()

    async def _linger(self) -> None:
        """Let more records come, until there are enough or the first has waited long."""
        if not self._pace.linger_s:
            return
        async with anyio.create_task_group() as tasks:

            async def wait_until_full() -> None:
                await self._batch_is_full.wait()
                tasks.cancel_scope.cancel()

            tasks.start_soon(wait_until_full)
            await self._clock.sleep(self._pace.linger_s)
            tasks.cancel_scope.cancel()

    async def _append(self, payload: bytes) -> None:
        backoff = Backoff(_FIRST_RETRY_DELAY_S, _MAX_RETRY_DELAY_S)
        while True:
            try:
                self.append_attempts += 1
                await self._log.append(self.stream, payload)
                return
            except LogError:
                await self._clock.sleep(backoff.next_jittered_s())
