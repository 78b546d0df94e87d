"""Follows one stream of the log and hands its records on in order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import Event, emit
from .codec import decode
from .log import LogClient, LogError

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..core.records import Record

#: Seconds that a read waits for a new record.
READ_WAIT_S = 5.0
_RETRY_S = 0.2


class LogReader:
    """Reads a stream from its oldest kept record on.

    Parameters
    ----------
    apply
        Called with offset and record, once for each record of the stream.
    """

    def __init__(
        self,
        log: LogClient,
        stream: str,
        apply: Callable[[int, Record], None],
        *,
        clock: Clock,
    ) -> None:
        self.stream = stream
        self.next_offset = 1
        self.caught_up = False
        self.unreachable_since_s: float | None = None
        self._log = log
        self._apply = apply
        self._clock = clock

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            try:
                await self.read_once(wait_s=READ_WAIT_S if self.caught_up else 0.0)
            except LogError:
                if self.unreachable_since_s is None:
                    self.unreachable_since_s = self._clock.monotonic_s()
                await self._clock.sleep(_RETRY_S)

    async def read_once(self, *, wait_s: float) -> None:
        """Read and apply one page."""
        page = await self._log.read(self.stream, self.next_offset, wait_s=wait_s)
        self.unreachable_since_s = None
        for offset, payload in page.records:
            self._apply_payload(offset, payload)
        self.next_offset = max(self.next_offset, page.next_offset)
        self.caught_up = not page.records or self.caught_up

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
            self._apply(offset, record)
