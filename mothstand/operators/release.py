"""Releases the tokens of a superseded epoch if an operator declares its processes dead."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..core.bills import BilledTotals
from ..core.records import EpochReleased, Outcome, RecordId, SpentTokens
from ..errors import SettingsError
from ..log.codec import encode
from ..peers.failures import PeerError
from ..streams import BILLS_STREAM, ledger_stream
from .log_view import read_all

if TYPE_CHECKING:
    from ..clock import Clock
    from ..core.ledger_fold import LedgerFold
    from ..core.ledger_state import EpochState
    from ..log.client import LogClient
    from ..peers.client import GrpcPeers
    from ..types import BudgetName, Epoch, Member, Shard
    from .log_view import LogView

_PROBE_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class ReleaseResult:
    """Result of a release; if accepted, `returned_tokens` went back to the budgets."""

    outcome: Outcome
    returned_tokens: dict[BudgetName, int]


def declared_spend(view: LogView, fold: LedgerFold, state: EpochState) -> tuple[SpentTokens, ...]:
    """Return an upper bound of the tokens that an epoch spent, from the bills.

    Notes
    -----
    Bills of a budget that no other epoch reported as spent are attributed to this epoch. If the
    bills are complete, the bound can only be too high.
    """
    spent = []
    for budget, grant in sorted(state.grants.items()):
        billed = view.bills.billed.get(budget, BilledTotals()).tokens
        other_tokens = fold.reported_tokens(budget, excluded_epoch=state.epoch)
        min_tokens = grant.min_spent_tokens()
        max_tokens = state.consumed_tokens(budget)
        tokens = min(max(min_tokens, billed - other_tokens), max(min_tokens, max_tokens))
        spent.append(SpentTokens(budget, min(tokens, grant.granted_tokens - grant.returned_tokens)))
    return tuple(spent)


async def release(
    log: LogClient,
    peers: GrpcPeers,
    clock: Clock,
    *,
    operator: str,
    local_member: Member,
    shard_count: int,
    shard: Shard,
    epoch: Epoch,
) -> ReleaseResult:
    """Append a release and return the decision of the fold on it.

    Raises
    ------
    SettingsError
        If the epoch does not exist, one of its processes still answers or old bills are trimmed.
    LogError
        If the log does not answer.
    """
    view = await read_all(log, shard_count)
    fold = view.ledgers.get(shard)
    state = None if fold is None else fold.epochs.get(epoch)
    if fold is None or state is None:
        raise SettingsError(f"epoch {epoch} of shard {shard} is unknown; see 'mothstand audit'")
    await _check_unresponsive(peers, local_member, state)
    page = await log.read(BILLS_STREAM, 1, wait_s=0.0)
    if page.first_offset > 1:
        raise SettingsError(
            f"bills before offset {page.first_offset} are trimmed: what epoch {epoch} spent cannot"
            " be determined; do not release it"
        )
    spent = declared_spend(view, fold, state)
    tokens = {s.budget: state.consumed_tokens(s.budget) - s.tokens for s in spent}
    record = EpochReleased(
        record_id=RecordId(f"{operator}:{uuid.uuid4().hex[:12]}", 1),
        epoch=epoch,
        spent=spent,
        operator=operator,
        time_utc=clock.now().isoformat(timespec="seconds"),
    )
    await log.append(ledger_stream(shard), encode((record,)))
    after = await read_all(log, shard_count)
    entry = next(e for e in after.ledger_entries if e.record.record_id == record.record_id)
    return ReleaseResult(entry.outcome, tokens)


async def _check_unresponsive(peers: GrpcPeers, local_member: Member, state: EpochState) -> None:
    """Raise if a process that has not closed its side answers, since it will close it itself."""
    for member in state.unclosed_members():
        try:
            result = await peers.probe(member.address, local_member, timeout_s=_PROBE_TIMEOUT_S)
        except PeerError:
            continue
        if result.member.incarnation == member.incarnation:
            raise SettingsError(
                f"{member.name} still answers and closes its side by itself;"
                " release what belongs to processes that have ended for good"
            )
