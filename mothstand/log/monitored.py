"""A log whose answers and failures are counted towards its health."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .client import LogBusyError, LogClient, LogError, LogPage

if TYPE_CHECKING:
    from .health import PlatformHealth


class MonitoredLog(LogClient):
    """A log whose answers and failures a `LogHealth` hears of."""

    def __init__(self, log: LogClient, health: PlatformHealth) -> None:
        self._log = log
        self._health = health

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record and return its offset."""
        try:
            offset = await self._log.append(stream, payload)
        except LogError as error:
            self._note_failure(error)
            raise
        self._health.note_success()
        return offset

    async def read(self, stream: str, from_offset: int, *, wait_s: float) -> LogPage:
        """Return records at or past an offset, waiting up to `wait_s` for the first."""
        try:
            page = await self._log.read(stream, from_offset, wait_s=wait_s)
        except LogError as error:
            self._note_failure(error)
            raise
        self._health.note_success()
        return page

    def _note_failure(self, error: LogError) -> None:
        if isinstance(error, LogBusyError):
            self._health.note_success()
        else:
            self._health.note_failure(error)
