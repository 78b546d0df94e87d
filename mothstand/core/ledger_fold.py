"""Fold of one ledger shard's stream: payments, epochs, grants and spend.

The fold is the only authority on escrow. For every budget it keeps the invariant

    sum over epochs of consumed(epoch)  <=  paid

where an open epoch consumes its whole grant, and a closed one the spend that its two sides
certify. A holder can spend only what an accepted record granted, so spend never exceeds the paid
tokens, whatever the membership view of any process is.
"""

from __future__ import annotations

from ..types import NO_EPOCH, BudgetName, DataCentre, Epoch, Shard
from .ledger_state import EpochState, Grant, epoch_image, epoch_state
from .records import (
    ACCEPTED,
    BudgetPaid,
    BudgetSpend,
    EpochClosed,
    EpochOpened,
    EpochReleased,
    EscrowReturned,
    GrantAsk,
    GrantAsked,
    LedgerRecord,
    LedgerSnapshot,
    Outcome,
    RecordId,
    Side,
    refused,
)

#: Epochs of a data centre that are retained individually, so that late settlements still count.
KEPT_EPOCHS = 4

#: Authors whose last sequence number a snapshot contains; earlier authors have stopped long ago.
KEPT_AUTHORS = 10_000


class LedgerFold:
    """The state of one ledger shard.

    Parameters
    ----------
    shard
        The shard of the stream; an epoch record of another shard is refused.
    """

    def __init__(self, shard: Shard) -> None:
        self.shard = shard
        self.offset = 0
        self.paid_tokens: dict[BudgetName, int] = {}
        self.epochs: dict[Epoch, EpochState] = {}
        self.current: dict[DataCentre, Epoch] = {}
        self.unmet: dict[BudgetName, dict[DataCentre, int]] = {}
        self._retired: dict[BudgetName, int] = {}
        self._consumed: dict[BudgetName, int] = {}
        self._last_sequence: dict[str, int] = {}

    def apply(self, offset: int, record: LedgerRecord) -> Outcome:
        """Apply the record at `offset` and return whether it was accepted.

        Records must be applied in the order of the stream; several may share one offset.
        """
        self.offset = max(self.offset, offset)
        if not self._is_new(record.record_id):
            return refused("appended before, under the same record id")
        match record:
            case BudgetPaid():
                return self._pay(record)
            case EpochOpened():
                return self._open(Epoch(offset), record)
            case GrantAsked():
                return self._grant(record)
            case EscrowReturned():
                return self._return(record)
            case EpochClosed():
                return self._close(record)
            case EpochReleased():
                return self._release(record)

    def current_epoch(self, data_centre: DataCentre) -> EpochState | None:
        """Return the data centre's current epoch, or None before its first."""
        epoch = self.current.get(data_centre)
        return None if epoch is None else self.epochs[epoch]

    def retired_tokens(self, budget: BudgetName) -> int:
        """Return what the epochs consumed that are retained only as a sum."""
        return self._retired.get(budget, 0)

    def ungranted_tokens(self, budget: BudgetName) -> int:
        """Return the paid tokens that are granted to no epoch."""
        return self.paid_tokens.get(budget, 0) - self._consumed.get(budget, 0)

    def reported_tokens(self, budget: BudgetName, *, without: Epoch = NO_EPOCH) -> int:
        """Return a lower bound of what the epochs have spent of a budget.

        Parameters
        ----------
        excluded_epoch
            An epoch to leave out because the caller has its account.
        """
        total = self._retired.get(budget, 0)
        for state in self.epochs.values():
            grant = state.grants.get(budget)
            if grant is None or state.epoch == without:
                continue
            # Until both sides have closed, the last report is the only lower bound.
            total += state.consumed_tokens(budget) if state.settled else grant.reported_tokens
        return total

    def stranded_tokens(self, budget: BudgetName) -> int:
        """Return the tokens that superseded epochs hold back without a report of their spend."""
        total = 0
        for state in self.stranded_epochs():
            grant = state.grants.get(budget)
            if grant is not None:
                total += state.consumed_tokens(budget) - grant.reported_tokens
        return max(0, total)

    def stranded_epochs(self) -> list[EpochState]:
        """Return the superseded epochs that a side has not closed."""
        return [
            state
            for epoch, state in sorted(self.epochs.items())
            if self.current.get(state.data_centre) != epoch and not state.settled
        ]

    def _is_new(self, record_id: RecordId) -> bool:
        last = self._last_sequence.get(record_id.author, 0)
        if record_id.sequence <= last:
            return False
        self._last_sequence[record_id.author] = record_id.sequence
        return True

    def _pay(self, record: BudgetPaid) -> Outcome:
        paid = self.paid_tokens.get(record.budget, 0)
        if record.paid_tokens <= paid:
            return refused(f"paid_tokens {record.paid_tokens} is not above {paid}")
        self.paid_tokens[record.budget] = record.paid_tokens
        return ACCEPTED

    def _open(self, epoch: Epoch, record: EpochOpened) -> Outcome:
        if record.shard != self.shard:
            return refused(f"shard {record.shard} is not shard {self.shard}")
        current = self.current.get(record.data_centre, NO_EPOCH)
        if record.prior_epoch != current:
            return refused(f"prior epoch {record.prior_epoch} is not the current {current}")
        if epoch in self.epochs:
            return refused(f"epoch {epoch} was opened by another record of the same append")
        self.epochs[epoch] = EpochState(
            epoch=epoch,
            data_centre=record.data_centre,
            holder=record.holder,
            witness=record.witness,
            prior_epoch=record.prior_epoch,
        )
        self.current[record.data_centre] = epoch
        self._retire(record.data_centre)
        return ACCEPTED

    def _retire(self, data_centre: DataCentre) -> None:
        """Replace old settled epochs by their sum, so that memory does not grow with takeovers."""
        mine = sorted(e for e, state in self.epochs.items() if state.data_centre == data_centre)
        for epoch in mine[:-KEPT_EPOCHS]:
            state = self.epochs[epoch]
            if not state.settled:
                continue
            for budget in state.grants:
                consumed = state.consumed_tokens(budget)
                self._retired[budget] = self._retired.get(budget, 0) + consumed
            del self.epochs[epoch]

    def snapshot(self, record_id: RecordId) -> LedgerSnapshot:
        """Return the state as a record."""
        return LedgerSnapshot(
            record_id=record_id,
            at_offset=self.offset,
            paid=tuple(sorted(self.paid_tokens.items())),
            retired=tuple(sorted(self._retired.items())),
            epochs=tuple(epoch_image(state) for _, state in sorted(self.epochs.items())),
            current=tuple(sorted(self.current.items())),
            last_sequences=tuple(self._last_sequence.items())[-KEPT_AUTHORS:],
        )

    @classmethod
    def load(cls, shard: Shard, snapshot: LedgerSnapshot) -> LedgerFold:
        """Return the fold with the state of a snapshot."""
        fold = cls(shard)
        fold.offset = snapshot.at_offset
        fold.paid_tokens = dict(snapshot.paid)
        fold._retired = dict(snapshot.retired)
        fold.epochs = {image.epoch: epoch_state(image) for image in snapshot.epochs}
        fold.current = dict(snapshot.current)
        fold._last_sequence = dict(snapshot.last_sequences)
        fold._consumed = dict(fold._retired)
        for state in fold.epochs.values():
            for budget in state.grants:
                consumed = fold._consumed.get(budget, 0) + state.consumed_tokens(budget)
                fold._consumed[budget] = consumed
        return fold

    def _grant(self, record: GrantAsked) -> Outcome:
        state = self.epochs.get(record.epoch)
        if state is None or self.current.get(state.data_centre) != record.epoch:
            return refused(f"epoch {record.epoch} is not current")
        if state.closed:
            return refused(f"epoch {record.epoch} is closed")
        for ask in record.asks:
            self._grant_one(state, ask)
        return ACCEPTED

    def _grant_one(self, state: EpochState, ask: GrantAsk) -> None:
        grant = state.grants.setdefault(ask.budget, Grant())
        grant.reported_tokens = max(grant.reported_tokens, ask.spent_tokens)
        wanted = max(0, ask.tokens)
        given = min(wanted, max(0, self.ungranted_tokens(ask.budget)))
        grant.granted_tokens += given
        allowance = min(given, max(0, ask.allowance_tokens))
        grant.allowance_tokens += allowance
        grant.promotion_tokens += min(given - allowance, max(0, ask.promotion_tokens))
        self._consumed[ask.budget] = self._consumed.get(ask.budget, 0) + given
        self._note_unmet(ask.budget, state.data_centre, wanted - given)

    def _note_unmet(self, budget: BudgetName, data_centre: DataCentre, tokens: int) -> None:
        waiting = self.unmet.setdefault(budget, {})
        waiting.pop(data_centre, None)
        if tokens > 0:
            waiting[data_centre] = tokens
        if not waiting:
            del self.unmet[budget]

    def _return(self, record: EscrowReturned) -> Outcome:
        state = self.epochs.get(record.epoch)
        if state is None or state.closed:
            # A closed side counted these tokens as spent; returning them now would count them
            # twice.
            return refused(f"epoch {record.epoch} is closed or unknown")
        grant = state.grants.get(record.budget)
        held = 0 if grant is None else grant.granted_tokens - grant.returned_tokens
        if grant is None or not 0 < record.tokens <= held:
            return refused(f"returned tokens {record.tokens} are not within the {held} held")
        grant.returned_tokens += record.tokens
        self._consumed[record.budget] -= record.tokens
        return ACCEPTED

    def _close(self, record: EpochClosed) -> Outcome:
        state = self.epochs.get(record.epoch)
        if state is None:
            return refused(f"epoch {record.epoch} is unknown")
        speaker = state.holder if record.side is Side.HOLDER else state.witness
        if speaker is None or speaker.incarnation != record.record_id.author:
            # A process that restarted at the same address has lost its account and would report
            # that nothing was spent.
            return refused(f"author is not the epoch's {record.side.value}")
        if state.released:
            # The declared spend is one sum for both sides; a side that closes now could not lower
            # only its own part of it.
            return refused(f"epoch {record.epoch} was released")
        self._add_consumed(state, sign=-1)
        self._take_spends(state, record)
        self._add_consumed(state, sign=1)
        return ACCEPTED

    def _add_consumed(self, state: EpochState, *, sign: int) -> None:
        """Subtract an epoch from the budgets' sums (-1) before its sides change, or add it (1)."""
        for budget in state.grants:
            self._consumed[budget] += sign * state.consumed_tokens(budget)

    def _release(self, record: EpochReleased) -> Outcome:
        """Apply the spend that an operator declares for an epoch that a side has not closed."""
        state = self.epochs.get(record.epoch)
        if state is None:
            return refused(f"epoch {record.epoch} is unknown")
        if self.current.get(state.data_centre) == record.epoch:
            return refused(f"epoch {record.epoch} is current: its leaseholder may spend")
        if state.settled:
            return refused(f"epoch {record.epoch} holds nothing back")
        declared = {spent.budget: spent.tokens for spent in record.spent}
        for budget, grant in state.grants.items():
            least = grant.least_spent_tokens()
            most = grant.granted_tokens - grant.returned_tokens
            if not least <= declared.get(budget, 0) <= most:
                said = declared.get(budget, 0)
                return refused(f"{budget}: {said} spent is not within {least} to {most}")
        self._add_consumed(state, sign=-1)
        for budget, grant in state.grants.items():
            # The spend of a side includes returned tokens.
            tokens = declared.get(budget, 0) + grant.returned_tokens
            grant.holder = grant.witness = BudgetSpend(budget, tokens, 0)
        state.holder_closed = state.witness_closed = state.released = True
        self._add_consumed(state, sign=1)
        return ACCEPTED

    def _take_spends(self, state: EpochState, record: EpochClosed) -> None:
        if record.side is Side.HOLDER:
            first = not state.holder_closed
            state.holder_closed = True
        else:
            first = not state.witness_closed
            state.witness_closed = True
        for spend in record.spends:
            grant = state.grants.get(spend.budget)
            if grant is None:
                continue
            said = grant.holder if record.side is Side.HOLDER else grant.witness
            kept = spend if first or said is None else _lower(said, spend)
            if not first and said is None:
                continue
            if record.side is Side.HOLDER:
                grant.holder = kept
            else:
                grant.witness = kept


def _lower(said: BudgetSpend, now: BudgetSpend) -> BudgetSpend:
    """Return the minimum of two reports of one side; settling can only lower a closed side."""
    return BudgetSpend(
        budget=said.budget,
        witnessed_tokens=min(said.witnessed_tokens, now.witnessed_tokens),
        own_tokens=min(said.own_tokens, now.own_tokens),
    )
