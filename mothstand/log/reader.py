"""Follows one stream of the log and hands its records on in order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.backoff import Backoff
from ..core.records import SnapshotRecord
from ..events import Event, emit
from .client import LogClient, LogError
from .codec import decode

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..core.records import Record

#: Seconds that a read waits for a new record.
READ_WAIT_S = 5.0
_FIRST_RETRY_DELAY_S = 0.1
_MAX_RETRY_DELAY_S = 1.0


class LogReader:
    """Reads a stream from its oldest kept record on.

    Parameters
    ----------
    apply
        Called with offset and record, once for each record of the stream.
    load
        Called with a snapshot when the records before it have been trimmed; None for a stream
        without snapshots.

    Notes
    -----
    The log keeps records for a limited time. A reader that finds a gap, at its start or after a
    long cut, waits for the first snapshot that covers it, loads that, and goes on with the records
    after the snapshot's own offset. Every reader that meets the gap takes the same snapshot.
    """

    def __init__(
        self,
        log: LogClient,
        stream: str,
        apply: Callable[[int, Record], None],
        *,
        clock: Clock,
        load_snapshot: Callable[[SnapshotRecord], None] | None = None,
    ) -> None:
        self.stream = stream
        self.next_offset = 1
        self.is_caught_up = False
        self._backoff = Backoff(_FIRST_RETRY_DELAY_S, _MAX_RETRY_DELAY_S)
        self._log = log
        self._apply = apply
        self._clock = clock
        self._load_snapshot = load_snapshot
        self._gap_before: int | None = None
        self._held_records: list[tuple[int, Record]] = []

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            try:
                await self.read_once(wait_s=self._wait_s)
                self._backoff.reset()
            except LogError:
                await self._clock.sleep(self._backoff.next_jittered_s())

    @property
    def _wait_s(self) -> float:
        """How long the next read waits for a record: after a failure not at all.

        On a quiet stream a waiting read would say only seconds later that the log is back.
        """
        return READ_WAIT_S if self.is_caught_up and not self._backoff.attempts else 0.0

    async def read_once(self, *, wait_s: float) -> None:
        """Read and apply one page."""
        page = await self._log.read(self.stream, self.next_offset, wait_s=wait_s)
        if page.first_offset > self.next_offset and self._load_snapshot is not None:
            self._gap_before = page.first_offset
            self._held_records = []
        for offset, payload in page.records:
            self._apply_payload(offset, payload)
        self.next_offset = max(self.next_offset, page.next_offset)
        # Before a snapshot has filled the gap, the stream is not known.
        if not page.records and self._gap_before is None:
            self.is_caught_up = True

    def _apply_payload(self, offset: int, payload: str) -> None:
        if offset < self.next_offset:
            return
        try:
            records = decode(payload.encode())
        except ValueError as error:
            # Not ours, or damaged: every reader skips it alike, so the folds stay equal.
            emit(Event.RECORD_SKIPPED, stream=self.stream, offset=offset, error=str(error))
            return
        for record in records:
            self._apply_or_hold(offset, record)

    def _apply_or_hold(self, offset: int, record: Record) -> None:
        if self._gap_before is None:
            self._apply(offset, record)
        elif not isinstance(record, SnapshotRecord):
            self._held_records.append((offset, record))
        elif record.at_offset >= self._gap_before - 1:
            self._fill_gap(record)

    def _fill_gap(self, snapshot: SnapshotRecord) -> None:
        assert self._load_snapshot is not None
        self._load_snapshot(snapshot)
        self._gap_before = None
        for offset, record in self._held_records:
            if offset > snapshot.at_offset:
                self._apply(offset, record)
        self._held_records = []
