"""An in-memory version of the platform's store, with its possible failures."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import anyio

from ..gateway.store import (
    KeyedRecord,
    Store,
    StoreConflictError,
    StoreSilentError,
    StoreTrimmedError,
    Stream,
    StreamPage,
)
from ..settings.gateway import StoreSection

if TYPE_CHECKING:
    import random
    from collections.abc import Callable


#: Seconds after which the store's client gives up connecting.
STORE_CONNECT_TIMEOUT_S: float = StoreSection.model_fields["connect_timeout_s"].default


class StoreCallOutcome(Enum):
    """Outcome of an append."""

    ANSWERED = "answered"
    LOST = "never arrives"
    UNANSWERED = "done, its answer is lost"
    LATE = "no answer, and done later if its condition still holds"


@dataclass(frozen=True, slots=True)
class _LateAppend:
    stream: Stream
    records: tuple[KeyedRecord, ...]
    at_offset: int | None


@dataclass(slots=True)
class MemoryStore:
    """Records of all streams."""

    is_conditional: bool = True
    _records: dict[Stream, list[KeyedRecord]] = field(default_factory=lambda: defaultdict(list))
    _first_offsets: dict[Stream, int] = field(default_factory=lambda: defaultdict(int))
    _late_appends: list[_LateAppend] = field(default_factory=list)

    def append(
        self, stream: Stream, records: tuple[KeyedRecord, ...], at_offset: int | None
    ) -> bool:
        """Append, unless `at_offset` is given and is not the stream's end; return success."""
        stored = self._records[stream]
        if self.is_conditional and at_offset is not None and len(stored) != at_offset:
            return False
        for record in records:
            stored.append(KeyedRecord(record.key, record.value, len(stored)))
        return True

    def put(self, stream: Stream, key: str, value: bytes | None) -> None:
        """Append a record, as operators and upstreams do."""
        self.append(stream, (KeyedRecord(key, value),), None)

    def delay(
        self, stream: Stream, records: tuple[KeyedRecord, ...], at_offset: int | None
    ) -> None:
        """Delay an append until `deliver_late`."""
        self._late_appends.append(_LateAppend(stream, records, at_offset))

    def deliver_late(self) -> None:
        """Perform the delayed appends."""
        late, self._late_appends = self._late_appends, []
        for append in late:
            self.append(append.stream, append.records, append.at_offset)

    def compact(self, stream: Stream) -> None:
        """Drop all but the newest record of each key; reads from earlier offsets will fail."""
        self._first_offsets[stream] = len(self._records[stream])

    def read(self, stream: Stream, from_offset: int) -> StreamPage:
        """Return the records from an offset on.

        Raises
        ------
        StoreTrimmedError
            If some of them are no longer retained.
        """
        if from_offset < self._first_offsets[stream]:
            first_offset = self._first_offsets[stream]
            raise StoreTrimmedError(f"{stream}: {from_offset} is not retained", first_offset)
        stored = self._records[stream]
        end = max(from_offset, len(stored))
        return StreamPage(tuple(stored[from_offset:]), end, end)

    def newest(self, stream: Stream) -> StreamPage:
        """Return the newest record of each key."""
        return self.newest_at(stream, len(self._records[stream]))

    def newest_at(self, stream: Stream, end_offset: int) -> StreamPage:
        """Return the listing as it was when the stream ended at an offset."""
        stored = self._records[stream][:end_offset]
        by_key = {record.key: record for record in stored}
        live_records = (record for record in by_key.values() if record.value is not None)
        return StreamPage(tuple(live_records), len(stored), len(stored))


class StoreLink(Store):
    """A process's client for the store.

    Parameters
    ----------
    decide_outcome
        Called for the outcome of each append.
    read_timeout_s
        Seconds after which a read fails that started while the client was cut off. It fails even
        if the client is reconnected meanwhile, because the packets that would have opened its
        connection are lost.
    """

    def __init__(
        self,
        store: MemoryStore,
        decide_outcome: Callable[[], StoreCallOutcome] = lambda: StoreCallOutcome.ANSWERED,
        read_timeout_s: float = 0.0,
    ) -> None:
        self.is_cut_off = False
        self._read_timeout_s = read_timeout_s
        self._store = store
        self._decide_outcome = decide_outcome

    async def append(
        self, stream: Stream, records: tuple[KeyedRecord, ...], *, at_offset: int | None = None
    ) -> None:
        """Append all records or none; with `at_offset`, only if the stream ends there."""
        outcome = StoreCallOutcome.LOST if self.is_cut_off else self._decide_outcome()
        if outcome is StoreCallOutcome.LATE:
            self._store.delay(stream, records, at_offset)
        if outcome in (StoreCallOutcome.LOST, StoreCallOutcome.LATE):
            raise StoreSilentError(outcome.value)
        done = self._store.append(stream, records, at_offset)
        if outcome is StoreCallOutcome.UNANSWERED:
            raise StoreSilentError(outcome.value)
        if not done:
            raise StoreConflictError(f"does not end at {at_offset}")

    async def read(self, stream: Stream, from_offset: int, *, wait_s: float = 0.0) -> StreamPage:
        """Return the records from an offset on."""
        await self._require_reachable()
        return self._store.read(stream, from_offset)

    async def newest(self, stream: Stream) -> StreamPage:
        """Return the newest record of each key."""
        await self._require_reachable()
        return self._store.newest(stream)

    async def aclose(self) -> None:
        """Close nothing."""

    async def _require_reachable(self) -> None:
        if self.is_cut_off:
            if self._read_timeout_s:
                await anyio.sleep(self._read_timeout_s)
            raise StoreSilentError("cut off")


def random_outcomes(rng: random.Random, *, failing_share: float) -> Callable[[], StoreCallOutcome]:
    """Return a function that fails a share of the appends, in each way with equal probability."""

    def decide() -> StoreCallOutcome:
        if rng.random() >= failing_share:
            return StoreCallOutcome.ANSWERED
        return rng.choice(
            [StoreCallOutcome.LOST, StoreCallOutcome.UNANSWERED, StoreCallOutcome.LATE]
        )

    return decide
