"""Clock interface, so that tests can control time, and the system clock."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime

import anyio


class Clock(ABC):
    """Source of wall time, elapsed time and delays."""

    @abstractmethod
    def now(self) -> datetime:
        """Return the wall time in UTC, for display only; no decision may depend on it."""

    @abstractmethod
    def monotonic_s(self) -> float:
        """Return seconds on a clock that never goes back, for timeouts and rates."""

    def boot_s(self) -> float:
        """Return seconds on a clock that also counts while the machine is suspended."""
        return self.monotonic_s()

    @abstractmethod
    async def sleep(self, delay_s: float) -> None:
        """Return after `delay_s` seconds."""


class SystemClock(Clock):
    """Clock of the machine."""

    def now(self) -> datetime:
        """Return the machine's time in UTC."""
        return datetime.now(UTC)

    def monotonic_s(self) -> float:
        """Return the machine's monotonic clock in seconds."""
        return time.monotonic()

    def boot_s(self) -> float:
        """Return seconds of the machine's clock that includes time of suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, delay_s: float) -> None:
        """Sleep on the event loop."""
        await anyio.sleep(delay_s)
