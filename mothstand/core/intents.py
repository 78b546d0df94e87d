"""The fold of the ``intents`` stream: who may run a request that must not be repeated."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .records import ACCEPTED, IntentRecord, Outcome, RunEnded, RunIntended, refused

if TYPE_CHECKING:
    from ..types import Member

#: Status of a run that its owner gave up before any byte left: the key is free again.
RELEASED = 0

#: Status of a run whose upstream got the request and gave no answer.
OUTCOME_UNKNOWN = -1


@dataclass(slots=True)
class Intent:
    """The claim to the only run of a request.

    Parameters
    ----------
    status
        HTTP status that the run ended with, or `OUTCOME_UNKNOWN`; None while it may be running.
    """

    owner: Member
    body_digest: str
    offset: int
    status: int | None = None


class IntentFold:
    """First claim of a key wins, in every process alike.

    Parameters
    ----------
    kept_records
        How many claims are remembered, the latest ones. A retry after that is a new request.
    """

    def __init__(self, max_records: int = 200_000) -> None:
        self._max_records = max_records
        self._intents: dict[str, Intent] = {}
        self._last_sequence: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._intents)

    def find(self, request_key: str) -> Intent | None:
        """Return the claim of a key, or None."""
        return self._intents.get(request_key)

    def apply(self, offset: int, record: IntentRecord) -> Outcome:
        """Apply the record at `offset` and return what was decided about it."""
        author = record.record_id.author
        if record.record_id.sequence <= self._last_sequence.get(author, 0):
            return refused("appended before, under the same record id")
        self._last_sequence[author] = record.record_id.sequence
        if isinstance(record, RunIntended):
            return self._apply_claim(offset, record)
        return self._apply_end(record)

    def _apply_claim(self, offset: int, record: RunIntended) -> Outcome:
        if record.request_key in self._intents:
            return refused("claimed before")
        self._intents[record.request_key] = Intent(record.owner, record.body_digest, offset)
        while len(self._intents) > self._max_records:
            del self._intents[next(iter(self._intents))]
        return ACCEPTED

    def _apply_end(self, record: RunEnded) -> Outcome:
        intent = self._intents.get(record.request_key)
        if intent is None or intent.owner.incarnation != record.record_id.author:
            return refused("only the claim's owner ends it")
        if record.status == RELEASED:
            del self._intents[record.request_key]
        else:
            intent.status = record.status
        return ACCEPTED
