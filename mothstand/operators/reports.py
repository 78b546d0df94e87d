"""What ``status`` and ``audit`` print."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.bills import BilledTotals
from ..core.membership import shard_of
from ..core.records import (
    BudgetPaid,
    EpochClosed,
    EpochOpened,
    EpochReleased,
    EscrowReturned,
    GrantAsked,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..core.config import AuditEntry
    from ..core.records import EngineOrdered, LedgerRecord
    from .log_view import LedgerEntry, LogView


def budget_lines(view: LogView) -> Iterator[str]:
    """Return a line for each budget: paid, billed, held, free, stranded."""
    yield f"{'budget':24} {'paid':>12} {'billed':>12} {'held':>12} {'free':>12} {'stranded':>10}"
    for name in sorted(view.config.state.config.budgets):
        fold = view.ledgers[shard_of(name, len(view.ledgers))]  # type: ignore[index]
        paid = fold.paid_tokens.get(name, 0)
        billed = view.bills.billed.get(name, BilledTotals())
        free = fold.ungranted_tokens(name)
        held = paid - free - billed.tokens
        yield (
            f"{name:24} {paid:12} {billed.tokens:12} {held:12} {free:12}"
            f" {fold.stranded_tokens(name):10}"
        )


def epoch_lines(view: LogView) -> Iterator[str]:
    """Return a line for each shard's current epoch in each data centre."""
    for shard, fold in sorted(view.ledgers.items()):
        for data_centre, epoch in sorted(fold.current_epochs.items()):
            state = fold.epochs[epoch]
            witness = state.witness.name if state.witness else "none"
            yield f"shard {shard} {data_centre}: {state.holder.name} leads, witness {witness}"


def stranded_lines(view: LogView) -> Iterator[str]:
    """Return a line for each superseded epoch that holds tokens back."""
    for shard, fold in sorted(view.ledgers.items()):
        for state in fold.stranded_epochs():
            held = sum(
                state.consumed_tokens(budget) - grant.min_spent_tokens()
                for budget, grant in state.grants.items()
            )
            unresponsive = ", ".join(member.name for member in state.unclosed_members())
            yield (
                f"stranded: shard {shard} epoch {state.epoch} {state.data_centre}"
                f" up to {held} tokens, silent: {unresponsive}"
            )


def audit_lines(view: LogView, *, contains: str = "") -> Iterator[str]:
    """Return the audit trail: of the configuration, engines, ledger; filtered by a text."""
    lines = [_config_line(entry) for entry in view.config.audit]
    lines += [_order_line(offset, record) for offset, record in view.orders]
    lines += [_ledger_line(entry) for entry in view.ledger_entries]
    return (line for line in lines if contains in line)


def _config_line(entry: AuditEntry) -> str:
    decided = "accepted" if entry.outcome.accepted else f"refused: {entry.outcome.reason}"
    changes = "; ".join(
        f"{change.section}: "
        + ("removed" if change.values is None else " ".join(f"{k}={v}" for k, v in change.values))
        for change in entry.changes
    )
    return (
        f"config@{entry.offset} {entry.time_utc} {entry.operator} base {entry.base_offset}"
        f" {decided} [{changes}]"
    )


def _order_line(offset: int, record: EngineOrdered) -> str:
    return (
        f"orders@{offset} {record.time_utc} {record.record_id.author} ordered {record.engine}"
        f" under config@{record.fencing} {record.outcome} [{record.setup}]"
    )


def _ledger_line(entry: LedgerEntry) -> str:
    decided = "" if entry.outcome.accepted else f" refused: {entry.outcome.reason}"
    return f"ledger-{entry.shard}@{entry.offset} {_describe(entry.record)}{decided}"


def _describe(record: LedgerRecord) -> str:
    author = record.record_id.author
    match record:
        case BudgetPaid():
            return f"{author} paid {record.budget} up to {record.paid_tokens}"
        case EpochOpened():
            witness = record.witness.name if record.witness else "none"
            return (
                f"{author} epoch opened in {record.data_centre} after {record.prior_epoch}:"
                f" holder {record.holder.name}, witness {witness}"
            )
        case GrantAsked():
            asks = ", ".join(f"{ask.budget} {ask.tokens}" for ask in record.asks)
            return f"{author} grant asked in epoch {record.epoch}: {asks}"
        case EscrowReturned():
            return f"{author} returned {record.tokens} of {record.budget} from {record.epoch}"
        case EpochClosed():
            spends = ", ".join(
                f"{s.budget} {s.witnessed_tokens}+{s.own_tokens}" for s in record.spends
            )
            return f"{author} epoch {record.epoch} closed by its {record.side.value}: {spends}"
        case EpochReleased():
            declared = ", ".join(f"{s.budget} {s.tokens}" for s in record.spent)
            return f"{record.time_utc} {author} released epoch {record.epoch}, spent: {declared}"
