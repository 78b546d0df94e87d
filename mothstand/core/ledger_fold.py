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
RETAINED_EPOCHS = 4

#: Authors whose last sequence number a snapshot contains; earlier authors have stopped long ago.
MAX_SNAPSHOT_AUTHORS = 10_000


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
        self.current_epochs: dict[DataCentre, Epoch] = {}
        self.unfulfilled_tokens: dict[BudgetName, dict[DataCentre, int]] = {}
        self._retired_tokens: dict[BudgetName, int] = {}
        self._consumed_tokens: dict[BudgetName, int] = {}
        self._last_sequence: dict[str, int] = {}

    def apply(self, offset: int, record: LedgerRecord) -> Outcome:
        """Apply the record at `offset` and return whether it was accepted.

        Records must be applied in the order of the stream; several may share one offset.
        """
        self.offset = max(self.offset, offset)
        if not self._accept_sequence(record.record_id):
            return refused("appended before, under the same record id")
        match record:
            case BudgetPaid():
                return self._apply_payment(record)
            case EpochOpened():
                return self._open_epoch(Epoch(offset), record)
            case GrantAsked():
                return self._apply_asks(record)
            case EscrowReturned():
                return self._return_escrow(record)
            case EpochClosed():
                return self._close_epoch(record)
            case EpochReleased():
                return self._release_epoch(record)

    def current_epoch(self, data_centre: DataCentre) -> EpochState | None:
        """Return the data centre's current epoch, or None before its first."""
        epoch = self.current_epochs.get(data_centre)
        return None if epoch is None else self.epochs[epoch]

    def retired_tokens(self, budget: BudgetName) -> int:
        """Return the total consumed by the epochs that are retained only as a sum."""
        return self._retired_tokens.get(budget, 0)

    def ungranted_tokens(self, budget: BudgetName) -> int:
        """Return the paid tokens that are granted to no epoch."""
        return self.paid_tokens.get(budget, 0) - self._consumed_tokens.get(budget, 0)

    def reported_tokens(self, budget: BudgetName, *, excluded_epoch: Epoch = NO_EPOCH) -> int:
        """Return a lower bound of what the epochs have spent of a budget.

        Parameters
        ----------
        excluded_epoch
            An epoch to leave out because the caller has its account.
        """
        total = self._retired_tokens.get(budget, 0)
        for state in self.epochs.values():
            grant = state.grants.get(budget)
            if grant is None or state.epoch == excluded_epoch:
                continue
            # Until both sides have closed, the last report is the only lower bound.
            total += state.consumed_tokens(budget) if state.is_settled else grant.reported_tokens
        return total

    def stranded_tokens(self, budget: BudgetName) -> int:
        """Return the tokens beyond the reported spend that superseded epochs may never return."""
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
            if self.current_epochs.get(state.data_centre) != epoch and not state.is_settled
        ]

    def _accept_sequence(self, record_id: RecordId) -> bool:
        last = self._last_sequence.get(record_id.author, 0)
        if record_id.sequence <= last:
            return False
        self._last_sequence[record_id.author] = record_id.sequence
        return True

    def _apply_payment(self, record: BudgetPaid) -> Outcome:
        paid = self.paid_tokens.get(record.budget, 0)
        if record.paid_tokens <= paid:
            return refused(f"paid_tokens {record.paid_tokens} is not above {paid}")
        self.paid_tokens[record.budget] = record.paid_tokens
        return ACCEPTED

    def _open_epoch(self, epoch: Epoch, record: EpochOpened) -> Outcome:
        if record.shard != self.shard:
            return refused(f"shard {record.shard} is not shard {self.shard}")
        current = self.current_epochs.get(record.data_centre, NO_EPOCH)
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
        self.current_epochs[record.data_centre] = epoch
        self._retire_epochs(record.data_centre)
        return ACCEPTED

    def _retire_epochs(self, data_centre: DataCentre) -> None:
        """Replace old settled epochs by their sum, so that memory does not grow with takeovers."""
        own_epochs = sorted(
            e for e, state in self.epochs.items() if state.data_centre == data_centre
        )
        for epoch in own_epochs[:-RETAINED_EPOCHS]:
            state = self.epochs[epoch]
            if not state.is_settled:
                continue
            for budget in state.grants:
                consumed = state.consumed_tokens(budget)
                self._retired_tokens[budget] = self._retired_tokens.get(budget, 0) + consumed
            del self.epochs[epoch]

    def snapshot(self, record_id: RecordId) -> LedgerSnapshot:
        """Return the state as a record."""
        return LedgerSnapshot(
            record_id=record_id,
            at_offset=self.offset,
            paid=tuple(sorted(self.paid_tokens.items())),
            retired=tuple(sorted(self._retired_tokens.items())),
            epochs=tuple(epoch_image(state) for _, state in sorted(self.epochs.items())),
            current=tuple(sorted(self.current_epochs.items())),
            last_sequences=tuple(self._last_sequence.items())[-MAX_SNAPSHOT_AUTHORS:],
        )

    @classmethod
    def load(cls, shard: Shard, snapshot: LedgerSnapshot) -> LedgerFold:
        """Return the fold with the state of a snapshot."""
        fold = cls(shard)
        fold.offset = snapshot.at_offset
        fold.paid_tokens = dict(snapshot.paid)
        fold._retired_tokens = dict(snapshot.retired)
        fold.epochs = {image.epoch: epoch_state(image) for image in snapshot.epochs}
        fold.current_epochs = dict(snapshot.current)
        fold._last_sequence = dict(snapshot.last_sequences)
        fold._consumed_tokens = dict(fold._retired_tokens)
        for state in fold.epochs.values():
            for budget in state.grants:
                consumed = fold._consumed_tokens.get(budget, 0) + state.consumed_tokens(budget)
                fold._consumed_tokens[budget] = consumed
        return fold

    def _apply_asks(self, record: GrantAsked) -> Outcome:
        state = self.epochs.get(record.epoch)
        if state is None or self.current_epochs.get(state.data_centre) != record.epoch:
            return refused(f"epoch {record.epoch} is not current")
        if state.is_closed:
            return refused(f"epoch {record.epoch} is closed")
        for ask in record.asks:
            self._grant_ask(state, ask)
        return ACCEPTED

    def _grant_ask(self, state: EpochState, ask: GrantAsk) -> None:
        grant = state.grants.setdefault(ask.budget, Grant())
        grant.reported_tokens = max(grant.reported_tokens, ask.spent_tokens)
        wanted = max(0, ask.tokens)
        given = min(wanted, max(0, self.ungranted_tokens(ask.budget)))
        grant.granted_tokens += given
        allowance = min(given, max(0, ask.allowance_tokens))
        grant.allowance_tokens += allowance
        grant.promotion_tokens += min(given - allowance, max(0, ask.promotion_tokens))
        self._consumed_tokens[ask.budget] = self._consumed_tokens.get(ask.budget, 0) + given
        self._set_unfulfilled(ask.budget, state.data_centre, wanted - given)

    def _set_unfulfilled(self, budget: BudgetName, data_centre: DataCentre, tokens: int) -> None:
        by_data_centre = self.unfulfilled_tokens.setdefault(budget, {})
        by_data_centre.pop(data_centre, None)
        if tokens > 0:
            by_data_centre[data_centre] = tokens
        if not by_data_centre:
            del self.unfulfilled_tokens[budget]

    def _return_escrow(self, record: EscrowReturned) -> Outcome:
        state = self.epochs.get(record.epoch)
        if state is None or state.is_closed:
            # A closed side counted these tokens as spent; returning them now would count them
            # twice.
            return refused(f"epoch {record.epoch} is closed or unknown")
        grant = state.grants.get(record.budget)
        held = 0 if grant is None else grant.granted_tokens - grant.returned_tokens
        if grant is None or not 0 < record.tokens <= held:
            return refused(f"returned tokens {record.tokens} are not within the {held} held")
        grant.returned_tokens += record.tokens
        self._consumed_tokens[record.budget] -= record.tokens
        return ACCEPTED

    def _close_epoch(self, record: EpochClosed) -> Outcome:
        state = self.epochs.get(record.epoch)
        if state is None:
            return refused(f"epoch {record.epoch} is unknown")
        member = state.holder if record.side is Side.HOLDER else state.witness
        if member is None or member.incarnation != record.record_id.author:
            # A process that restarted at the same address has lost its account and would report
            # that nothing was spent.
            return refused(f"author is not the epoch's {record.side.value}")
        if state.released:
            # The declared spend is one sum for both sides. A side that closes now reports only its
            # own part, which cannot be separated from that sum.
            return refused(f"epoch {record.epoch} was released")
        self._adjust_consumed(state, sign=-1)
        self._apply_spends(state, record)
        self._adjust_consumed(state, sign=1)
        return ACCEPTED

    def _adjust_consumed(self, state: EpochState, *, sign: int) -> None:
        """Subtract an epoch from the budgets' sums (-1) before its sides change, or add it (1)."""
        for budget in state.grants:
            self._consumed_tokens[budget] += sign * state.consumed_tokens(budget)

    def _release_epoch(self, record: EpochReleased) -> Outcome:
        """Apply the spend that an operator declares for an epoch that a side has not closed."""
        state = self.epochs.get(record.epoch)
        if state is None:
            return refused(f"epoch {record.epoch} is unknown")
        if self.current_epochs.get(state.data_centre) == record.epoch:
            return refused(f"epoch {record.epoch} is current: its leaseholder may spend")
        if state.is_settled:
            return refused(f"epoch {record.epoch} holds nothing back")
        declared = {spent.budget: spent.tokens for spent in record.spent}
        for budget, grant in state.grants.items():
            min_tokens = grant.min_spent_tokens()
            max_tokens = grant.granted_tokens - grant.returned_tokens
            if not min_tokens <= declared.get(budget, 0) <= max_tokens:
                declared_tokens = declared.get(budget, 0)
                return refused(
                    f"{budget}: {declared_tokens} spent is not within {min_tokens} to {max_tokens}"
                )
        self._adjust_consumed(state, sign=-1)
        for budget, grant in state.grants.items():
            # The spend of a side includes returned tokens.
            tokens = declared.get(budget, 0) + grant.returned_tokens
            grant.holder = grant.witness = BudgetSpend(budget, tokens, 0)
        state.holder_closed = state.witness_closed = state.released = True
        self._adjust_consumed(state, sign=1)
        return ACCEPTED

    def _apply_spends(self, state: EpochState, record: EpochClosed) -> None:
        if record.side is Side.HOLDER:
            is_first = not state.holder_closed
            state.holder_closed = True
        else:
            is_first = not state.witness_closed
            state.witness_closed = True
        for spend in record.spends:
            grant = state.grants.get(spend.budget)
            if grant is None:
                continue
            earlier = grant.holder if record.side is Side.HOLDER else grant.witness
            lowest = spend if is_first or earlier is None else _min_spend(earlier, spend)
            if not is_first and earlier is None:
                continue
            if record.side is Side.HOLDER:
                grant.holder = lowest
            else:
                grant.witness = lowest


def _min_spend(earlier: BudgetSpend, later: BudgetSpend) -> BudgetSpend:
    """Return the minimum of two reports of one side; settling can only lower a closed side."""
    return BudgetSpend(
        budget=earlier.budget,
        witnessed_tokens=min(earlier.witnessed_tokens, later.witnessed_tokens),
        own_tokens=min(earlier.own_tokens, later.own_tokens),
    )
