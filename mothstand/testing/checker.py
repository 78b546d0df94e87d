"""Checks the history of a run of real processes against what must always hold.

It compares what callers got with what engines saw and with what the log says.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..standins.engine import answer_tokens
from .load import CallOutcome, CallRecord

if TYPE_CHECKING:
    from ..core.records import BillLine


@dataclass(frozen=True, slots=True)
class JournalLine:
    """One run of a request at an engine."""

    request_id: str
    prompt: str
    prompt_tokens: int
    completion_tokens: int

    @property
    def tokens(self) -> int:
        """What the run cost."""
        return self.prompt_tokens + self.completion_tokens


@dataclass(frozen=True, slots=True)
class RunHistory:
    """All that is known of a run.

    Parameters
    ----------
    bill_lines
        As the fold of the bills stream accepted them.
    paid_tokens
        The budget's paid total at the end.
    """

    calls: tuple[CallRecord, ...]
    journal: tuple[JournalLine, ...]
    bill_lines: tuple[BillLine, ...]
    paid_tokens: int


def find_violations(history: RunHistory) -> list[str]:
    """Return a sentence for each violation; empty when all holds."""
    return [
        *_overspent(history),
        *_billed_twice(history),
        *_billed_wrongly(history),
        *_false_refusals(history),
        *_wrong_answers(history),
    ]


def _overspent(history: RunHistory) -> list[str]:
    billed = sum(line.tokens for line in history.bill_lines)
    if billed > history.paid_tokens:
        return [f"billed {billed} of {history.paid_tokens} paid"]
    return []


def _billed_twice(history: RunHistory) -> list[str]:
    counts = Counter(line.request_id for line in history.bill_lines)
    return [f"{request} billed {n} times" for request, n in counts.items() if n > 1]


def _billed_wrongly(history: RunHistory) -> list[str]:
    billed = {line.request_id: line.tokens for line in history.bill_lines}
    found = []
    for call in history.calls:
        if call.outcome is not CallOutcome.COMPLETE:
            continue
        tokens = billed.get(call.request_id)
        if tokens is None:
            found.append(f"{call.prompt!r} was answered and never billed")
        elif tokens != call.usage_tokens:
            found.append(f"{call.prompt!r} used {call.usage_tokens}, billed {tokens}")
    ran = {line.request_id.rpartition("/")[0] for line in history.journal}
    found.extend(f"{request} was billed and never ran" for request in billed if request not in ran)
    return found


def _false_refusals(history: RunHistory) -> list[str]:
    seen = {line.prompt for line in history.journal}
    return [
        f"{call.prompt!r} was refused as not run and ran"
        for call in history.calls
        if call.outcome is CallOutcome.REFUSED
        and call.run_state == "not run"
        and call.prompt in seen
    ]


def _wrong_answers(history: RunHistory) -> list[str]:
    found = []
    for call in history.calls:
        expected = "".join(answer_tokens(call.prompt, call.max_tokens))
        if call.outcome is CallOutcome.COMPLETE and call.text != expected:
            found.append(f"{call.prompt!r} got {call.text!r}, not {expected!r}")
        if call.outcome is CallOutcome.BROKEN and not expected.startswith(call.text):
            found.append(f"{call.prompt!r} got another's beginning, {call.text!r}")
    return found
