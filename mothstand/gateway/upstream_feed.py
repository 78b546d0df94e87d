"""Follows the upstreams' registrations in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ..core.upstreams import RegisteredUpstream, UpstreamDirectory
from ..events import Event, emit
from .feeds import KeyedFeed
from .store import KeyedRecord, Store, Stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..log.health import PlatformHealth
    from .store_witness import StoreWitness

#: Pause after each read of registrations, lest a release of many upstreams cost a call for each.
_BATCH_PAUSE_S = 0.2

#: Longest pause after a failed read, before jitter. Three seconds after its way to the store is
#: back an instance must act on all that the store has said. Of these a try that hung takes 0.3,
#: this pause with its jitter 0.3, and 2.2 are the grace for what lapsed in an outage.
_BACKOFF_MAX_S = 0.2


class UpstreamFeed(KeyedFeed):
    """The upstreams' registrations.

    Parameters
    ----------
    wait_s
        How long a read waits for news: well below `upstreams.OUTAGE_AFTER_S`, since a longer time
        without an answer counts as an outage of the store.
    decode
        Turns an id and a record's value into a registration, or raises `ValueError`.
    gone
        Called with each upstream that has gone, or has started again.
    witness
        Tells whether the store was up while it did not answer here.
    """

    backoff_max_s = _BACKOFF_MAX_S

    def __init__(
        self,
        store: Store,
        stream: Stream,
        clock: Clock,
        health: PlatformHealth,
        decode: Callable[[str, bytes], RegisteredUpstream],
        on_removed: Callable[[RegisteredUpstream], None],
        wait_s: float,
        witness: StoreWitness,
    ) -> None:
        super().__init__(store, stream, clock, health)
        self.directory = UpstreamDirectory()
        self._raw: dict[str, bytes] = {}
        self._skipped: dict[str, int] = {}
        self._decode = decode
        self._on_removed = on_removed
        self._wait_s = wait_s
        self._witness = witness
        self._grace_event = anyio.Event()

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._expire_after_grace)
            await super().run()

    def gapless_s(self) -> float:
        """Return for how long the registrations have been read without a gap, up to now."""
        return self.directory.gapless_s(self._clock.monotonic_s())

    async def note_read(self) -> None:
        """Note that the store answered; after a gap, find out whether it was up meanwhile."""
        now_s = self._clock.monotonic_s()
        gap_s = self.directory.gap_s(now_s)
        store_was_up = gap_s > 0 and await self._witness.has_read_without_gap(gap_s)
        self.directory.note_store_read(now_s, store_was_up=store_was_up)
        if gap_s:
            emit(
                Event.REGISTRATIONS_REGAINED,
                gap_s=round(gap_s, 3),
                store_was_up=store_was_up,
            )

    @property
    def pause_s(self) -> float:
        """Seconds between two reads, in which the changes of many upstreams gather."""
        return _BATCH_PAUSE_S

    @property
    def wait_s(self) -> float:
        """Seconds that a read waits at the store for a record."""
        return self._wait_s

    def apply_listing(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take the newest record of each key."""
        now_s = self._clock.monotonic_s()
        before = dict(self.directory.upstreams)
        decoded = [u for u in map(self._decode_record, records) if u is not None]
        for upstream_id, retained_s in self.directory.replace_all(decoded, now_s).items():
            self._log_end(upstream_id, retained_s, None)
        self._notify_removed(before)
        addresses = {i: u.address for i, u in self.directory.upstreams.items()}
        emit(Event.UPSTREAMS_LISTED, upstreams=addresses)

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take later records, in order."""
        now_s = self._clock.monotonic_s()
        size_before = dict(self.directory.upstreams)
        for record in records:
            if record.value is None:
                self._raw.pop(record.key, None)
                retained_s = self.directory.remove(record.key, now_s)
                self._log_end(record.key, retained_s, record.offset)
                continue
            upstream = self._decode_record(record)
            if upstream is not None and self.directory.apply(upstream):
                emit(
                    Event.UPSTREAM_REGISTERED,
                    upstream=upstream.upstream_id,
                    born_ms=upstream.born_ms,
                    service=upstream.service,
                    address=upstream.address,
                    draining=upstream.is_draining,
                    offset=record.offset,
                )
        self._notify_removed(size_before)

    def _log_end(self, upstream_id: str, retained_s: float, offset: int | None) -> None:
        """Tell of a registration's end, and whether requests still go to its upstream."""
        if retained_s > 0:
            self._grace_event.set()
            emit(
                Event.UPSTREAM_LAPSED,
                upstream=upstream_id,
                offset=offset,
                kept_s=round(retained_s, 3),
            )
        else:
            emit(Event.UPSTREAM_LEFT, upstream=upstream_id, offset=offset)

    async def _expire_after_grace(self) -> None:
        """Drop upstreams at the very end of their grace.

        Left to the next read, which waits for news, requests would go to one that has left for up
        to 1.2 s more.
        """
        while True:
            await self._grace_event.wait()
            self._grace_event = anyio.Event()
            while (expiry_s := self.directory.next_expiry_s) is not None:
                await self._clock.sleep(max(0.0, expiry_s - self._clock.monotonic_s()))
                before = dict(self.directory.upstreams)
                for upstream_id in self.directory.expire(self._clock.monotonic_s()):
                    emit(Event.UPSTREAM_LEFT, upstream=upstream_id, after="grace")
                self._notify_removed(before)

    def _notify_removed(self, before: dict[str, RegisteredUpstream]) -> None:
        """Tell of the upstreams that were known before, and are gone or started again since."""
        for upstream_id, upstream in before.items():
            current = self.directory.upstreams.get(upstream_id)
            if current is None or current.key != upstream.key:
                self._on_removed(upstream)

    def apply_second_hand(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take registrations that a peer knows, until the store's own word replaces them."""
        if self.is_listed:
            return
        for upstream in map(self._decode_record, records):
            if upstream is not None:
                self.directory.apply_second_hand(upstream)

    def raw_records(self) -> tuple[KeyedRecord, ...]:
        """Return the registrations that are in force, as the upstreams wrote them."""
        known = self.directory.upstreams
        return tuple(KeyedRecord(i, self._raw[i]) for i in known if i in self._raw)

    def _decode_record(self, record: KeyedRecord) -> RegisteredUpstream | None:
        if record.value is None:
            return None
        try:
            upstream = self._decode(record.key, record.value)
        except ValueError as error:
            if self._skipped.get(record.key) != record.offset:
                self._skipped[record.key] = record.offset
                emit(Event.RECORD_SKIPPED, key=record.key, offset=record.offset, error=str(error))
            self.directory.discard(record.key)
            self._raw.pop(record.key, None)
            return None
        self._raw[record.key] = record.value
        return upstream
