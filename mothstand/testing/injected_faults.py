"""Known faults of the ledger, planted on purpose to show that the histories find them."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

from ..core.accounts import WitnessAccount
from ..core.ledger_fold import LedgerFold
from ..core.ledger_state import EpochState, Grant

if TYPE_CHECKING:
    from ..core.accounts import MirrorBatch
    from ..types import BudgetName


class InjectedFault(Enum):
    """Known faults."""

    NONE = auto()
    #: A process restarted at the same address passes for the one before.
    RESTART_KEEPS_IDENTITY = auto()
    #: The holder takes any process for its witness when the epoch's does not answer.
    HOLDER_PICKS_WITNESS = auto()
    #: A holder that closes its epoch gives back what its witness may be spending.
    PROMOTION_NOT_HELD_BACK = auto()
    #: A witness that closes an epoch gives back the holder's allowance.
    ALLOWANCE_NOT_HELD_BACK = auto()
    #: Escrow returned after an epoch was closed counts once more.
    LATE_RETURN_COUNTS = auto()
    #: A settlement that comes twice makes room twice.
    SETTLES_TWICE = auto()
    #: The holder spends before its witness has acknowledged.
    SPENDS_UNACKNOWLEDGED = auto()


class UncheckedWitness(WitnessAccount):
    """A witness picked in mid-epoch, which takes up the holder's count of batches."""

    def apply_batch(self, batch: MirrorBatch, grants: dict[BudgetName, Grant]):  # type: ignore[no-untyped-def]
        """Acknowledge whatever comes."""
        self._last_batch_number = batch.number - 1
        return super().apply_batch(batch, grants)


class _PromotionFold(LedgerFold):
    """`Plant.PROMOTION_NOT_HELD_BACK`."""

    def _grant_ask(self, state: EpochState, ask) -> None:  # type: ignore[no-untyped-def]
        super()._grant_ask(state, ask)
        grant = state.grants[ask.budget]
        state.grants[ask.budget] = _copy_grant(grant, _GrantWithoutPromotion)


class _AllowanceFold(LedgerFold):
    """`Plant.ALLOWANCE_NOT_HELD_BACK`."""

    def _grant_ask(self, state: EpochState, ask) -> None:  # type: ignore[no-untyped-def]
        super()._grant_ask(state, ask)
        grant = state.grants[ask.budget]
        state.grants[ask.budget] = _copy_grant(grant, _GrantWithoutAllowance)


class _GrantWithoutPromotion(Grant):
    def consumed_tokens(self, *, holder_closed: bool, witness_closed: bool) -> int:
        allowance_tokens, self.promotion_tokens = self.promotion_tokens, 0
        consumed = super().consumed_tokens(
            holder_closed=holder_closed, witness_closed=witness_closed
        )
        self.promotion_tokens = allowance_tokens
        return consumed


class _GrantWithoutAllowance(Grant):
    def consumed_tokens(self, *, holder_closed: bool, witness_closed: bool) -> int:
        allowance_tokens, self.allowance_tokens = self.allowance_tokens, 0
        consumed = super().consumed_tokens(
            holder_closed=holder_closed, witness_closed=witness_closed
        )
        self.allowance_tokens = allowance_tokens
        return consumed


def _copy_grant(grant: Grant, kind: type[Grant]) -> Grant:
    return kind(
        grant.granted_tokens,
        grant.allowance_tokens,
        grant.promotion_tokens,
        grant.returned_tokens,
        grant.reported_tokens,
        grant.holder,
        grant.witness,
    )


class _LateReturnFold(LedgerFold):
    """`Plant.LATE_RETURN_COUNTS`."""

    def _return_escrow(self, record):  # type: ignore[no-untyped-def]
        state = self.epochs.get(record.epoch)
        if state is None or not state.is_closed:
            return super()._return_escrow(record)
        closed = (state.holder_closed, state.witness_closed)
        state.holder_closed = state.witness_closed = False
        outcome = super()._return_escrow(record)
        state.holder_closed, state.witness_closed = closed
        if outcome.accepted:
            # As if the closing side had not counted the tokens as spent.
            self._consumed_tokens[record.budget] -= record.tokens
        return outcome


FAULTY_FOLDS: dict[InjectedFault, type[LedgerFold]] = {
    InjectedFault.PROMOTION_NOT_HELD_BACK: _PromotionFold,
    InjectedFault.ALLOWANCE_NOT_HELD_BACK: _AllowanceFold,
    InjectedFault.LATE_RETURN_COUNTS: _LateReturnFold,
}
