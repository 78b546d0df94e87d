"""Follows the upstreams' registrations in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ..core.upstreams import RegisteredUpstream, UpstreamDirectory
from ..events import Event, emit
from .feeds import KeyedFeed
from .store import KeyedRecord, Store, Stream, StreamPage

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..log.health import PlatformHealth
    from .store_witness import StoreWitness

#: Pause after each read of registrations, so that a release of many upstreams does not cost one
#: call for each of them.
_BATCH_PAUSE_S = 0.2

#: Maximum pause after a failed read, before jitter. An instance must act on all records of the
#: store within 3 s after it can reach it again: up to 0.3 s for an attempt that hangs, 0.3 s for
#: this pause with jitter, and 2.2 s of grace for registrations that expired in an outage.
_BACKOFF_MAX_S = 0.2


class UpstreamFeed(KeyedFeed):
    """Feed of the upstreams' registrations.

    Parameters
    ----------
    wait_s
        Time for which the store holds a read until there is a record. Well below
        `upstreams.OUTAGE_AFTER_S`: a longer time without an answer counts as a store outage.
    decode
        Turns an id and a record's value into a registration, or raises `ValueError`.
    on_removed
        Called with each upstream that was deregistered or has restarted.
    witness
        Determines whether the store was up while this instance could not reach it.
    on_cold
        Called with each upstream whose registration says that it is cold, or no longer is.
    on_gap
        Called when registrations may have been passed over, at the start and later.
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
        on_cold: Callable[[RegisteredUpstream], None] = lambda _: None,
        on_gap: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__(store, stream, clock, health)
        self.directory = UpstreamDirectory()
        self._raw: dict[str, bytes] = {}
        self._skipped: dict[str, int] = {}
        self._decode = decode
        self._on_removed = on_removed
        self._wait_s = wait_s
        self._witness = witness
        self._on_cold = on_cold
        self._on_gap = on_gap
        self._grace_event = anyio.Event()

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._expire_after_grace)
            await super().run()

    def gapless_read_s(self) -> float:
        """Return the seconds for which the registrations were read without a gap, up to now."""
        return self.directory.gapless_read_s(self._clock.monotonic_s())

    async def note_read(self) -> None:
        """Note that the store answered; after a gap, determine whether it was up during it."""
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
        """Seconds between two reads, in which changes of many upstreams accumulate."""
        return _BATCH_PAUSE_S

    @property
    def wait_s(self) -> float:
        """Seconds for which the store holds a read until there is a record."""
        return self._wait_s

    def apply_listing(self, listing: StreamPage) -> None:
        """Apply the newest record of each key."""
        now_s = self._clock.monotonic_s()
        before = dict(self.directory.upstreams)
        decoded = [u for u in map(self._decode_record, listing.records) if u is not None]
        for upstream_id, retained_s in self.directory.replace_all(decoded, now_s).items():
            self._log_end(upstream_id, retained_s, None)
        self._notify_removed(before)
        self._on_gap()
        known = self.directory.upstreams
        emit(
            Event.UPSTREAMS_LISTED,
            upstreams={i: u.address for i, u in known.items()},
            versions={i: u.version for i, u in known.items()},
        )

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply later records, in order."""
        now_s = self._clock.monotonic_s()
        before = dict(self.directory.upstreams)
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
                    version=upstream.version,
                    address=upstream.address,
                    draining=upstream.is_draining,
                    offset=record.offset,
                )
        self._notify_removed(before)

    def _log_end(self, upstream_id: str, retained_s: float, offset: int | None) -> None:
        """Log the end of a registration, and how long its upstream is still used, if at all."""
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
        """Drop upstreams when their grace period ends.

        The next read, which the store holds, may come up to 1.2 s later, and until then requests
        would go to a deregistered upstream.
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
        """Call `on_removed` for upstreams that were deregistered or have restarted since."""
        for upstream_id, upstream in before.items():
            current = self.directory.upstreams.get(upstream_id)
            if current is None or current.key != upstream.key:
                self._on_removed(upstream)

    def apply_second_hand(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply registrations from a peer, unless the store was listed; a listing replaces them."""
        if self.is_listed:
            return
        for upstream in map(self._decode_record, records):
            if upstream is not None:
                self.directory.apply_second_hand(upstream)

    def raw_records(self) -> tuple[KeyedRecord, ...]:
        """Return the current registrations as the upstreams wrote them."""
        known = self.directory.upstreams
        return tuple(KeyedRecord(i, self._raw[i]) for i in known if i in self._raw)

    def _decode_record(self, record: KeyedRecord) -> RegisteredUpstream | None:
        if record.value is None:
            return None
        try:
            upstream = self._decode(record.key, record.value)
        except Exception as error:
            # Whatever another writer left, the others are read.
            if self._skipped.get(record.key) != record.offset:
                self._skipped[record.key] = record.offset
                emit(Event.RECORD_SKIPPED, key=record.key, offset=record.offset, error=str(error))
            self.directory.discard(record.key)
            self._raw.pop(record.key, None)
            return None
        self._raw[record.key] = record.value
        self._on_cold(upstream)
        return upstream
