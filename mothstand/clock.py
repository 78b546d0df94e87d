"""The clock as an interface, so that tests drive time by hand."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime

import anyio


class Clock(ABC):
    """A source of wall time, elapsed time and delays."""

    @abstractmethod
    def now(self) -> datetime:
        """Return the wall time in UTC, for people to read; never used for a decision."""

    @abstractmethod
    def monotonic_s(self) -> float:
        """Return seconds on a clock that never goes back, for every timeout and rate."""

    def boot_s(self) -> float:
        """Return seconds on a clock that also counts while the machine is suspended."""
        return self.monotonic_s()

    @abstractmethod
    async def sleep(self, delay_s: float) -> None:
        """Return after `delay_s` seconds."""


class SystemClock(Clock):
    """The clock of the machine."""

    def now(self) -> datetime:
        """Return the machine's time in UTC."""
        return datetime.now(UTC)

    def monotonic_s(self) -> float:
        """Return the machine's monotonic clock in seconds."""
        return time.monotonic()

    def boot_s(self) -> float:
        """Return the machine's clock that counts suspension, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, delay_s: float) -> None:
        """Sleep on the event loop."""
        await anyio.sleep(delay_s)
