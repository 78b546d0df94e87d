"""What this instance and its peers know of the origins of streams."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import anyio

from ..core.record_holders import RecordHolders
from ..core.stream_origins import (
    LookupLimit,
    OriginRecord,
    OriginTable,
    RecentVersions,
    RouteChanges,
)
from ..events import Event, emit
from ..peers.failures import PeerError
from .lending import FoundOrigin
from .origin_outbox import OriginOutbox
from .store import StoreError

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..clock import Clock
    from ..core.fleet import FleetView, Member
    from ..core.loans import Peer
    from ..core.routes import GatewayConfig, Route
    from ..core.stream_origins import StreamKey, StreamOrigin
    from ..core.upstreams import RegisteredUpstream, UpstreamDirectory
    from .lending import PeerLink
    from .metrics import GatewayMetrics
    from .origin_log import OriginLog

#: Seconds between two looks at the registered versions, well below the retention time.
_OBSERVE_INTERVAL_S = 1.0

#: Time after the start for which resumptions wait until the history has been read.
_MAX_READING_S = 1.0

#: Time for which a resumption waits for origins from the store, and pause between two reads.
_STORED_TIMEOUT_S = 0.25
_STORED_INTERVAL_S = 0.5


class OriginSource(Enum):
    """How the origin of a stream is known."""

    OWN = "own"
    PEER = "peer"
    STORE = "store"
    ONLY_POSSIBLE = "only possible"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Lookup:
    """Result of looking for the origin of a stream.

    Parameters
    ----------
    asked, answered
        Peers that were asked, and those that answered.
    has_complete_peer
        Whether a peer answered that knows all versions of the retention time.
    """

    origin: StreamOrigin | None
    source: OriginSource
    asked: int = 0
    answered: int = 0
    has_complete_peer: bool = False


class StreamOrigins:
    """Origins of streams, kept here, in the store and at peers that a hash designates.

    Peers and store get copies of all streams, as this instance may be the last one to learn that a
    stream may have several origins. They get them sooner if it already may: its service has several
    versions, or its route several services, now or recently. Those in the store are for instances
    that start after the death of all.
    """

    def __init__(
        self,
        fleet: FleetView,
        directory: UpstreamDirectory,
        link: PeerLink,
        log: OriginLog,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> None:
        self._log = log
        self._stored = OriginTable()
        self._history_read = anyio.Event()
        self._is_stored_wanted = anyio.Event()
        self._stored_read = anyio.Event()
        self._is_running = False
        self._wait_until_s = float("-inf")
        self.versions = RecentVersions()
        self.routes = RouteChanges()
        self._own = OriginTable()
        self._of_peers = OriginTable()
        self._holders = RecordHolders(fleet)
        self._directory = directory
        self._link = link
        self._clock = clock
        self._metrics = metrics
        self._outbox = OriginOutbox(link, clock, metrics)
        self._limit = LookupLimit()
        self._known_peers: frozenset[Peer] = frozenset()

    async def run(self) -> None:
        """Send records to peers, and follow the registered versions, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._is_running = True
            self._wait_until_s = self._clock.monotonic_s() + _MAX_READING_S
            tasks.start_soon(self._outbox.run)
            tasks.start_soon(self._log.run)
            tasks.start_soon(self._read_stored_if_wanted)
            while True:
                self.note_fleet()
                self.observe()
                self._log_forgotten()
                await self._clock.sleep(_OBSERVE_INTERVAL_S)

    def note_fleet(self) -> None:
        """Send copies of recent streams to holders that this instance has just come to know.

        An instance that starts reads of its peers some seconds late, and without this nobody would
        know its first streams if the peers that it knew by then die with it.
        """
        known_peers = frozenset(m.peer for m in self._holders.fleet.other_members())
        added = known_peers - self._known_peers
        self._known_peers = known_peers
        if not added:
            return
        for record in list(self._own.records(self._clock.monotonic_s())):
            holders = [m for m in self._holders.of(record.key).to_write if m.peer in added]
            if holders:
                self._outbox.enqueue(record, holders, is_urgent=True)

    def observe(self) -> None:
        """Record that the registered versions are still in use."""
        self.versions.observe(self._directory.upstreams.values(), self._clock.monotonic_s())

    def _log_forgotten(self) -> None:
        forgotten = self._own.dropped + self._of_peers.dropped
        before = self._metrics.counts["origins_forgotten"]
        self._metrics.counts["origins_forgotten"] = forgotten
        if forgotten > before:
            emit(Event.ORIGINS_FORGOTTEN, streams=forgotten - before, kept=len(self._own))

    def note_upstream(self, upstream: RegisteredUpstream) -> None:
        """Record the version of an upstream that registers or leaves."""
        self.note_version(upstream.service, upstream.version)

    def note_version(self, service: str, version: str, age_s: float = 0.0) -> None:
        """Record a version; with a second one, copies of streams go to peers and store at once."""
        now_s = self._clock.monotonic_s()
        before = self.versions.versions(service, now_s)
        self.versions.note(service, version, now_s - age_s)
        if before and version not in before:
            emit(Event.VERSIONS_CHANGED, service=service, versions=sorted({version, *before}))
            self._hurry()

    def note_config(self, config: GatewayConfig) -> None:
        """Note a configuration; if it moves requests to other services, copies are sent at once."""
        if self.routes.apply(config, self._clock.monotonic_s()):
            self._hurry()

    def _hurry(self) -> None:
        self._outbox.hurry()
        self._log.hurry()

    async def read_history(self) -> None:
        """Read the origins that the store has, at the start.

        Raises
        ------
        StoreError
            If the store could not be read.
        """
        if not self._history_read.is_set():
            await self._read_stored()
            self._history_read.set()

    async def _read_stored(self) -> None:
        records = await self._log.read()
        now_s = self._clock.monotonic_s()
        for record in records:
            self._stored.add(record, now_s)

    async def _read_stored_if_wanted(self) -> None:
        """Read for all resumptions that wait at once, since callers may send any number of them."""
        while True:
            await self._is_stored_wanted.wait()
            self._is_stored_wanted = anyio.Event()
            try:
                await self._read_stored()
            except StoreError as error:
                emit(Event.HISTORY_UNKNOWN, error=str(error))
            is_read, self._stored_read = self._stored_read, anyio.Event()
            is_read.set()
            await self._clock.sleep(_STORED_INTERVAL_S)

    async def _find_stored(self, key: StreamKey) -> StreamOrigin | None:
        """Look for an origin in the store, as the instances that knew it may have died."""
        if not self._is_running:
            return None
        now_s = self._clock.monotonic_s()
        if self._history_read.is_set():
            waited_for, until_s = self._stored_read, now_s + _STORED_TIMEOUT_S
            self._is_stored_wanted.set()
        else:
            waited_for, until_s = self._history_read, self._wait_until_s
        with anyio.move_on_after(until_s - now_s):
            await waited_for.wait()
        return self._stored.find(key, self._clock.monotonic_s())

    def note_history_read(self) -> None:
        """Record that nothing is unknown of the time before the start."""
        self.versions.coverage.note_history_read()
        self.routes.coverage.note_history_read()
        self._history_read.set()

    def note_began(self, key: StreamKey, origin: StreamOrigin, route: Route) -> None:
        """Remember that a request brought the first event of a stream, or of its continuation."""
        now_s = self._clock.monotonic_s()
        record = OriginRecord(key, origin)
        self._own.add(record, now_s)
        self.note_version(origin.service, origin.version)
        is_ambiguous = (
            len(route.destinations) > 1
            or len(self.versions.versions(origin.service, now_s)) > 1
            or self.routes.is_recent(route, now_s)
        )
        self._outbox.enqueue(record, self._holders.of(key).to_write, is_urgent=is_ambiguous)
        self._log.enqueue(record, is_urgent=is_ambiguous)

    def keep(self, records: Iterable[OriginRecord]) -> None:
        """Keep copies for a peer."""
        now_s = self._clock.monotonic_s()
        for record in records:
            self._of_peers.add(record, now_s)
        self._metrics.counts["origin_records_kept"] = len(self._of_peers)

    def known(self, key: StreamKey) -> StreamOrigin | None:
        """Return the origin of a stream if this instance knows it."""
        return self._find_here(key).origin

    def _find_here(self, key: StreamKey) -> Lookup:
        now_s = self._clock.monotonic_s()
        origin = self._own.find(key, now_s) or self._of_peers.find(key, now_s)
        if origin is not None:
            return Lookup(origin, OriginSource.OWN)
        stored = self._stored.find(key, now_s)
        return Lookup(stored, OriginSource.UNKNOWN if stored is None else OriginSource.STORE)

    def found_here(self, key: StreamKey, service: str) -> FoundOrigin:
        """Return what this instance knows, for a peer that looks for an origin."""
        seen = self.versions.seen(service, self._clock.monotonic_s())
        return FoundOrigin(self.known(key), tuple(seen), self.knows_all_versions)

    @property
    def knows_all_versions(self) -> bool:
        """Whether all versions of the retention time, up to now, are known here."""
        now_s = self._clock.monotonic_s()
        return self._directory.is_current(now_s) and self.versions.is_complete(now_s)

    async def find(self, key: StreamKey, service: str) -> Lookup:
        """Look for the origin of a stream here, at its holders, and in the store.

        The versions of `service` that the holders have seen are recorded.
        """
        lookup = self._find_here(key)
        if lookup.origin is not None:
            return lookup
        holders = self._holders.of(key).to_ask
        if not self._limit.try_use(self._clock.monotonic_s()):
            self._metrics.counts["origin_lookups_omitted"] += 1
            return Lookup(None, OriginSource.UNKNOWN, asked=len(holders))
        self._metrics.counts["origin_lookups"] += 1
        lookup = await self._ask(holders, key, service)
        if lookup.origin is None and (origin := await self._find_stored(key)) is not None:
            return Lookup(origin, OriginSource.STORE, lookup.asked, lookup.answered)
        return lookup

    async def _ask(self, holders: Sequence[Member], key: StreamKey, service: str) -> Lookup:
        """Ask all holders at once; the first one that knows the origin ends the search."""
        answers: list[FoundOrigin] = []

        async def ask(address: str) -> None:
            try:
                found = await self._link.find_origin(address, key, service)
            except PeerError as error:
                emit(Event.PEER_SUSPECTED, peer=address, error=str(error))
                return
            answers.append(found)
            if found.origin is not None:
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for member in holders:
                tasks.start_soon(ask, member.peer.address)
        for seen in [version for answer in answers for version in answer.versions]:
            if seen.age_s <= self.versions.policy.retention_s:
                self.note_version(seen.service, seen.version, seen.age_s)
        origin = next((a.origin for a in answers if a.origin is not None), None)
        source = OriginSource.UNKNOWN if origin is None else OriginSource.PEER
        has_complete_peer = any(a.knows_all_versions for a in answers)
        return Lookup(origin, source, len(holders), len(answers), has_complete_peer)
