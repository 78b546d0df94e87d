"""Shares the crashes of upstreams that requests caused among all instances of the fleet."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from ..core.quarantine import MOST_ENDS, Quarantine, UpstreamEnd
from ..events import Event, emit
from .feeds import KeyedFeed
from .quarantine_outbox import QuarantineOutbox
from .quarantine_records import (
    age_of,
    decode_end,
    encode_end,
    encode_trial,
    end_key,
    is_trial_key,
    new_trial,
    trial_key,
    trial_of_key,
)
from .store import KeyedRecord, Store, StoreConflictError, StoreError, Stream

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from ..clock import Clock
    from ..core.quarantine import ForgottenRequest, Trial
    from ..core.request_digest import RequestDigest
    from ..core.upstreams import RegisteredUpstream
    from ..log.health import LogHealth
    from .end_watch import BrokenAttempt
    from .lending import PeerLink

#: The fleet's stream for crashes of upstreams and for probes.
QUARANTINE_STREAM = Stream("keyed.mothstand-quarantine")

#: Seconds that a read waits for new records; less than the time within which all instances must
#: know of a crash.
_WAIT_S = 1.0

#: Minimum pause after each read, so that the next one returns the crash reports of many instances
#: together. The pause grows with the fleet: all reads stay below `_MAX_READS_PER_S`.
_GATHER_S = 0.05
_MOST_READS_PER_S = 500.0

_BACKOFF_MOST_S = 0.2

#: Sources of a crash report: this instance, or a listing that also contains old crashes.
_OWN = "own"
_LISTING = "listing"

#: Seconds between two checks for expired crashes.
_FORGET_LOOK_S = 10.0

#: Expired crashes are dropped from the store after a random delay up to this maximum, so that one
#: instance does it for all others.
_DROP_WITHIN_S = 600.0


@dataclass(frozen=True, slots=True)
class _KnownEnd:
    """Crash and the record that reports it."""

    end: UpstreamEnd
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

    backoff_most_s = _BACKOFF_MOST_S
    outbox_type = QuarantineOutbox

    def __init__(
        self,
        store: Store,
        clock: Clock,
        health: LogHealth,
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
        self._known: dict[str, _KnownEnd] = {}

    @property
    def pause_s(self) -> float:
        """Seconds between two reads."""
        return max(_GATHER_S, self._fleet_size() / _MOST_READS_PER_S)

    @property
    def wait_s(self) -> float:
        """Seconds that a read waits at the store for a record."""
        return _WAIT_S

    async def run(self) -> None:
        """Read the stream and append to it until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._outbox.run)
            tasks.start_soon(self._forget_old)
            await super().run()

    def report(self, upstream: RegisteredUpstream, attempt: BrokenAttempt) -> None:
        """Report that an upstream crashed during a request of this instance."""
        known_ends = min(attempt.known_ends, len(self.quarantine.ends(attempt.digest)))
        end = UpstreamEnd(
            attempt.digest, upstream.key, attempt.request_id, self._instance, known_ends
        )
        record = encode_end(end, self._clock.now())
        if self._add(end, record, source=_OWN):
            self._outbox.put(record)

    def clear(self, digest: RequestDigest) -> None:
        """Clear a request after a complete answer, which shows that it does not crash upstreams."""
        ends = self.quarantine.ends(digest)
        if not ends:
            return
        emit(Event.QUARANTINE_CLEARED, digest=digest, ends=len(ends), reason="answered")
        trials = self.quarantine.trials(digest)
        self.quarantine.clear(digest)
        self._drop_records(ends, trials)

    async def claim_trial(self, digest: RequestDigest) -> Trial | None:
        """Return a probe that this instance may send, or None.

        The append is conditional on the offset, so the store accepts only one of the instances
        that claim a probe at the same time.
        """
        if not self.quarantine.is_trial_due(digest, self._clock.monotonic_s()):
            return None
        if self._next_offset is None or self._health.is_failing:
            return None
        trial = new_trial(digest)
        record = encode_trial(trial, self._instance, self._clock.now())
        try:
            await self._store.append(self._stream, (record,), at_offset=self._next_offset)
        except StoreConflictError:
            return None
        except StoreError as error:
            self._health.failed(error)
            # The append may have succeeded, and the probe would then count as sent.
            self.return_trial(trial)
            return None
        self.quarantine.add_trial(trial, self._clock.monotonic_s())
        emit(Event.QUARANTINE_TRIAL, digest=digest, claim=trial.claim)
        return trial

    def return_trial(self, trial: Trial) -> None:
        """Give back a probe that reached no upstream or was answered."""
        self.quarantine.drop_trial(trial)
        self._outbox.put(KeyedRecord(trial_key(trial), None))

    def list(self, records: tuple[KeyedRecord, ...]) -> None:
        """Replace the known crashes and probes by a complete listing."""
        listed = {record.key for record in records}
        for key in list(self._known):
            if key not in listed and key not in self._outbox:
                self._drop_end(key)
        for trial in self.quarantine.all_trials():
            if trial_key(trial) not in listed:
                self.quarantine.drop_trial(trial)
        # Crashes before probes: a probe is only added to a request with known crashes.
        for record in sorted(records, key=lambda record: is_trial_key(record.key)):
            self._take(record, source=_LISTING)

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply later records in order."""
        for record in records:
            self._outbox.stored(record)
            self._take(record, source="store")

    def take_from_peer(self, records: Iterable[KeyedRecord]) -> None:
        """Apply records that a peer could not append, and append them on its behalf."""
        for record in records:
            if self._take(record, source="peer"):
                self._outbox.put(record, relays=False)

    def known(self) -> tuple[KeyedRecord, ...]:
        """Return records of all known crashes, for an instance that starts during an outage."""
        return tuple(self._known[end_key(end)].record for end in self.quarantine.all_ends())

    def offer(self, records: Iterable[KeyedRecord]) -> None:
        """Apply crashes that a peer knows, unless a listing of the store has been read."""
        if not self.is_listed:
            for record in records:
                self._take(record, source=_LISTING)

    def _take(self, record: KeyedRecord, *, source: str) -> bool:
        """Apply a record; return whether it was news: a new crash, a drop or a returned probe."""
        try:
            if is_trial_key(record.key):
                return self._take_trial(record, source=source)
            if record.value is None:
                return self._drop_end(record.key)
            return self._add(decode_end(record), record, source=source)
        except ValueError as error:
            emit(Event.RECORD_SKIPPED, key=record.key, offset=record.offset, error=str(error))
            return False

    def _take_trial(self, record: KeyedRecord, *, source: str) -> bool:
        """Apply a probe record; return whether the probe was returned."""
        trial = trial_of_key(record.key)
        if record.value is None:
            self.quarantine.drop_trial(trial)
            return True
        now_s = self._clock.monotonic_s()
        self.quarantine.add_trial(trial, now_s, age_s=self._age_s(record, source))
        return False

    def _drop_end(self, key: str) -> bool:
        """Drop a crash whose key was dropped; return whether it was known."""
        known = self._known.pop(key, None)
        if known is not None:
            self.quarantine.drop_end(known.end.digest, known.end.upstream)
        return known is not None

    def _age_s(self, record: KeyedRecord, source: str) -> float:
        """Return a record's age; 0 for new records, regardless of their writer's clock."""
        if source != _LISTING:
            return 0.0
        return age_of(record, self._clock.now()).total_seconds()

    def _add(self, end: UpstreamEnd, record: KeyedRecord, *, source: str) -> bool:
        now_s = self._clock.monotonic_s()
        if not self.quarantine.add_end(end, now_s, age_s=self._age_s(record, source)):
            return False
        self._known[end_key(end)] = _KnownEnd(end, record)
        ends = self.quarantine.ends(end.digest)
        # If the first crash reported by other instances were logged too, each broken request would
        # be a line at every instance.
        if source == _OWN or len(ends) > 1:
            emit(
                Event.END_NOTED,
                digest=end.digest,
                upstream=end.upstream.upstream_id,
                request=end.request_id,
                instance=end.instance,
                known_ends=end.known_ends,
                ends=len(ends),
                source=source,
            )
        if len(ends) == MOST_ENDS:
            upstreams = [known.upstream.upstream_id for known in ends]
            emit(Event.QUARANTINE_BEGAN, digest=end.digest, upstreams=upstreams)
        return True

    async def _forget_old(self) -> None:
        """Drop expired crashes locally, and after a random delay from the store."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._clock.sleep(_FORGET_LOOK_S)
                requests = self.quarantine.forget_old(self._clock.monotonic_s())
                if requests:
                    ends = sum(len(request.ends) for request in requests)
                    emit(Event.QUARANTINE_CLEARED, ends=ends, reason="too old or too many")
                    tasks.start_soon(self._drop, requests)

    async def _drop(self, requests: Sequence[ForgottenRequest]) -> None:
        """Drop expired crashes from the store unless another instance has done so meanwhile."""
        await self._clock.sleep(random.uniform(0.0, _DROP_WITHIN_S))
        for request in requests:
            kept = [end for end in request.ends if self._is_known(end)]
            if kept:
                self._drop_records(kept, request.trials, relays=False)

    def _is_known(self, end: UpstreamEnd) -> bool:
        known = self._known.get(end_key(end))
        return known is not None and known.end is end

    def _drop_records(
        self, ends: Iterable[UpstreamEnd], trials: Iterable[Trial], *, relays: bool = True
    ) -> None:
        """Drop a request's records from the store, probes before the crashes they belong to."""
        keys = [trial_key(trial) for trial in trials]
        keys += [end_key(end) for end in ends]
        for key in keys:
            self._known.pop(key, None)
            self._outbox.put(KeyedRecord(key, None), relays=relays)
