"""Derives from instances' logs where the tokens of budgets went and why requests were refused.

The log lines of instances are enough to follow each budget: the tokens paid (`config_in_force`),
claimed and used by each start of an instance (`claims_written`, `claims_reclaimed`), consumed by
requests (`request_answered`, `request_left`), and the refused requests (`request_refused`).
"""

from __future__ import annotations

import json
import re
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from ..core.claims import Holder
from ..events import Event

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

#: Line of an event: any prefix of a collector, then time of day, number, name and fields.
_LINE = re.compile(r"[IWEF]\d{4} (\d\d):(\d\d):(\d\d\.\d+) .*?\] MS(\d+) \w+ (.*)$")

_NEEDED_AND_HELD = re.compile(r"(\S+): (\d+) tokens, (-?\d+) held here")

_DAY_S = 86_400.0


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """Event of a log; `at_s` is the time of day."""

    at_s: float
    number: int
    fields: dict[str, Any]


@dataclass(slots=True)
class HolderAccount:
    """Claim of one start of an instance on a budget, as last logged."""

    claimed_tokens: int = 0
    spent_tokens: int = 0
    reserved_tokens: int = 0
    given_tokens: int = 0
    received_tokens: int = 0
    uncertain_tokens: int = 0
    reclaimed_at_s: float | None = None

    @property
    def unused_tokens(self) -> int:
        """Claimed and received tokens, less those spent, uncertain, reserved or given away."""
        unavailable_tokens = (
            self.spent_tokens + self.uncertain_tokens + self.reserved_tokens + self.given_tokens
        )
        return max(0, self.claimed_tokens - unavailable_tokens + self.received_tokens)


@dataclass(slots=True)
class BudgetAccount:
    """Tokens of one budget over all instances."""

    prepaid_tokens: int = 0
    consumed_tokens: int = 0
    uncertain_tokens: int = 0
    holders: dict[Holder, HolderAccount] = field(default_factory=lambda: defaultdict(HolderAccount))
    refusals: Counter[str] = field(default_factory=Counter)

    @property
    def free_tokens(self) -> int:
        """Tokens that no instance has claimed."""
        return self.prepaid_tokens - sum(h.claimed_tokens for h in self.holders.values())


@dataclass(frozen=True, slots=True)
class EvacuationChange:
    """Begin or end of an evacuation, at an offset of the operators' stream."""

    data_centre: str
    is_evacuated: bool
    offset: int


