"""Appends quarantine records to the store, or sends them to peers while the store fails."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio

from ...core.backoff import Backoff
from ...events import Event, emit
from ...peers.failures import PeerError
from ..store import KeyedRecord, Store, StoreError, Stream

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ...clock import Clock
    from ...log.health import PlatformHealth
    from ..lending import PeerLink

_BACKOFF_FIRST_S = 0.1
_BACKOFF_MAX_S = 0.2

#: Maximum records per append, and maximum records that wait to be appended.
_MAX_BATCH_RECORDS = 200
_MAX_WAITING_RECORDS = 2000

#: Number of peers that receive records to append on behalf of this instance.
_RELAY_PEERS = 3


class QuarantineOutbox:
    """Queue of records that are not yet in the store.

    Parameters
    ----------
    peers
        Returns addresses of other instances, for records that this one cannot append to the store.
    """

    def __init__(
        self,
        store: Store,
        stream: Stream,
        clock: Clock,
        health: PlatformHealth,
        link: PeerLink,
        peers: Callable[[], Sequence[str]],
    ) -> None:
        self._store = store
        self._stream = stream
        self._clock = clock
        self._health = health
        self._link = link
        self._peers = peers
        self._waiting: dict[str, KeyedRecord] = {}
        self._unrelayed: dict[str, KeyedRecord] = {}
        self._has_work = anyio.Event()
        self._has_unstored = anyio.Event()

    def __contains__(self, key: str) -> bool:
        """Return whether a record with this key is waiting."""
        return key in self._waiting

    async def run(self) -> None:
        """Append waiting records, with retries, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._append_waiting)
            tasks.start_soon(self._relay_unstored)

    def enqueue(self, record: KeyedRecord, *, is_relayed: bool = True) -> None:
        """Add a record at the end of the queue, in place of a waiting one with the same key.

        Parameters
        ----------
        is_relayed
            Whether the record is also sent to peers if appending it fails.
        """
        self._waiting.pop(record.key, None)
        self._waiting[record.key] = record
        if is_relayed:
            self._unrelayed[record.key] = record
        if len(self._waiting) > _MAX_WAITING_RECORDS:
            oldest = next(iter(self._waiting))
            self._remove(oldest)
            emit(Event.END_DROPPED, key=oldest, waiting=_MAX_WAITING_RECORDS)
        self._has_work.set()

    def note_stored(self, record: KeyedRecord) -> None:
        """Remove a waiting record if the store's record of its key has the same effect."""
        waiting = self._waiting.get(record.key)
        if waiting is not None and (waiting.value is None) == (record.value is None):
            self._remove(record.key)

    def _remove(self, key: str) -> None:
        self._waiting.pop(key, None)
        self._unrelayed.pop(key, None)

    async def _append_waiting(self) -> None:
        backoff = Backoff(_BACKOFF_FIRST_S, _BACKOFF_MAX_S)
        while True:
            await self._has_work.wait()
            self._has_work = anyio.Event()
            while self._waiting:
                batch = tuple(self._waiting.values())[:_MAX_BATCH_RECORDS]
                if self._health.is_failing:
                    self._has_unstored.set()
                try:
                    await self._store.append(self._stream, batch)
                except StoreError as error:
                    self._health.note_failure(error)
                    self._has_unstored.set()
                    await self._clock.sleep(backoff.next_jittered_s())
                    continue
                backoff.reset()
                for record in batch:
                    if self._waiting.get(record.key) is record:
                        self._remove(record.key)

    async def _relay_unstored(self) -> None:
        """Send unstored records to peers, concurrently with appends since a peer may hang."""
        while True:
            await self._has_unstored.wait()
            self._has_unstored = anyio.Event()
            await self._relay()

    async def _relay(self) -> None:
        """Send each unstored record once, to a few random peers."""
        records = tuple(self._unrelayed.values())[:_MAX_BATCH_RECORDS]
        if not records:
            return
        for record in records:
            del self._unrelayed[record.key]
        peers = self._peers()
        async with anyio.create_task_group() as tasks:
            for address in random.sample(peers, min(_RELAY_PEERS, len(peers))):
                tasks.start_soon(self._send, address, records)

    async def _send(self, address: str, records: tuple[KeyedRecord, ...]) -> None:
        try:
            await self._link.send_quarantine_records(address, records)
        except PeerError as error:
            emit(Event.PEER_SUSPECTED, peer=address, error=str(error))
