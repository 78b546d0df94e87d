"""Follows keyed streams of the store, among them the operators' configuration."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from ..core.backoff import Backoff
from ..events import Event, emit, rounded
from .store import KeyedRecord, Store, StoreError, StoreTrimmedError, Stream, StreamPage

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..core.config_freshness import ConfigFreshness
    from ..core.routes import GatewayConfig
    from ..log.health import PlatformHealth
    from .evacuations import EvacuationTracker
    from .metrics import GatewayMetrics

#: Maximum wait of a read for a new configuration. The store answers at once when there is one; a
#: shorter wait would only detect an unresponsive connection sooner.
CONFIG_WAIT_S = 1.5

#: A stream that cannot be read for this time is logged as behind.
BEHIND_AFTER_S = 2.0

#: Versions of the configuration that may wait before the newest one is listed.
_MAX_WAITING_VERSIONS = 1

_BACKOFF_FIRST_S = 0.1
_BACKOFF_MAX_S = 0.5


class KeyedFeed(ABC):
    """Follows one keyed stream: first a listing, then the records after it.

    Attributes
    ----------
    is_listed
        Whether the stream was listed from the store. After that, records from peers are ignored:
        they may be older, and keys that were deleted since would never be deleted here.
    """

    #: Whether a failed read is followed by a listing instead of reading the missed records.
    relist_after_failure = False

    #: Maximum pause after a failed read, before jitter.
    backoff_max_s = _BACKOFF_MAX_S

    def __init__(self, store: Store, stream: Stream, clock: Clock, health: PlatformHealth) -> None:
        self._store = store
        self._stream = stream
        self._clock = clock
        self._health = health
        self.is_listed = False
        self._next_offset: int | None = None
        self._failing_since_s: float | None = None
        self._is_behind_logged = False
        self._asked_wait_s = 0.0

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        backoff = Backoff(_BACKOFF_FIRST_S, self.backoff_max_s)
        while True:
            try:
                await self.poll()
                backoff.reset()
                self._note_caught_up()
                await self._clock.sleep(self.pause_s)
            except StoreTrimmedError:
                self._next_offset = None
            except StoreError as error:
                self._health.note_failure(error)
                self._note_failure(error)
                self.note_read_failed()
                if self.relist_after_failure:
                    self._next_offset = None
                await self._clock.sleep(backoff.next_jittered_s())

    @property
    def next_offset(self) -> int | None:
        """Offset up to which the stream is applied; None before a listing."""
        return self._next_offset

    def failing_s(self) -> float:
        """Return for how many seconds reads have failed; 0 after a successful one."""
        if self._failing_since_s is None:
            return 0.0
        return self._clock.monotonic_s() - self._failing_since_s

    def _note_failure(self, error: StoreError) -> None:
        """Log once that this stream is behind, also while other streams can be read."""
        now_s = self._clock.monotonic_s()
        if self._failing_since_s is None:
            self._failing_since_s = now_s
        if now_s - self._failing_since_s >= BEHIND_AFTER_S and not self._is_behind_logged:
            self._is_behind_logged = True
            emit(Event.STREAM_BEHIND, stream=self._stream.topic, error=str(error))

    def _note_caught_up(self) -> None:
        if self._is_behind_logged and self._failing_since_s is not None:
            behind_s = round(self._clock.monotonic_s() - self._failing_since_s, 3)
            emit(Event.STREAM_CAUGHT_UP, stream=self._stream.topic, behind_s=behind_s)
        self._failing_since_s = None
        self._is_behind_logged = False

    async def poll(self) -> None:
        """Read once."""
        if self._next_offset is None:
            page = await self._store.newest(self._stream)
            self._health.note_success()
            await self.note_read()
            self.apply_listing(page)
            self.is_listed = True
        else:
            page = await self._read(self._next_offset)
            self._health.note_success()
            await self.note_read()
            self.apply(page.records)
        self._next_offset = page.next_offset
        self.note_applied(page)

    async def _read(self, from_offset: int) -> StreamPage:
        # No wait after a failure, so that the store's return is noticed at once.
        self._asked_wait_s = 0.0 if self._health.is_failing else self.wait_s
        return await self._store.read(self._stream, from_offset, wait_s=self._asked_wait_s)

    async def note_read(self) -> None:  # noqa: B027 - most feeds have nothing to note
        """Note that the store answered; called before the records are applied."""

    def note_read_failed(self) -> None:  # noqa: B027 - as above
        """Note that the store did not answer, or not completely."""

    def note_applied(self, page: StreamPage) -> None:  # noqa: B027 - as above
        """Note that a page has been applied."""

    @property
    @abstractmethod
    def pause_s(self) -> float:
        """Seconds between two reads."""

    @property
    @abstractmethod
    def wait_s(self) -> float:
        """Seconds for which the store holds a read until there is a record."""

    @abstractmethod
    def apply_listing(self, listing: StreamPage) -> None:
        """Apply the newest record of each key."""

    @abstractmethod
    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply later records, in order."""


def _has_gap(listing: StreamPage, from_offset: int) -> bool:
    """Return whether a listing lacks records from an offset on: each key's earlier ones."""
    listed = sum(record.offset >= from_offset for record in listing.records)
    return listed < listing.next_offset - from_offset


