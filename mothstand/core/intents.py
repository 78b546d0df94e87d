"""Fold of the ``intents`` stream, which decides which instance runs a non-repeatable request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .records import ACCEPTED, IntentRecord, Outcome, RunEnded, RunIntended, refused

if TYPE_CHECKING:
    from ..types import Member

#: Status of a run that its owner gave up before it sent any byte. The key is free again.
RELEASED = 0

#: Status of a run whose upstream received the request and gave no answer.
OUTCOME_UNKNOWN = -1


@dataclass(slots=True)
class Intent:
    """A claim to the only run of a request.

    Parameters
    ----------
    status
        HTTP status that the run ended with, or `OUTCOME_UNKNOWN`; None while possibly running.
    """

    owner: Member
    body_digest: str
    offset: int
    status: int | None = None


class IntentFold:
    """Accepts the first claim of each key, identically in every process.

    Parameters
    ----------
    max_records
        Number of latest claims to retain. A retry of an older request counts as a new request.
    """

    def __init__(self, max_records: int = 200_000) -> None:
        self._max_records = max_records
        self._intents: dict[str, Intent] = {}
        self._last_sequence: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._intents)

    def find(self, request_key: str) -> Intent | None:
        """Return the claim of a key, or None if there is none."""
        return self._intents.get(request_key)

    def apply(self, offset: int, record: IntentRecord) -> Outcome:
        """Apply the record at `offset` and return whether it was accepted."""
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
