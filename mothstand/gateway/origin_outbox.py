"""Sends origins of streams to the peers that keep copies, in batches.

Small batches cost calls, so they are sent only while the copies are likely to be needed soon.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from ..events import Event, emit
from ..peers.failures import PeerError
from .batch_timer import BatchTimer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from anyio.abc import TaskGroup

    from ..clock import Clock
    from ..core.fleet import Member
    from ..core.stream_origins import OriginRecord, StreamKey
    from .lending import PeerLink
    from .metrics import GatewayMetrics

#: Least time between two batches, and the same if there are urgent records.
_INTERVAL_S = 0.2
_URGENT_INTERVAL_S = 0.05

#: Maximum records in a call, and maximum records that wait for one peer.
_MAX_BATCH_RECORDS = 500
_MAX_WAITING_RECORDS = 5_000

#: Time for which records are sent again to a peer that does not answer, and the pause between.
_RETRY_FOR_S = 2.0
_RETRY_PAUSE_S = 0.2


@dataclass(frozen=True, slots=True)
class _Waiting:
    record: OriginRecord
    since_s: float


class OriginOutbox:
    """Queues of records, one for each peer."""

    def __init__(self, link: PeerLink, clock: Clock, metrics: GatewayMetrics) -> None:
        self._link = link
        self._clock = clock
        self._metrics = metrics
        self._queues: dict[str, dict[StreamKey, _Waiting]] = {}
        self._sending: set[str] = set()
        self._timer = BatchTimer(clock)

    def hurry(self) -> None:
        """Send what waits as if it were urgent."""
        self._timer.note_work(is_urgent=True)

    def enqueue(self, record: OriginRecord, holders: Iterable[Member], *, is_urgent: bool) -> None:
        """Send a record to its holders with the next batch, which is near if it is urgent."""
        waiting = _Waiting(record, self._clock.monotonic_s())
        for member in holders:
            queue = self._queues.setdefault(member.peer.address, {})
            queue[record.key] = waiting
            if len(queue) > _MAX_WAITING_RECORDS:
                del queue[next(iter(queue))]
                self._metrics.counts["origin_records_dropped"] += 1
        self._timer.note_work(is_urgent=is_urgent)

    async def run(self) -> None:
        """Send batches until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._timer.wait(_INTERVAL_S, _URGENT_INTERVAL_S)
                self._start_sending(tasks)

    def _start_sending(self, tasks: TaskGroup) -> None:
        for address in [a for a, queue in self._queues.items() if queue]:
            if address not in self._sending:
                self._sending.add(address)
                tasks.start_soon(self._send_all, address)

    async def _send_all(self, address: str) -> None:
        """Send what waits for a peer; another peer is not delayed by one that hangs."""
        try:
            while self._queues.get(address):
                await self._send_batch(address)
        finally:
            self._sending.discard(address)
            if not self._queues.get(address):
                self._queues.pop(address, None)

    async def _send_batch(self, address: str) -> None:
        queue = self._queues[address]
        batch = list(queue.values())[:_MAX_BATCH_RECORDS]
        try:
            await self._link.keep_origins(address, [waiting.record for waiting in batch])
        except PeerError as error:
            expired_s = self._clock.monotonic_s() - _RETRY_FOR_S
            dropped = [waiting for waiting in batch if waiting.since_s < expired_s]
            self._remove(queue, dropped)
            if dropped:
                self._metrics.counts["origin_records_dropped"] += len(dropped)
                emit(Event.ORIGINS_DROPPED, peer=address, records=len(dropped), error=str(error))
            await self._clock.sleep(_RETRY_PAUSE_S)
            return
        self._metrics.counts["origin_records_sent"] += len(batch)
        self._remove(queue, batch)

    @staticmethod
    def _remove(queue: dict[StreamKey, _Waiting], batch: list[_Waiting]) -> None:
        """Remove records from a queue, but not newer ones of the same streams."""
        for waiting in batch:
            if queue.get(waiting.record.key) is waiting:
                del queue[waiting.record.key]
