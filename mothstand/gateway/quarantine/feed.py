"""Shares the crashes of upstreams, and what may have caused them, among all instances."""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

import anyio

from ...core.quarantine import CRASH_THRESHOLD, Quarantine, UpstreamCrash
from ...core.suspects import is_part
from ...events import Event, emit
from ..delayed_calls import DelayedCalls
from ..feeds import KeyedFeed
from ..store import KeyedRecord, Store, StoreConflictError, StoreError, Stream, StreamPage
from .outbox import QuarantineOutbox
from .records import (
    crash_key,
    decode_crash,
    encode_crash,
    encode_probe,
    is_probe_key,
    new_probes,
    probe_key,
    probe_of_key,
    record_age,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from ...clock import Clock
    from ...core.quarantine import ForgottenSuspect, Probe
    from ...core.suspects import Suspect, SuspectId
    from ...core.upstreams import RegisteredUpstream
    from ...log.health import PlatformHealth
    from ..lending import PeerLink
    from .crash_detector import AttemptSuspect, BrokenAttempt

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

#: Seconds for which a part that was answered is taken for sound unless it is not answered again,
#: and seconds to wait for that answer after a crash.
_SURVIVAL_MEMORY_S = 60.0
_SURVIVAL_WAIT_S = 1.0

#: Maximum delay before the records of a cleared part are dropped, in pauses between reads.
_CLEAR_DELAY_PAUSES = 2.0

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
        self._delayed_calls = DelayedCalls(clock)
        self._known_crashes: dict[str, _KnownCrash] = {}
        self._cleared_keys: set[str] = set()

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
            tasks.start_soon(self._delayed_calls.run)
            tasks.start_soon(self._forget_expired)
            await super().run()

    def report(self, upstream: RegisteredUpstream, attempt: BrokenAttempt) -> None:
        """Report that an upstream crashed during an attempt of this instance.

        A part that was answered here lately is most likely sound, so its next answer is awaited
        first: a part of many requests would else cost the fleet records for each crash.
        """
        now_s = self._clock.monotonic_s()
        for each in attempt.suspects:
            report = partial(self._report_suspect, upstream, attempt.request_id, each, now_s)
            answered_s = self.quarantine.survivals.latest_s(each.suspect.suspect_id)
            if now_s - answered_s <= _SURVIVAL_MEMORY_S:
                self._delayed_calls.schedule(_SURVIVAL_WAIT_S, report)
            else:
                report()

    def _report_suspect(
        self,
        upstream: RegisteredUpstream,
        request_id: str,
        attempt_suspect: AttemptSuspect,
        crashed_s: float,
    ) -> None:
        """Report a suspect of a crash, unless it was answered after the crash."""
        suspect_id = attempt_suspect.suspect.suspect_id
        if self.quarantine.survivals.latest_s(suspect_id) > crashed_s:
            return
        known_crashes = min(attempt_suspect.known_crashes, len(self.quarantine.crashes(suspect_id)))
        crash = UpstreamCrash(
            suspect_id,
            upstream.key,
            request_id,
            self._instance,
            known_crashes,
            attempt_suspect.suspect.label,
        )
        record = encode_crash(crash, self._clock.now())
        if self._add_crash(crash, record, source=_SOURCE_OWN):
            self._outbox.enqueue(record)

    def note_survived(self, suspects: Iterable[Suspect]) -> None:
        """Record that parts were answered and their upstream lives on, which clears them."""
        now_s = self._clock.monotonic_s()
        for suspect in suspects:
            self.quarantine.survivals.add(suspect.suspect_id, now_s)
            if not self.quarantine.is_empty:
                self.clear(suspect.suspect_id)

    def clear(self, suspect_id: SuspectId) -> None:
        """Clear a suspect after an answer, which shows that it does not crash upstreams."""
        crashes = self.quarantine.crashes(suspect_id)
        if not crashes:
            return
        emit(
            Event.QUARANTINE_CLEARED,
            digest=suspect_id,
            part=crashes[0].label,
            ends=len(crashes),
            reason="answered",
        )
        probes = self.quarantine.probes(suspect_id)
        self.quarantine.clear(suspect_id)
        keys = _record_keys(crashes, probes)
        if not is_part(suspect_id):
            self._drop_records(keys)
            return
        # Many instances may see answers on a part before the first of them has told the others.
        self._cleared_keys.update(keys)
        delay_s = random.uniform(0.0, _CLEAR_DELAY_PAUSES * self.pause_s)
        self._delayed_calls.schedule(delay_s, partial(self._drop_cleared, keys))

    def _drop_cleared(self, keys: Sequence[str]) -> None:
        """Drop the records of a cleared part that no other instance has dropped meanwhile."""
        self._drop_records([key for key in keys if key in self._cleared_keys])
        self._cleared_keys.difference_update(keys)

    async def claim_probes(self, suspect_ids: Sequence[SuspectId]) -> tuple[Probe, ...]:
        """Return the probes as which this instance may send a request; empty if it may not.

        The append is conditional on the offset, so the store accepts only one of the instances
        that claim probes at the same time.

        Parameters
        ----------
        suspect_ids
            All suspects of the request, some of them quarantined.
        """
        now_s = self._clock.monotonic_s()
        if not self.quarantine.is_probe_due(suspect_ids, now_s):
            return ()
        if self._next_offset is None or self._health.is_failing:
            return ()
        probes = new_probes(self.quarantine.blocking(suspect_ids, now_s))
        now = self._clock.now()
        records = tuple(encode_probe(probe, self._instance, now) for probe in probes)
        try:
            await self._store.append(self._stream, records, at_offset=self._next_offset)
        except StoreConflictError:
            return ()
        except StoreError as error:
            self._health.note_failure(error)
            # The append may have succeeded, and the probes would then count as sent.
            for probe in probes:
                self.return_probe(probe)
            return ()
        for probe in probes:
            self.quarantine.add_probe(probe, self._clock.monotonic_s())
            emit(Event.QUARANTINE_TRIAL, digest=probe.suspect_id, claim=probe.claim_id)
        return probes

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
                self._cleared_keys.discard(record.key)
                return self._drop_crash(record.key)
            return self._add_crash(decode_crash(record), record, source=source)
        except Exception as error:
            # Whatever another writer left, the others are read.
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
            self.quarantine.drop_crash(known.crash.suspect_id, known.crash.upstream)
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
        crashes = self.quarantine.crashes(crash.suspect_id)
        # If the first crash reported by other instances were logged too, each broken request would
        # be a line at every instance.
        if source == _SOURCE_OWN or len(crashes) > 1:
            emit(
                Event.END_NOTED,
                digest=crash.suspect_id,
                part=crash.label,
                upstream=crash.upstream.upstream_id,
                request=crash.request_id,
                instance=crash.instance,
                known_ends=crash.known_crashes,
                ends=len(crashes),
                source=source,
            )
        if len(crashes) == CRASH_THRESHOLD:
            upstreams = [known.upstream.upstream_id for known in crashes]
            emit(
                Event.QUARANTINE_BEGAN,
                digest=crash.suspect_id,
                part=crash.label,
                upstreams=upstreams,
                requests=[known.request_id for known in crashes],
            )
        return True

    async def _forget_expired(self) -> None:
        """Drop crashes that expired or were too many, and later drop them from the store."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._clock.sleep(_EXPIRY_CHECK_INTERVAL_S)
                suspects = self.quarantine.forget_expired(self._clock.monotonic_s())
                if suspects:
                    crashes = sum(len(suspect.crashes) for suspect in suspects)
                    emit(Event.QUARANTINE_CLEARED, ends=crashes, reason="too old or too many")
                    tasks.start_soon(self._drop_forgotten, suspects)

    async def _drop_forgotten(self, suspects: Sequence[ForgottenSuspect]) -> None:
        """Drop expired crashes from the store unless another instance has done so meanwhile."""
        await self._clock.sleep(random.uniform(0.0, _MAX_DROP_DELAY_S))
        for suspect in suspects:
            crashes = [crash for crash in suspect.crashes if self._is_known(crash)]
            if crashes:
                self._drop_records(_record_keys(crashes, suspect.probes), is_relayed=False)

    def _is_known(self, crash: UpstreamCrash) -> bool:
        known = self._known_crashes.get(crash_key(crash))
        return known is not None and known.crash is crash

    def _drop_records(self, keys: Iterable[str], *, is_relayed: bool = True) -> None:
        """Drop records of a suspect from the store."""
        for key in keys:
            self._known_crashes.pop(key, None)
            self._outbox.enqueue(KeyedRecord(key, None), is_relayed=is_relayed)


def _record_keys(crashes: Iterable[UpstreamCrash], probes: Iterable[Probe]) -> list[str]:
    """Return the keys of a suspect's records, probes before the crashes they belong to."""
    return [*map(probe_key, probes), *map(crash_key, crashes)]