class ConfigFeed(KeyedFeed):
    """Feed of the operators' configuration: the newest valid version, never an older one.

    Parameters
    ----------
    decode
        Turns a record's value into a configuration, or raises `ValueError`.
    on_config
        Called with each version that takes effect.
    evacuations
        Receives the evacuations that the same stream contains.
    freshness
        Notified when the configuration in force is the newest, and when a newer one exists.
    metrics
        Receives the bytes and the duration of the reads.
    on_gap
        Called when versions may have been passed over, at the start and later.

    Notes
    -----
    Only the newest version matters, and each is as large as the whole configuration. A read
    returns one version, so that a page of several does not delay the newest one. A reader that is
    two or more versions behind, or whose read failed, lists the newest record of each key instead
    of reading those in between.
    """

    relist_after_failure = True

    def __init__(
        self,
        store: Store,
        stream: Stream,
        key: str,
        clock: Clock,
        health: PlatformHealth,
        decode: Callable[[bytes], GatewayConfig],
        on_config: Callable[[GatewayConfig], None],
        evacuations: EvacuationTracker,
        freshness: ConfigFreshness,
        metrics: GatewayMetrics,
        on_gap: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__(store, stream, clock, health)
        self._evacuations = evacuations
        self._on_gap = on_gap
        self._applied_to: int | None = None
        self.is_first_config = False
        self.freshness = freshness
        self._metrics = metrics
        self._read_began_s = 0.0
        self._read_ended_s = 0.0
        self._has_news = False
        self._is_outdated_logged = False
        self._waiting_versions = 0
        self.config: GatewayConfig | None = None
        self.raw = b""
        self._key = key
        self._decode = decode
        self._on_config = on_config

    @property
    def pause_s(self) -> float:
        """Seconds between two reads: zero, the store holds the read until there is a record."""
        return 0.0

    @property
    def wait_s(self) -> float:
        """Seconds for which the store holds a read until there is a record."""
        return CONFIG_WAIT_S

    async def poll(self) -> None:
        """Read once."""
        self._read_began_s = self._clock.monotonic_s()
        await super().poll()
        if self._waiting_versions > _MAX_WAITING_VERSIONS:
            self._next_offset = None

    async def note_read(self) -> None:
        """Note when the read ended."""
        self._read_ended_s = self._clock.monotonic_s()

    async def _read(self, from_offset: int) -> StreamPage:
        # The read after a version does not wait, so that the version is confirmed as the newest.
        self._asked_wait_s = 0.0 if self._health.is_failing or self._has_news else self.wait_s
        return await self._store.read_first(
            self._stream, from_offset, wait_s=self._asked_wait_s, on_end=self._note_end
        )

    def _note_end(self, end_offset: int) -> None:
        if self._next_offset is not None and end_offset > self._next_offset:
            self.freshness.note_end(end_offset, self._clock.monotonic_s())

    def note_read_failed(self) -> None:
        """Note that no newer version is being read."""
        self.freshness.note_read_failed()

    def note_applied(self, page: StreamPage) -> None:
        """Note up to which record the stream is applied, and when that was all of it."""
        self._applied_to = page.next_offset
        now_s = self._clock.monotonic_s()
        size_bytes = sum(len(record.value or b"") for record in page.records)
        self._metrics.record_config_read(self._read_ended_s - self._read_began_s, size_bytes)
        if page.records:
            emit(
                Event.CONFIG_READ,
                records=len(page.records),
                next_offset=page.next_offset,
                waiting=page.waiting_records,
                bytes=size_bytes,
                read_s=round(self._read_ended_s - self._read_began_s, 3),
                apply_s=round(now_s - self._read_ended_s, 3),
                unconfirmed_s=rounded(self.freshness.age_s(self._read_ended_s)),
            )
        self._has_news = bool(page.records)
        self._waiting_versions = page.waiting_records
        if page.waiting_records:
            self.freshness.note_end(page.end_offset, now_s)
        self.freshness.note_applied(page.next_offset, self._answered_s(page, now_s))

    def log_outdated(self) -> None:
        """Log when the configuration in force becomes too old, and when it no longer is."""
        now_s = self._clock.monotonic_s()
        if self.freshness.is_outdated(now_s) == self._is_outdated_logged:
            return
        self._is_outdated_logged = not self._is_outdated_logged
        emit(
            Event.CONFIG_OUTDATED if self._is_outdated_logged else Event.CONFIG_CURRENT,
            version=None if self.config is None else self.config.version,
            outdated_s=round(self.freshness.outdated_s(now_s), 3),
        )

    def _answered_s(self, page: StreamPage, now_s: float) -> float:
        """Return the earliest time at which the store can have answered the latest read.

        The store answers an empty page only after the whole wait.
        """
        if page.records:
            return self._read_began_s
        return max(self._read_began_s, min(now_s, self._read_began_s + self._asked_wait_s))

    def apply_listing(self, listing: StreamPage) -> None:
        """Apply the newest record of each key."""
        self._evacuations.apply_listing(listing)
        has_gap = self._applied_to is None or _has_gap(listing, self._applied_to)
        if self._applied_to is None:
            offset = next((r.offset for r in listing.records if r.key == self._key), 0)
            earlier = sum(record.offset < offset for record in listing.records)
            self.is_first_config = earlier == offset
        elif has_gap:
            self.is_first_config = False
        self._apply_configs(listing.records)
        if has_gap:
            self._on_gap()

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply later records, in order."""
        self._evacuations.apply(records)
        self._apply_configs(records)

    def _apply_configs(self, records: tuple[KeyedRecord, ...]) -> None:
        for record in records:
            if record.key == self._key and record.value is not None:
                self.apply_record(record)

    def apply_record(self, record: KeyedRecord) -> None:
        """Apply a configuration if it is valid and newer than the current one."""
        raw = record.value or b""
        try:
            config = self._decode(raw)
        except Exception as error:
            # The last valid configuration stays in force.
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
        self._on_config(config)
