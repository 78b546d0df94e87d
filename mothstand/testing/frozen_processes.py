"""Clocks and store clients of simulated processes that freeze temporarily."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

import anyio

from .memory_store import MemoryStore, StoreCallOutcome, StoreLink
from .virtual_time import VirtualClock

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..gateway.store import KeyedRecord, Stream, StreamPage

#: Seconds that a call to the store takes.
_STORE_CALL_S = 0.006


@dataclass(slots=True)
class FrozenProcesses:
    """The virtual times until which processes are frozen."""

    _frozen_until_s: dict[str, float] = field(default_factory=dict)

    def freeze(self, names: Iterable[str], until_s: float) -> None:
        """Freeze processes until a time."""
        self._frozen_until_s |= dict.fromkeys(names, until_s)

    async def wait_until_thawed(self, name: str) -> None:
        """Wait until a process is no longer frozen."""
        while (wait_s := self._frozen_until_s.get(name, 0.0) - anyio.current_time()) > 0:
            await anyio.sleep(wait_s)


class FreezableClock(VirtualClock):
    """Virtual clock of a process that can freeze.

    Parameters
    ----------
    skew_s
        Seconds by which its time of day is ahead.
    """

    def __init__(self, processes: FrozenProcesses, name: str, *, skew_s: float = 0.0) -> None:
        self._processes = processes
        self._name = name
        self._skew = timedelta(seconds=skew_s)

    def now(self) -> datetime:
        """Return the time of day of the process's machine."""
        return super().now() + self._skew

    async def sleep(self, delay_s: float) -> None:
        """Sleep, and wait until the process is not frozen."""
        await super().sleep(delay_s)
        await self._processes.wait_until_thawed(self._name)


class FreezableStoreLink(StoreLink):
    """A store client whose calls take time, and freeze with their process."""

    def __init__(
        self,
        store: MemoryStore,
        processes: FrozenProcesses,
        name: str,
        decide_outcome: Callable[[], StoreCallOutcome],
        read_timeout_s: float = 0.0,
    ) -> None:
        super().__init__(store, decide_outcome, read_timeout_s)
        self._processes = processes
        self._name = name

    async def append(
        self, stream: Stream, records: tuple[KeyedRecord, ...], *, at_offset: int | None = None
    ) -> None:
        """Append after half of the call's time, and answer after the other half."""
        await self._processes.wait_until_thawed(self._name)
        await anyio.sleep(_STORE_CALL_S / 2)
        await super().append(stream, records, at_offset=at_offset)
        await anyio.sleep(_STORE_CALL_S / 2)
        await self._processes.wait_until_thawed(self._name)

    async def read(self, stream: Stream, from_offset: int, *, wait_s: float = 0.0) -> StreamPage:
        """Read at the start of the call's time."""
        await self._processes.wait_until_thawed(self._name)
        page = await super().read(stream, from_offset, wait_s=wait_s)
        await anyio.sleep(_STORE_CALL_S)
        await self._processes.wait_until_thawed(self._name)
        return page

    async def newest(self, stream: Stream) -> StreamPage:
        """Return the newest records, read at the start of the call's time."""
        await self._processes.wait_until_thawed(self._name)
        page = await super().newest(stream)
        await anyio.sleep(_STORE_CALL_S)
        await self._processes.wait_until_thawed(self._name)
        return page
