"""Origins of streams in the store, where they outlive the death of all instances.

They are written in batches whose number a second is bounded at any size of the fleet, and sooner if
streams may have several origins.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from google.protobuf.message import DecodeError

from ..core.backoff import Backoff
from ..core.stream_origins import OriginRecord, StreamKey, StreamOrigin
from ..events import Event, emit
from ..peers import lending_pb2 as pb
from .batch_timer import BatchTimer
from .store import KeyedRecord, StoreError, StoreTrimmedError, Stream

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..clock import Clock
    from ..core.fleet import FleetView
    from .metrics import GatewayMetrics
    from .store import Store

#: The fleet's own topic for origins; records have the name of their writer as key.
ORIGINS_STREAM = Stream("mothstand-origins")

#: Least time between two batches, and the same if there are urgent origins.
_INTERVAL_S = 1.0
_URGENT_INTERVAL_S = 0.25

#: Maximum appends a second by the whole fleet, below what one partition can take.
_MAX_APPENDS_PER_S = 200

_MAX_BATCH_RECORDS = 2_000
_MAX_WAITING_RECORDS = 5_000

_BACKOFF_FIRST_S = 0.1
_BACKOFF_MAX_S = 0.5

#: Maximum reads of the stream at once, of up to a megabyte each.
_MAX_PAGES = 16


class OriginLog:
    """Writes this instance's origins to the store, and reads those of all instances."""

    def __init__(
        self, store: Store, fleet: FleetView, clock: Clock, metrics: GatewayMetrics
    ) -> None:
        self._store = store
        self._fleet = fleet
        self._clock = clock
        self._metrics = metrics
        self._waiting: dict[StreamKey, OriginRecord] = {}
        self._timer = BatchTimer(clock)
        self._read_to = 0

    def hurry(self) -> None:
        """Write what waits as if it were urgent."""
        self._timer.note_work(is_urgent=True)

    def enqueue(self, record: OriginRecord, *, is_urgent: bool) -> None:
        """Write a record with the next batch, which is near if it is urgent."""
        self._waiting[record.key] = record
        if len(self._waiting) > _MAX_WAITING_RECORDS:
            self._drop([next(iter(self._waiting))], "too many wait")
        self._timer.note_work(is_urgent=is_urgent)

    async def run(self) -> None:
        """Write batches until cancelled."""
        backoff = Backoff(_BACKOFF_FIRST_S, _BACKOFF_MAX_S)
        while True:
            least_s = self._fleet.size / _MAX_APPENDS_PER_S
            await self._timer.wait(max(_INTERVAL_S, least_s), max(_URGENT_INTERVAL_S, least_s))
            while self._waiting:
                try:
                    await self._append()
                    backoff.reset()
                except StoreError:
                    # The feeds log that the store does not answer.
                    self._metrics.counts["origin_appends_failed"] += 1
                    await self._clock.sleep(backoff.next_jittered_s())

    async def _append(self) -> None:
        batch = list(self._waiting.values())[:_MAX_BATCH_RECORDS]
        value = encode_origins(batch)
        name = self._fleet.local_member.peer.instance
        await self._store.append(ORIGINS_STREAM, (KeyedRecord(name, value),))
        self._metrics.counts["origin_records_stored"] += len(batch)
        for record in batch:
            if self._waiting.get(record.key) is record:
                del self._waiting[record.key]

    def _drop(self, keys: list[StreamKey], error: str) -> None:
        for key in keys:
            del self._waiting[key]
        self._metrics.counts["origin_records_dropped"] += len(keys)
        emit(Event.ORIGINS_DROPPED, peer="store", records=len(keys), error=error)

    async def read(self) -> list[OriginRecord]:
        """Return the origins that the store still has and that were not read before, in order.

        Raises
        ------
        StoreError
            If the store could not be read.
        """
        records: list[OriginRecord] = []
        for _ in range(_MAX_PAGES):
            try:
                page = await self._store.read(ORIGINS_STREAM, self._read_to)
            except StoreTrimmedError as error:
                if error.first_offset is None or error.first_offset <= self._read_to:
                    raise
                self._read_to = error.first_offset
                continue
            for stored in page.records:
                records += _decode(stored)
            self._read_to = page.next_offset
            if not page.records or self._read_to >= page.end_offset:
                break
        return records


def encode_origins(records: Iterable[OriginRecord]) -> bytes:
    """Return origins as the value of one record."""
    keys: defaultdict[StreamOrigin, list[StreamKey]] = defaultdict(list)
    for record in records:
        keys[record.origin].append(record.key)
    message = pb.StoredOrigins(
        streams=[
            pb.StreamsOfOrigin(
                origin=pb.StreamOrigin(service=origin.service, version=origin.version), keys=found
            )
            for origin, found in keys.items()
        ]
    )
    return bytes(message.SerializeToString())


def _decode(stored: KeyedRecord) -> list[OriginRecord]:
    try:
        message = pb.StoredOrigins.FromString(stored.value or b"")
    except DecodeError as error:
        emit(Event.RECORD_SKIPPED, key=stored.key, offset=stored.offset, error=str(error))
        return []
    return [
        OriginRecord(StreamKey(key), StreamOrigin(s.origin.service, s.origin.version))
        for s in message.streams
        for key in s.keys
    ]
