"""Follows keyed streams of the store; the operators' configuration is one of them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from ..core.backoff import Backoff
from ..events import Event, emit
from .store import KeyedRecord, Store, StoreError, StoreTrimmedError, Stream, StreamPage

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..core.routes import GatewayConfig
    from ..log.health import PlatformHealth

#: Longest wait of a read for a new configuration. The store answers at once when there is one; a
#: shorter wait only notices sooner that a connection went silent.
CONFIG_WAIT_S = 1.5

#: A stream that cannot be read for this long is told as behind.
BEHIND_AFTER_S = 2.0

_BACKOFF_FIRST_S = 0.1
_BACKOFF_MAX_S = 0.5


class KeyedFeed(ABC):
    """Keeps up with one keyed stream: a listing first, then what comes after it.

    Attributes
    ----------
    is_listed
        Whether the store itself has told what there is. From then on what peers know is not taken:
        it may be older, and what has ended since would never be ended here.
    """

    #: Whether a failed read is followed by a listing, and not by what was missed since.
    relist_after_failure = False

    #: Longest pause after a failed read, before jitter.
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
                if self.relist_after_failure:
                    self._next_offset = None
                await self._clock.sleep(backoff.next_jittered_s())

    def _note_failure(self, error: StoreError) -> None:
        """Say once that this stream is behind, also while others can be read."""
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
            self.apply_listing(page.records)
            self.is_listed = True
        else:
            page = await self._read(self._next_offset)
            self._health.note_success()
            await self.note_read()
            self.apply(page.records)
        self._next_offset = page.next_offset

    async def _read(self, from_offset: int) -> StreamPage:
        # After a failure without a wait, so that the store's return shows at once.
        wait_s = 0.0 if self._health.is_failing else self.wait_s
        return await self._store.read(self._stream, from_offset, wait_s=wait_s)

    async def note_read(self) -> None:  # noqa: B027 - most feeds have nothing to note
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
    def apply_listing(self, records: tuple[KeyedRecord, ...]) -> None:
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
    ) -> None:
        super().__init__(store, stream, clock, health)
        self.config: GatewayConfig | None = None
        self.raw = b""
        self._key = key
        self._decode = decode
        self._on_config = on_config

    @property
    def pause_s(self) -> float:
        """Seconds between two reads: none, the store holds the read until there is news."""
        return 0.0

    @property
    def wait_s(self) -> float:
        """Seconds that a read waits at the store for a record."""
        return CONFIG_WAIT_S

    def apply_listing(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take the newest record of each key."""
        self.apply(records)

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take later records, in order."""
        for record in records:
            if record.key == self._key and record.value is not None:
                self.apply_record(record)

    def apply_record(self, record: KeyedRecord) -> None:
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
        self._on_config(config)
