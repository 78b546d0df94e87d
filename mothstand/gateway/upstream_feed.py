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
    from ..log.health import LogHealth
    from .store_witness import StoreWitness

#: Pause after each read of registrations, lest a release of many upstreams cost a call for each.
_GATHER_S = 0.2

#: Longest pause after a failed read, before jitter. Three seconds after its way to the store is
#: back an instance must act on all that the store has said. Of these a try that hung takes 0.3,
#: this pause with its jitter 0.3, and 2.2 are the grace for what lapsed in an outage.
_BACKOFF_MOST_S = 0.2


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

    backoff_most_s = _BACKOFF_MOST_S

    def __init__(
        self,
        store: Store,
        stream: Stream,
        clock: Clock,
        health: LogHealth,
        decode: Callable[[str, bytes], RegisteredUpstream],
        gone: Callable[[RegisteredUpstream], None],
        wait_s: float,
        witness: StoreWitness,
    ) -> None:
        super().__init__(store, stream, clock, health)
        self.directory = UpstreamDirectory()
        self._raw: dict[str, bytes] = {}
        self._skipped: dict[str, int] = {}
        self._decode = decode
        self._gone = gone
        self._wait_s = wait_s
        self._witness = witness
        self._lapsed = anyio.Event()

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._expire_in_time)
            await super().run()

    def followed_s(self) -> float:
        """Return for how long the registrations have been read without a gap, up to now."""
        return self.directory.followed_s(self._clock.monotonic_s())

    async def answered(self) -> None:
        """Note that the store answered; after a gap, find out whether it was up meanwhile."""
        now_s = self._clock.monotonic_s()
        gap_s = self.directory.gap_s(now_s)
        store_was_up = gap_s > 0 and await self._witness.followed(gap_s)
        self.directory.read(now_s, store_was_up=store_was_up)
        if gap_s:
            emit(
                Event.REGISTRATIONS_REGAINED,
                gap_s=round(gap_s, 3),
                store_was_up=store_was_up,
            )

    @property
    def pause_s(self) -> float:
        """Seconds between two reads, in which the changes of many upstreams gather."""
        return _GATHER_S

    @property
    def wait_s(self) -> float:
        """Seconds that a read waits at the store for a record."""
        return self._wait_s

    def list(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take the newest record of each key."""
        now_s = self._clock.monotonic_s()
        before = dict(self.directory.known)
        decoded = [u for u in map(self._decoded, records) if u is not None]
        for upstream_id, kept_s in self.directory.replace_all(decoded, now_s).items():
            self._tell_end(upstream_id, kept_s, None)
        self._forget_gone(before)
        addresses = {i: u.address for i, u in self.directory.known.items()}
        emit(Event.UPSTREAMS_LISTED, upstreams=addresses)

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take later records, in order."""
        now_s = self._clock.monotonic_s()
        before = dict(self.directory.known)
        for record in records:
            if record.value is None:
                self._raw.pop(record.key, None)
                kept_s = self.directory.remove(record.key, now_s)
                self._tell_end(record.key, kept_s, record.offset)
                continue
            upstream = self._decoded(record)
            if upstream is not None and self.directory.put(upstream):
                emit(
                    Event.UPSTREAM_REGISTERED,
                    upstream=upstream.upstream_id,
                    born_ms=upstream.born_ms,
                    service=upstream.service,
                    address=upstream.address,
                    draining=upstream.draining,
                    offset=record.offset,
                )
        self._forget_gone(before)

    def _tell_end(self, upstream_id: str, kept_s: float, offset: int | None) -> None:
        """Tell of a registration's end, and whether requests still go to its upstream."""
        if kept_s > 0:
            self._lapsed.set()
            emit(
                Event.UPSTREAM_LAPSED,
                upstream=upstream_id,
                offset=offset,
                kept_s=round(kept_s, 3),
            )
        else:
            emit(Event.UPSTREAM_LEFT, upstream=upstream_id, offset=offset)

    async def _expire_in_time(self) -> None:
        """Drop upstreams at the very end of their grace.

        Left to the next read, which waits for news, requests would go to one that has left for up
        to 1.2 s more.
        """
        while True:
            await self._lapsed.wait()
            self._lapsed = anyio.Event()
            while (expiry_s := self.directory.next_expiry_s) is not None:
                await self._clock.sleep(max(0.0, expiry_s - self._clock.monotonic_s()))
                before = dict(self.directory.known)
                for upstream_id in self.directory.expire(self._clock.monotonic_s()):
                    emit(Event.UPSTREAM_LEFT, upstream=upstream_id, after="grace")
                self._forget_gone(before)

    def _forget_gone(self, before: dict[str, RegisteredUpstream]) -> None:
        """Tell of the upstreams that were known before, and are gone or started again since."""
        for upstream_id, upstream in before.items():
            now = self.directory.known.get(upstream_id)
            if now is None or now.key != upstream.key:
                self._gone(upstream)

    def offer(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take registrations that a peer knows, until the store's own word replaces them."""
        if self.is_listed:
            return
        for upstream in map(self._decoded, records):
            if upstream is not None:
                self.directory.offer(upstream)

    def raw_records(self) -> tuple[KeyedRecord, ...]:
        """Return the registrations that are in force, as the upstreams wrote them."""
        known = self.directory.known
        return tuple(KeyedRecord(i, self._raw[i]) for i in known if i in self._raw)

    def _decoded(self, record: KeyedRecord) -> RegisteredUpstream | None:
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
