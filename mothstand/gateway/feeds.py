"""Follows the operators' configuration and the upstreams' registrations in the store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import anyio

from ..core.backoff import Backoff
from ..core.upstreams import RegisteredUpstream, UpstreamDirectory
from ..events import Event, emit
from .store import KeyedRecord, Store, StoreError, StoreTrimmedError, Stream, StreamPage

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..core.routes import GatewayConfig
    from ..log.health import LogHealth
    from .store_witness import StoreWitness

#: Longest wait of a read for a new configuration. The store answers at once when there is one; a
#: shorter wait only notices sooner that a connection went silent.
CONFIG_WAIT_S = 1.5

#: Pause after each read of registrations, lest a release of many upstreams cost a call for each.
_GATHER_S = 0.2

#: A stream that cannot be read for this long is told as behind.
BEHIND_AFTER_S = 2.0

_BACKOFF_FIRST_S = 0.1
_BACKOFF_MOST_S = 0.5

#: The same for registrations. Three seconds after its way to the store is back an instance must act
#: on all that the store has said. Of these a try that hung takes 0.3, this pause with its jitter
#: 0.3, and 2.2 are the grace for registrations that lapsed in an outage.
_REGISTRATIONS_BACKOFF_MOST_S = 0.2


class KeyedFeed(ABC):
    """Keeps up with one keyed stream: a listing first, then what comes after it.

    Attributes
    ----------
    is_listed
        Whether the store itself has told what there is. From then on what peers know is not taken:
        it may be older, and what has ended since would never be ended here.
    """

    #: Whether a failed read is followed by a listing, and not by what was missed since.
    lists_after_failure = False

    #: Longest pause after a failed read, before jitter.
    backoff_most_s = _BACKOFF_MOST_S

    def __init__(self, store: Store, stream: Stream, clock: Clock, health: LogHealth) -> None:
        self._store = store
        self._stream = stream
        self._clock = clock
        self._health = health
        self.is_listed = False
        self._next_offset: int | None = None
        self._failing_since_s: float | None = None
        self._told_behind = False

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        backoff = Backoff(_BACKOFF_FIRST_S, self.backoff_most_s)
        while True:
            try:
                await self.look()
                backoff.reset()
                self._caught_up()
                await self._clock.sleep(self.pause_s)
            except StoreTrimmedError:
                self._next_offset = None
            except StoreError as error:
                self._health.failed(error)
                self._failed(error)
                if self.lists_after_failure:
                    self._next_offset = None
                await self._clock.sleep(backoff.jittered_s())

    def _failed(self, error: StoreError) -> None:
        """Say once that this stream is behind, also while others can be read."""
        now_s = self._clock.monotonic_s()
        if self._failing_since_s is None:
            self._failing_since_s = now_s
        if now_s - self._failing_since_s >= BEHIND_AFTER_S and not self._told_behind:
            self._told_behind = True
            emit(Event.STREAM_BEHIND, stream=self._stream.topic, error=str(error))

    def _caught_up(self) -> None:
        if self._told_behind and self._failing_since_s is not None:
            behind_s = round(self._clock.monotonic_s() - self._failing_since_s, 3)
            emit(Event.STREAM_CAUGHT_UP, stream=self._stream.topic, behind_s=behind_s)
        self._failing_since_s = None
        self._told_behind = False

    async def look(self) -> None:
        """Read once."""
        if self._next_offset is None:
            page = await self._store.newest(self._stream)
            self._health.answered()
            await self.answered()
            self.list(page.records)
            self.is_listed = True
        else:
            page = await self._read(self._next_offset)
            self._health.answered()
            await self.answered()
            self.apply(page.records)
        self._next_offset = page.next_offset

    async def _read(self, from_offset: int) -> StreamPage:
        # After a failure without a wait, so that the store's return shows at once.
        wait_s = 0.0 if self._health.is_failing else self.wait_s
        return await self._store.read(self._stream, from_offset, wait_s=wait_s)

    async def answered(self) -> None:  # noqa: B027 - most feeds have nothing to note
        """Note that the store answered, before what it said is taken."""

    @property
    @abstractmethod
    def pause_s(self) -> float:
        """Seconds between two reads."""

    @property
    @abstractmethod
    def wait_s(self) -> float:
        """Seconds that a read waits at the store for a record."""

    @abstractmethod
    def list(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take the newest record of each key."""

    @abstractmethod
    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take later records, in order."""


class ConfigFeed(KeyedFeed):
    """The operators' configuration: the newest valid version, which never goes back.

    Parameters
    ----------
    decode
        Turns a record's value into a configuration, or raises `ValueError`.
    in_force
        Called with each version that is put in force.

    Notes
    -----
    After a failed read only the newest version is fetched. Thirty versions of 60 kB, as they
    gather in an outage, take a link of 5 Mbit/s three seconds, one a tenth of a second.
    """

    lists_after_failure = True

    def __init__(
        self,
        store: Store,
        stream: Stream,
        key: str,
        clock: Clock,
        health: LogHealth,
        decode: Callable[[bytes], GatewayConfig],
        in_force: Callable[[GatewayConfig], None],
    ) -> None:
        super().__init__(store, stream, clock, health)
        self.config: GatewayConfig | None = None
        self.raw = b""
        self._key = key
        self._decode = decode
        self._in_force = in_force

    @property
    def pause_s(self) -> float:
        """Seconds between two reads: none, the store holds the read until there is news."""
        return 0.0

    @property
    def wait_s(self) -> float:
        """Seconds that a read waits at the store for a record."""
        return CONFIG_WAIT_S

    def list(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take the newest record of each key."""
        self.apply(records)

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take later records, in order."""
        for record in records:
            if record.key == self._key and record.value is not None:
                self.offer(record)

    def offer(self, record: KeyedRecord) -> None:
        """Put a configuration in force if it is valid and later than the one that is."""
        raw = record.value or b""
        try:
            config = self._decode(raw)
        except ValueError as error:
            # The last good one stays in force.
            emit(Event.RECORD_SKIPPED, key=record.key, offset=record.offset, error=str(error))
            return
        if self.config is not None and config.version <= self.config.version:
            return
        self.config = config
        self.raw = raw
        emit(
            Event.CONFIG_IN_FORCE,
            version=config.version,
            offset=record.offset,
            routes=len(config.routes),
            prepaid={w.name: w.prepaid_tokens for w in config.workspaces.values()},
        )
        self._in_force(config)


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

    backoff_most_s = _REGISTRATIONS_BACKOFF_MOST_S

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
        self._expire(now_s)
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
        self._expire(now_s)
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
                self._expire(self._clock.monotonic_s())
                self._forget_gone(before)

    def _expire(self, now_s: float) -> None:
        for upstream_id in self.directory.expire(now_s):
            emit(Event.UPSTREAM_LEFT, upstream=upstream_id, after="grace")

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
