"""Processes of a simulated fleet that hang now and then."""

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

#: Seconds that a call of the store takes.
_STORE_CALL_S = 0.006


@dataclass(slots=True)
class FrozenProcesses:
    """Until when each process hangs, in virtual time."""

    _frozen_until_s: dict[str, float] = field(default_factory=dict)

    def freeze(self, names: Iterable[str], until_s: float) -> None:
        """Let processes hang until a time."""
        self._frozen_until_s |= dict.fromkeys(names, until_s)

    async def wait_until_thawed(self, name: str) -> None:
        """Wait until a process no longer hangs."""
        while (wait_s := self._frozen_until_s.get(name, 0.0) - anyio.current_time()) > 0:
            await anyio.sleep(wait_s)


class FreezableClock(VirtualClock):
    """Virtual time of a process that hangs now and then.

    Parameters
    ----------
    skew_s
        By how much its time of day is ahead of others.
    """

    def __init__(self, processes: FrozenProcesses, name: str, *, skew_s: float = 0.0) -> None:
        self._processes = processes
        self._name = name
        self._skew = timedelta(seconds=skew_s)

    def now(self) -> datetime:
        """Return the time of day as the process's machine has it."""
        return super().now() + self._skew

    async def sleep(self, delay_s: float) -> None:
        """Sleep on the loop, and on while the process hangs."""
        await super().sleep(delay_s)
        await self._processes.wait_until_thawed(self._name)


class FreezableStoreLink(StoreLink):
    """A way to the store that takes time, and hangs along with its process."""

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
        """Append after half of the call's time, and answer after the other."""
        await self._processes.wait_until_thawed(self._name)
        await anyio.sleep(_STORE_CALL_S / 2)
        await super().append(stream, records, at_offset=at_offset)
        await anyio.sleep(_STORE_CALL_S / 2)
        await self._processes.wait_until_thawed(self._name)

    async def read(self, stream: Stream, from_offset: int, *, wait_s: float = 0.0) -> StreamPage:
        """Read after the call's time."""
        await self._processes.wait_until_thawed(self._name)
        page = await super().read(stream, from_offset, wait_s=wait_s)
        await anyio.sleep(_STORE_CALL_S)
        await self._processes.wait_until_thawed(self._name)
        return page

    async def newest(self, stream: Stream) -> StreamPage:
        """List after the call's time."""
        await self._processes.wait_until_thawed(self._name)
        page = await super().newest(stream)
        await anyio.sleep(_STORE_CALL_S)
        await self._processes.wait_until_thawed(self._name)
        return page
