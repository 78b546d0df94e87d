"""Which software versions and routes there were before an instance could read of them.

An instance that has just started sees the registrations and the configuration as they are. Streams
that callers take up again may have begun earlier, at versions and services that have left. So some
instances keep a short record in the store: the versions of the retention time before an offset of
the registrations' stream. From that offset on, a starting instance reads the registrations
themselves. A record that is written late, twice, or by two instances at once is still true.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import anyio
from pydantic import BaseModel, ValidationError

from ..core.backoff import Backoff
from ..events import Event, emit
from .bounded import Count, Offset
from .store import KeyedRecord, StoreError, StoreTrimmedError, Stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..core.fleet import FleetView
    from ..core.upstreams import RegisteredUpstream
    from .feeds import ConfigFeed
    from .store import Store
    from .stream_origins import StreamOrigins
    from .upstream_feed import UpstreamFeed

#: The fleet's own topic for the record.
RELEASES_STREAM = Stream("keyed.mothstand-releases")
_RECORD_KEY = "history"

#: Instances that write the record, whatever the size of the fleet.
_WRITERS = 2

#: Time between two records of one writer, well below the time for which the store keeps the
#: registrations' history, and time between two looks whether there are changes to write.
_WRITE_INTERVAL_S = 2.0
_LOOK_INTERVAL_S = 0.25

#: Pause after a record that could not be written.
_RETRY_INTERVAL_S = 1.0

_BACKOFF_FIRST_S = 0.05
_BACKOFF_MAX_S = 0.5


class _RecordValue(BaseModel):
    """Value of the record.

    Parameters
    ----------
    registrations_to
        Offset of the registrations' stream before which `versions` tells what there was.
    versions
        Software versions of each service within the retention time before that offset.
    settled_config
        Version of the configuration in force if no route has moved within the retention time, or 0.
    """

    registrations_to: Count
    versions: dict[str, tuple[str, ...]]
    settled_config: Offset


#: What is known of the time before the first record: nothing, so all registrations are read.
_NO_RECORD = _RecordValue(registrations_to=0, versions={}, settled_config=0)


class StreamPositions(ABC):
    """How far this instance has read the registrations and the configuration."""

    @property
    @abstractmethod
    def registrations_to(self) -> int | None:
        """Offset up to which registrations are applied; None before the first listing."""

    @property
    @abstractmethod
    def config_version(self) -> int | None:
        """Version of the configuration in force; None before the first listing."""

    @property
    @abstractmethod
    def is_first_config(self) -> bool:
        """Whether no configuration was published before the first one that was read."""


class FeedPositions(StreamPositions):
    """Positions of the feeds."""

    def __init__(self, registrations: UpstreamFeed, config: ConfigFeed) -> None:
        self._registrations = registrations
        self._config = config

    @property
    def registrations_to(self) -> int | None:
        """Offset up to which registrations are applied; None before the first listing."""
        return self._registrations.next_offset

    @property
    def config_version(self) -> int | None:
        """Version of the configuration in force; None before the first listing."""
        if self._config.config is None or not self._config.is_listed:
            return None
        return self._config.config.version

    @property
    def is_first_config(self) -> bool:
        """Whether no configuration was published before the first one that was read."""
        return self._config.is_first_config


class ReleaseHistory:
    """Reads at a start, and after a gap, what there was before; writes the record for others."""

    def __init__(
        self,
        store: Store,
        registrations_stream: Stream,
        decode: Callable[[str, bytes], RegisteredUpstream],
        positions: StreamPositions,
        origins: StreamOrigins,
        fleet: FleetView,
        clock: Clock,
    ) -> None:
        self._store = store
        self._registrations_stream = registrations_stream
        self._decode = decode
        self._positions = positions
        self._origins = origins
        self._fleet = fleet
        self._clock = clock
        self._has_gap = anyio.Event()
        self._written = _NO_RECORD
        self._written_s = float("-inf")
        self._retry_s = float("-inf")

    def note_gap(self) -> None:
        """Note that registrations or configurations may have been missed."""
        self._has_gap.set()

    async def run(self) -> None:
        """Read after gaps and write records, until cancelled."""
        # After a failure of an earlier run its reading may be incomplete.
        self._has_gap.set()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read_after_gaps)
            while True:
                await self._write_if_due()
                await self._clock.sleep(_LOOK_INTERVAL_S)

    async def _read_after_gaps(self) -> None:
        backoff = Backoff(_BACKOFF_FIRST_S, _BACKOFF_MAX_S)
        while True:
            await self._has_gap.wait()
            if self._positions.registrations_to is None or self._positions.config_version is None:
                await self._clock.sleep(_BACKOFF_FIRST_S)
                continue
            self._has_gap = anyio.Event()
            try:
                await self._read()
                backoff.reset()
            except StoreError as error:
                emit(Event.HISTORY_UNKNOWN, error=str(error))
                self._has_gap.set()
                await self._clock.sleep(backoff.next_jittered_s())

    async def _read(self) -> None:
        record = await self._newest_record()
        for service, names in record.versions.items():
            for version in names:
                self._origins.note_version(service, version)
        if self._positions.is_first_config or (
            record.settled_config and record.settled_config == self._positions.config_version
        ):
            self._origins.routes.coverage.note_history_read()
        if not self._origins.versions.is_complete(self._clock.monotonic_s()):
            await self._read_versions(record.registrations_to)
        await self._origins.read_history()
        now_s = self._clock.monotonic_s()
        versions = self._origins.versions
        emit(
            Event.HISTORY_READ,
            versions={s: sorted(versions.versions(s, now_s)) for s in versions.services()},
            has_all_versions=versions.is_complete(now_s),
            has_settled_routes=self._origins.routes.are_settled(now_s),
            registrations_from=record.registrations_to,
        )

    async def _read_versions(self, from_offset: int) -> None:
        try:
            await self._read_registrations(from_offset)
        except StoreTrimmedError as error:
            # All versions are known once the retention time has passed.
            emit(Event.HISTORY_UNKNOWN, error=str(error))
            return
        if not self._has_gap.is_set():
            self._origins.versions.coverage.note_history_read()

    async def _newest_record(self) -> _RecordValue:
        listing = await self._store.newest(RELEASES_STREAM)
        for stored in listing.records:
            if stored.key == _RECORD_KEY and stored.value is not None:
                try:
                    return _RecordValue.model_validate_json(stored.value)
                except ValidationError as error:
                    emit(
                        Event.RECORD_SKIPPED,
                        key=stored.key,
                        offset=stored.offset,
                        error=f"{error.error_count()} faults",
                    )
        return _NO_RECORD

    async def _read_registrations(self, from_offset: int) -> None:
        """Note the versions of the registrations between an offset and what the feed has read."""
        offset = from_offset
        while offset < (self._positions.registrations_to or 0):
            page = await self._store.read(self._registrations_stream, offset)
            for record in page.records:
                if record.value is None:
                    continue
                try:
                    upstream = self._decode(record.key, record.value)
                except Exception:
                    # The feed logs what it cannot decode.
                    continue
                self._origins.note_upstream(upstream)
            if not page.records:
                return
            offset = page.next_offset

    async def _write_if_due(self) -> None:
        if not self._fleet.is_designated("release history", _WRITERS):
            return
        now_s = self._clock.monotonic_s()
        value = self._current_value()
        if value is None or now_s < self._retry_s:
            return
        is_changed = (
            value.model_copy(update={"registrations_to": self._written.registrations_to})
            != self._written
        )
        if not is_changed and now_s - self._written_s < _WRITE_INTERVAL_S:
            return
        record = KeyedRecord(_RECORD_KEY, value.model_dump_json().encode())
        try:
            await self._store.append(RELEASES_STREAM, (record,))
        except StoreError as error:
            emit(Event.HISTORY_UNWRITTEN, error=str(error))
            self._retry_s = now_s + _RETRY_INTERVAL_S
            return
        self._written, self._written_s = value, now_s

    def _current_value(self) -> _RecordValue | None:
        """Return what this instance can vouch for; None if it does not know all versions."""
        now_s = self._clock.monotonic_s()
        registrations_to = self._positions.registrations_to
        versions = self._origins.versions
        if registrations_to is None or not versions.is_complete(now_s):
            return None
        self._origins.observe()
        is_settled = self._origins.routes.are_settled(now_s)
        return _RecordValue(
            registrations_to=registrations_to,
            versions={
                service: tuple(sorted(versions.versions(service, now_s)))
                for service in sorted(versions.services())
                if versions.versions(service, now_s)
            },
            settled_config=(self._positions.config_version or 0) if is_settled else 0,
        )
