"""Shares the crashes of upstreams that requests caused among all instances of the fleet."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from ...core.quarantine import CRASH_THRESHOLD, Quarantine, UpstreamCrash
from ...events import Event, emit
from ..feeds import KeyedFeed
from ..store import KeyedRecord, Store, StoreConflictError, StoreError, Stream, StreamPage
from .outbox import QuarantineOutbox
from .records import (
    crash_key,
    decode_crash,
    encode_crash,
    encode_probe,
    is_probe_key,
    new_probe,
    probe_key,
    probe_of_key,
    record_age,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from ...clock import Clock
    from ...core.quarantine import ForgottenRequest, Probe
    from ...core.request_digest import RequestDigest
    from ...core.upstreams import RegisteredUpstream
    from ...log.health import PlatformHealth
    from ..lending import PeerLink
    from .crash_detector import BrokenAttempt

#: The fleet's stream for crashes of upstreams and for probes.
QUARANTINE_STREAM = Stream("keyed.mothstand-quarantine")

#: Seconds that a read waits for new records; less than the time within which all instances must
#: know of a crash.
_READ_WAIT_S = 1.0

#: Minimum pause after each read, so that the next one returns the crash reports of many instances
#: together. The pause grows with the fleet, which keeps the reads of all instances together below
#: `_MAX_READS_PER_S`.
_MIN_READ_PAUSE_S = 0.05
_MAX_READS_PER_S = 500.0

_BACKOFF_MAX_S = 0.2

#: Sources of a crash report: this instance, or a listing that also contains old crashes.
_SOURCE_OWN = "own"
_SOURCE_LISTING = "listing"

#: Seconds between two checks for expired crashes.
_EXPIRY_CHECK_INTERVAL_S = 10.0

#: Expired crashes are dropped from the store after a random delay up to this maximum, so that one
#: instance does it for all others.
_MAX_DROP_DELAY_S = 600.0


@dataclass(frozen=True, slots=True)
class _KnownCrash:
    """Crash and the record that reports it."""

    crash: UpstreamCrash
    record: KeyedRecord


class QuarantineFeed(KeyedFeed):
    """Quarantine state built from the crashes and probes that all instances report.

    Parameters
    ----------
    instance
        Name of this instance.
    peers
        Returns addresses of other instances, for records that this one cannot append to the store.
    fleet_size
        Returns the number of instances that read the stream.
    """

    backoff_max_s = _BACKOFF_MAX_S
    outbox_type = QuarantineOutbox

    def __init__(
        self,
        store: Store,
        clock: Clock,
        health: PlatformHealth,
        instance: str,
        link: PeerLink,
        peers: Callable[[], Sequence[str]],
        fleet_size: Callable[[], int],
    ) -> None:
        super().__init__(store, QUARANTINE_STREAM, clock, health)
        self.quarantine = Quarantine()
        self._instance = instance
        self._outbox = self.outbox_type(store, QUARANTINE_STREAM, clock, health, link, peers)
        self._fleet_size = fleet_size
        self._known_crashes: dict[str, _KnownCrash] = {}

    @property
    def pause_s(self) -> float:
        """Seconds between two reads."""
        return max(_MIN_READ_PAUSE_S, self._fleet_size() / _MAX_READS_PER_S)

    @property
    def wait_s(self) -> float:
        """Seconds for which the store holds a read until there is a record."""
        return _READ_WAIT_S

    async def run(self) -> None:
        """Read the stream and append to it until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._outbox.run)
            tasks.start_soon(self._forget_expired)
            await super().run()

    def report(self, upstream: RegisteredUpstream, attempt: BrokenAttempt) -> None:
        """Report that an upstream crashed during a request of this instance."""
        known_crashes = min(attempt.known_crashes, len(self.quarantine.crashes(attempt.digest)))
        crash = UpstreamCrash(
            attempt.digest, upstream.key, attempt.request_id, self._instance, known_crashes
        )
        record = encode_crash(crash, self._clock.now())
        if self._add_crash(crash, record, source=_SOURCE_OWN):
            self._outbox.enqueue(record)

    def clear(self, digest: RequestDigest) -> None:
        """Clear a request after a complete answer, which shows that it does not crash upstreams."""
        crashes = self.quarantine.crashes(digest)
        if not crashes:
            return
        emit(Event.QUARANTINE_CLEARED, digest=digest, ends=len(crashes), reason="answered")
        probes = self.quarantine.probes(digest)
        self.quarantine.clear(digest)
        self._drop_records(crashes, probes)

    async def claim_probe(self, digest: RequestDigest) -> Probe | None:
        """Return a probe that this instance may send, or None.

        The append is conditional on the offset, so the store accepts only one of the instances
        that claim a probe at the same time.
        """
        if not self.quarantine.is_probe_due(digest, self._clock.monotonic_s()):
            return None
        if self._next_offset is None or self._health.is_failing:
            return None
        probe = new_probe(digest)
        record = encode_probe(probe, self._instance, self._clock.now())
        try:
            await self._store.append(self._stream, (record,), at_offset=self._next_offset)
        except StoreConflictError:
            return None
        except StoreError as error:
            self._health.note_failure(error)
            # The append may have succeeded, and the probe would then count as sent.
            self.return_probe(probe)
            return None
        self.quarantine.add_probe(probe, self._clock.monotonic_s())
        emit(Event.QUARANTINE_TRIAL, digest=digest, claim=probe.claim_id)
        return probe

    def return_probe(self, probe: Probe) -> None:
        """Give back a probe that reached no upstream or was answered."""
        self.quarantine.drop_probe(probe)
        self._outbox.enqueue(KeyedRecord(probe_key(probe), None))

    def apply_listing(self, listing: StreamPage) -> None:
        """Replace known crashes and probes by a listing; crashes not yet appended stay."""
        listed = {record.key for record in listing.records}
        for key in list(self._known_crashes):
            if key not in listed and key not in self._outbox:
                self._drop_crash(key)
        for probe in self.quarantine.all_probes():
            if probe_key(probe) not in listed:
                self.quarantine.drop_probe(probe)
        # Crashes before probes: a probe is only added to a request with known crashes.
        for record in sorted(listing.records, key=lambda record: is_probe_key(record.key)):
            self._apply_record(record, source=_SOURCE_LISTING)

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply later records in order."""
        for record in records:
            self._outbox.note_stored(record)
            self._apply_record(record, source="store")

    def apply_from_peer(self, records: Iterable[KeyedRecord]) -> None:
        """Apply records that a peer could not append, and append them on its behalf."""
        for record in records:
            if self._apply_record(record, source="peer"):
                self._outbox.enqueue(record, is_relayed=False)

    def known_records(self) -> tuple[KeyedRecord, ...]:
        """Return records of all known crashes, for an instance that starts during an outage."""
        return tuple(
            self._known_crashes[crash_key(crash)].record for crash in self.quarantine.all_crashes()
        )

    def apply_second_hand(self, records: Iterable[KeyedRecord]) -> None:
        """Apply crashes that a peer knows, unless a listing of the store has been read."""
        if not self.is_listed:
            for record in records:
                self._apply_record(record, source=_SOURCE_LISTING)

    def _apply_record(self, record: KeyedRecord, *, source: str) -> bool:
        """Apply a record; return whether it was news: a new crash, a drop or a returned probe."""
        try:
            if is_probe_key(record.key):
                return self._apply_probe(record, source=source)
            if record.value is None:
                return self._drop_crash(record.key)
            return self._add_crash(decode_crash(record), record, source=source)
        except ValueError as error:
            emit(Event.RECORD_SKIPPED, key=record.key, offset=record.offset, error=str(error))
            return False

    def _apply_probe(self, record: KeyedRecord, *, source: str) -> bool:
        """Apply a probe record; return whether the probe was returned."""
        probe = probe_of_key(record.key)
        if record.value is None:
            self.quarantine.drop_probe(probe)
            return True
        now_s = self._clock.monotonic_s()
        self.quarantine.add_probe(probe, now_s, age_s=self._age_s(record, source))
        return False

    def _drop_crash(self, key: str) -> bool:
        """Drop a crash whose key was dropped; return whether it was known."""
        known = self._known_crashes.pop(key, None)
        if known is not None:
            self.quarantine.drop_crash(known.crash.digest, known.crash.upstream)
        return known is not None

    def _age_s(self, record: KeyedRecord, source: str) -> float:
        """Return a record's age; 0 for new records, regardless of their writer's clock."""
        if source != _SOURCE_LISTING:
            return 0.0
        return record_age(record, self._clock.now()).total_seconds()

    def _add_crash(self, crash: UpstreamCrash, record: KeyedRecord, *, source: str) -> bool:
        now_s = self._clock.monotonic_s()
        if not self.quarantine.add_crash(crash, now_s, age_s=self._age_s(record, source)):
            return False
        self._known_crashes[crash_key(crash)] = _KnownCrash(crash, record)
        crashes = self.quarantine.crashes(crash.digest)
        # If the first crash reported by other instances were logged too, each broken request would
        # be a line at every instance.
        if source == _SOURCE_OWN or len(crashes) > 1:
            emit(
                Event.END_NOTED,
                digest=crash.digest,
                upstream=crash.upstream.upstream_id,
                request=crash.request_id,
                instance=crash.instance,
                known_ends=crash.known_crashes,
                ends=len(crashes),
                source=source,
            )
        if len(crashes) == CRASH_THRESHOLD:
            upstreams = [known.upstream.upstream_id for known in crashes]
            emit(Event.QUARANTINE_BEGAN, digest=crash.digest, upstreams=upstreams)
        return True

    async def _forget_expired(self) -> None:
        """Drop crashes that expired or were too many, and later drop them from the store."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._clock.sleep(_EXPIRY_CHECK_INTERVAL_S)
                requests = self.quarantine.forget_expired(self._clock.monotonic_s())
                if requests:
                    crashes = sum(len(request.crashes) for request in requests)
                    emit(Event.QUARANTINE_CLEARED, ends=crashes, reason="too old or too many")
                    tasks.start_soon(self._drop_forgotten, requests)

    async def _drop_forgotten(self, requests: Sequence[ForgottenRequest]) -> None:
        """Drop expired crashes from the store unless another instance has done so meanwhile."""
        await self._clock.sleep(random.uniform(0.0, _MAX_DROP_DELAY_S))
        for request in requests:
            crashes = [crash for crash in request.crashes if self._is_known(crash)]
            if crashes:
                self._drop_records(crashes, request.probes, is_relayed=False)

    def _is_known(self, crash: UpstreamCrash) -> bool:
        known = self._known_crashes.get(crash_key(crash))
        return known is not None and known.crash is crash

    def _drop_records(
        self, crashes: Iterable[UpstreamCrash], probes: Iterable[Probe], *, is_relayed: bool = True
    ) -> None:
        """Drop a request's records from the store, probes before the crashes they belong to."""
        keys = [probe_key(probe) for probe in probes]
        keys += [crash_key(crash) for crash in crashes]
        for key in keys:
            self._known_crashes.pop(key, None)
            self._outbox.enqueue(KeyedRecord(key, None), is_relayed=is_relayed)
