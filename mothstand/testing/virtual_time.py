"""Runs asynchronous code in virtual time, without waits and in a reproducible order."""

from __future__ import annotations

import random
from contextlib import contextmanager
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING, TypeVar

import anyio
import trio
from trio._core import _run as trio_scheduler
from trio.testing import MockClock

from ..clock import Clock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

_T = TypeVar("_T")
_START = datetime(2026, 1, 1, tzinfo=UTC)


class VirtualClock(Clock):
    """The event loop's time, which `run_in_virtual_time` advances when all tasks wait."""

    def now(self) -> datetime:
        """Return a time of day derived from the loop's time."""
        return _START + timedelta(seconds=anyio.current_time())

    def monotonic_s(self) -> float:
        """Return the loop's time."""
        return anyio.current_time()

    async def sleep(self, delay_s: float) -> None:
        """Sleep on the loop."""
        await anyio.sleep(delay_s)


def run_in_virtual_time(work: Callable[[], Awaitable[_T]], *, order: int = 0) -> _T:
    """Return the result of asynchronous code, run without real waits.

    The code must use anyio or trio; asyncio is not supported.

    Parameters
    ----------
    order
        Seed of the order of tasks that wake at the same time, and of the `random` module.
    """
    with _seeded(order):
        return trio.run(work, clock=MockClock(autojump_threshold=0))


@contextmanager
def _seeded(order: int) -> Iterator[None]:
    """Seed Trio's scheduler and the `random` module, and restore both at the end."""
    # Trio has no public switch for this; pytest-trio sets the same one for Hypothesis.
    scheduler = trio_scheduler
    was_deterministic = scheduler._ALLOW_DETERMINISTIC_SCHEDULING
    scheduler_state, random_state = scheduler._r.getstate(), random.getstate()
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    scheduler._r.seed(order)
    random.seed(order)
    try:
        yield
    finally:
        scheduler._ALLOW_DETERMINISTIC_SCHEDULING = was_deterministic  # type: ignore[misc]
        scheduler._r.setstate(scheduler_state)
        random.setstate(random_state)
