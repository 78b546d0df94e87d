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

#: Pause after each read of registrations, so that a release of many upstreams does not cost one
#: call for each of them.
_GATHER_S = 0.2

#: Maximum pause after a failed read, before jitter. An instance must act on all records of the
#: store within 3 s after it can reach it again: up to 0.3 s for an attempt that hangs, 0.3 s for
#: this pause with jitter, and 2.2 s of grace for registrations that expired in an outage.
_BACKOFF_MOST_S = 0.2


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
        """Return the seconds for which the registrations were read without a gap, up to now."""
        return self.directory.followed_s(self._clock.monotonic_s())

    async def answered(self) -> None:
        """Note that the store answered; after a gap, determine whether it was up during it."""
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
        """Seconds between two reads, in which changes of many upstreams accumulate."""
        return _GATHER_S

    @property
    def wait_s(self) -> float:
        """Seconds for which the store holds a read until there is a record."""
        return self._wait_s

    def list(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply the newest record of each key."""
        now_s = self._clock.monotonic_s()
        before = dict(self.directory.known)
        decoded = [u for u in map(self._decoded, records) if u is not None]
        for upstream_id, kept_s in self.directory.replace_all(decoded, now_s).items():
            self._tell_end(upstream_id, kept_s, None)
        self._forget_gone(before)
        addresses = {i: u.address for i, u in self.directory.known.items()}
        emit(Event.UPSTREAMS_LISTED, upstreams=addresses)

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply later records, in order."""
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
        """Log the end of a registration, and whether its upstream is still used for a grace."""
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
        """Drop upstreams when their grace ends.

        The next read, which the store holds, may come up to 1.2 s later, and until then requests
        would go to a deregistered upstream.
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
        """Call `on_removed` for upstreams that were deregistered or have restarted since."""
        for upstream_id, upstream in before.items():
            now = self.directory.known.get(upstream_id)
            if now is None or now.key != upstream.key:
                self._gone(upstream)

    def offer(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply registrations from a peer, unless the store was listed; a listing replaces them."""
        if self.is_listed:
            return
        for upstream in map(self._decoded, records):
            if upstream is not None:
                self.directory.offer(upstream)

    def raw_records(self) -> tuple[KeyedRecord, ...]:
        """Return the current registrations as the upstreams wrote them."""
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