@dataclass(slots=True)
class Explanation:
    """Findings from the logs of a fleet.

    Parameters
    ----------
    latest_incarnations
        The latest start of each instance.
    refusals_by_second
        Refusals by kind, for each second of the day.
    evacuations
        Times at which the instances learnt of each begin and end of an evacuation.
    parse_errors
        Messages on lines that look like events and cannot be read.
    """

    budgets: dict[str, BudgetAccount] = field(default_factory=lambda: defaultdict(BudgetAccount))
    latest_incarnations: dict[str, str] = field(default_factory=dict)
    refusals_by_second: dict[int, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    evacuations: dict[EvacuationChange, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    parse_errors: list[str] = field(default_factory=list)

    def apply(self, event: LoggedEvent) -> None:
        """Apply one event; events must be applied in order of time."""
        fields = event.fields
        if event.number == Event.INSTANCE_STARTED.number:
            self.latest_incarnations[fields["instance"]] = fields["incarnation"]
        elif event.number == Event.CONFIG_IN_FORCE.number:
            for budget, tokens in fields.get("prepaid", {}).items():
                account = self.budgets[budget]
                account.prepaid_tokens = max(account.prepaid_tokens, tokens)
        elif event.number in (Event.CLAIMS_WRITTEN.number, Event.CLAIMS_RECLAIMED.number):
            self._apply_claims(event)
        elif event.number == Event.TOKENS_HANDED_OVER.number:
            holder = Holder(*fields["holder"])
            self.budgets[fields["budget"]].holders[holder].given_tokens += fields["tokens"]
        elif event.number in (Event.REQUEST_ANSWERED.number, Event.REQUEST_LEFT.number):
            uncertain_tokens = fields.get("tokens_in_doubt", 0)
            self.budgets[fields["workspace"]].consumed_tokens += fields["tokens"] - uncertain_tokens
            self.budgets[fields["workspace"]].uncertain_tokens += uncertain_tokens
        elif event.number == Event.REQUEST_REFUSED.number:
            self._apply_refusal(event)
        elif event.number in (Event.EVACUATION_BEGAN.number, Event.EVACUATION_ENDED.number):
            is_evacuated = event.number == Event.EVACUATION_BEGAN.number
            change = EvacuationChange(fields["data_centre"], is_evacuated, fields["offset"])
            self.evacuations[change].append(event.at_s)

    def is_dead(self, holder: Holder) -> bool:
        """Return whether a later start of the holder's instance is known."""
        latest = self.latest_incarnations.get(holder.instance)
        return latest is not None and latest != holder.incarnation

    def _apply_claims(self, event: LoggedEvent) -> None:
        holder = Holder(*event.fields["holder"])
        is_own = event.number == Event.CLAIMS_WRITTEN.number
        for budget, claim in event.fields["claims"].items():
            account = self.budgets[budget].holders[holder]
            account.claimed_tokens = claim["claimed"]
            if not is_own:
                account.reclaimed_at_s = event.at_s
                continue
            account.spent_tokens = claim["spent"]
            account.reserved_tokens = claim["reserved"]
            account.given_tokens = claim["given"]
            account.received_tokens = claim["received"]
            account.uncertain_tokens = claim.get("in_doubt", 0)

    def _apply_refusal(self, event: LoggedEvent) -> None:
        kind = event.fields["kind"]
        match = _NEEDED_AND_HELD.match(event.fields.get("detail", ""))
        if match is not None:
            budget, needed, held = match.group(1), int(match.group(2)), int(match.group(3))
            kind = "enough held here" if held >= needed else "too little held here"
            self.budgets[budget].refusals[kind] += 1
        elif kind == "budget_exhausted":
            self.budgets[event.fields["detail"].partition(":")[0]].refusals[kind] += 1
        self.refusals_by_second[int(event.at_s)][kind] += 1


def read_events(lines: Iterable[str], name: str, parse_errors: list[str]) -> Iterator[LoggedEvent]:
    """Yield the events of a log; lines of other programs are skipped.

    Parameters
    ----------
    name
        Name of the file, for messages on lines that cannot be read.
    parse_errors
        List that receives a message for each event that is cut off or not JSON.
    """
    for number, line in enumerate(lines, start=1):
        match = _LINE.search(line)
        if match is None:
            continue
        hours, minutes, seconds, event_number, text = match.groups()
        try:
            fields = json.loads(text)
        except ValueError:
            parse_errors.append(
                f"{name}:{number}: an event that is cut off or not JSON: {text[:60]!r}"
            )
            continue
        at_s = int(hours) * 3600 + int(minutes) * 60 + float(seconds)
        yield LoggedEvent(at_s, int(event_number), fields)


def explain(logs: Mapping[str, Iterable[str]]) -> Explanation:
    """Return the findings from the logs of instances, given by name."""
    explanation = Explanation()
    events: list[tuple[str, LoggedEvent]] = []
    for name, lines in logs.items():
        events += [(name, event) for event in read_events(lines, name, explanation.parse_errors)]
    # A day's logs may span midnight; events have no date.
    if events and max(e.at_s for _, e in events) - min(e.at_s for _, e in events) > _DAY_S / 2:
        events.sort(key=lambda pair: (pair[1].at_s < _DAY_S / 2, pair[1].at_s))
    else:
        events.sort(key=lambda pair: pair[1].at_s)
    for name, event in events:
        try:
            explanation.apply(event)
        except (KeyError, TypeError, ValueError) as error:
            explanation.parse_errors.append(
                f"{name}: MS{event.number} of another version: {error!r}"
            )
    return explanation


_BUDGET_COLUMNS = (
    "prepaid",
    "consumed",
    "in doubt",
    "held",
    "free",
    "stranded",
    "in flight",
    "refused",
)


def explanation_lines(explanation: Explanation) -> Iterator[str]:
    """Yield the findings as lines of text."""
    yield f"{'budget':16}" + "".join(f"{name:>11}" for name in _BUDGET_COLUMNS)
    budgets = [(name, b) for name, b in explanation.budgets.items() if b.prepaid_tokens]
    for name, budget in sorted(budgets, key=lambda pair: -pair[1].prepaid_tokens):
        dead = [h for holder, h in budget.holders.items() if explanation.is_dead(holder)]
        alive = [h for holder, h in budget.holders.items() if not explanation.is_dead(holder)]
        figures = (
            budget.prepaid_tokens,
            budget.consumed_tokens,
            budget.uncertain_tokens,
            sum(h.unused_tokens for h in alive),
            budget.free_tokens,
            sum(h.unused_tokens for h in dead),
            sum(h.reserved_tokens for h in dead),
            budget.refusals.total(),
        )
        reasons = ", ".join(f"{count} {kind}" for kind, count in budget.refusals.most_common())
        yield f"{name:16}" + "".join(f"{figure:>11}" for figure in figures) + f"  {reasons}"
    yield from _stranded_lines(explanation)
    yield from _evacuation_lines(explanation)
    yield "refused, by second:"
    for second, kinds in sorted(explanation.refusals_by_second.items()):
        counts = ", ".join(f"{count} {kind}" for kind, count in kinds.most_common())
        yield f"  {_clock_time(second)}  {counts}"
    yield from explanation.parse_errors


def _clock_time(second: int) -> str:
    return f"{second // 3600:02}:{second // 60 % 60:02}:{second % 60:02}"


def _evacuation_lines(explanation: Explanation) -> Iterator[str]:
    for change, learnt_s in explanation.evacuations.items():
        kind = "began" if change.is_evacuated else "ended"
        yield (
            f"evacuation of {change.data_centre} {kind} at offset {change.offset}: known to "
            f"{len(learnt_s)} instances, {_clock_time(int(min(learnt_s)))} to "
            f"{_clock_time(int(max(learnt_s)))}"
        )


#: Maximum of stranded claims to list: the 12 largest show where a day's tokens are.
_MAX_STRANDED_LINES = 12


def _stranded_lines(explanation: Explanation) -> Iterator[str]:
    stranded = [
        (account.unused_tokens, name, holder, account)
        for name, budget in explanation.budgets.items()
        for holder, account in budget.holders.items()
        if explanation.is_dead(holder) and account.unused_tokens
    ]
    yield "stranded with ended processes, the largest:"
    for tokens, name, holder, account in sorted(stranded, reverse=True)[:_MAX_STRANDED_LINES]:
        proof = "no proof of its end" if account.reclaimed_at_s is None else "rest given back"
        yield f"  {tokens:>9} of {name} with {holder.instance}/{holder.incarnation}: {proof}"
