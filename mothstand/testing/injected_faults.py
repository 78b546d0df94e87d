"""Faults injected into the ledger, which the histories must find."""

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
    """Known faults of the ledger."""

    NONE = auto()
    #: A restarted process at the same address keeps the incarnation of the previous one.
    RESTART_KEEPS_IDENTITY = auto()
    #: The holder picks another process as witness if the epoch's witness does not answer.
    HOLDER_PICKS_WITNESS = auto()
    #: A holder that closes its epoch returns tokens that its witness may be spending.
    PROMOTION_NOT_HELD_BACK = auto()
    #: A witness that closes an epoch returns the holder's allowance.
    ALLOWANCE_NOT_HELD_BACK = auto()
    #: Escrow that is returned after its epoch was closed counts twice.
    LATE_RETURN_COUNTS = auto()
    #: A repeated settlement frees the tokens twice.
    SETTLES_TWICE = auto()
    #: The holder spends tokens before its witness has acknowledged the reservation.
    SPENDS_UNACKNOWLEDGED = auto()


class UncheckedWitness(WitnessAccount):
    """A witness picked during an epoch, which accepts any batch number."""

    def apply_batch(self, batch: MirrorBatch, grants: dict[BudgetName, Grant]):  # type: ignore[no-untyped-def]
        """Acknowledge any batch."""
        self._last_batch_number = batch.number - 1
        return super().apply_batch(batch, grants)


class _PromotionFold(LedgerFold):
    """Implements `InjectedFault.PROMOTION_NOT_HELD_BACK`."""

    def _grant_ask(self, state: EpochState, ask) -> None:  # type: ignore[no-untyped-def]
        super()._grant_ask(state, ask)
        grant = state.grants[ask.budget]
        state.grants[ask.budget] = _copy_grant(grant, _GrantWithoutPromotion)


class _AllowanceFold(LedgerFold):
    """Implements `InjectedFault.ALLOWANCE_NOT_HELD_BACK`."""

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
    """Implements `InjectedFault.LATE_RETURN_COUNTS`."""

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
