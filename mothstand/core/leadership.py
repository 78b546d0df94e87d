"""Decides when an instance opens a ledger epoch, and with which witness.

Each instance of a data centre decides from the fold and its own membership view. If two instances
both append an epoch, the fold accepts one.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..types import NO_EPOCH
from .membership import Membership, rank_for_shard
from .records import EpochOpened, RecordId

if TYPE_CHECKING:
    from ..types import Epoch, Member
    from .ledger_fold import LedgerFold
    from .ledger_state import EpochState


@dataclass(frozen=True, slots=True)
class EpochPlan:
    """An epoch that this instance should open.

    Parameters
    ----------
    reason
        Text for the audit trail.
    """

    prior_epoch: Epoch
    holder: Member
    witness: Member | None
    reason: str

    def to_record(
        self, record_id: RecordId, fold: LedgerFold, membership: Membership
    ) -> EpochOpened:
        """Return the plan as a log record."""
        return EpochOpened(
            record_id=record_id,
            shard=fold.shard,
            data_centre=membership.data_centre,
            holder=self.holder,
            witness=self.witness,
            prior_epoch=self.prior_epoch,
        )


def plan_epoch(fold: LedgerFold, membership: Membership, now_s: float) -> EpochPlan | None:
    """Return the epoch that this instance should open now, or None.

    Notes
    -----
    - If there is no epoch, it is closed, or its holder is unresponsive or stopping: the first live
      instance in rendezvous order opens one. The old witness comes before all others, since it can
      seal and close the old epoch.
    - If this instance holds an epoch whose witness is missing, unresponsive or stopping, and
      another instance is alive: it opens the next epoch with that one as witness. If no other
      instance is alive, an epoch with a witness is followed by one without. The witness of an open
      epoch never changes, because a holder with a new witness could spend what the old witness has
      sealed and returned.
    """
    alive = membership.local_alive(now_s)
    state = fold.current_epoch(membership.data_centre)
    order = rank_for_shard(alive, membership.data_centre, fold.shard)
    if state is None:
        return _plan_if_first(order, alive, membership, NO_EPOCH, "no epoch yet")
    if not state.is_closed and membership.is_alive_and_not_stopping(state.holder, now_s):
        return _plan_new_witness(state, order, alive, membership, now_s)
    reason = "holder closed it" if state.is_closed else "holder is silent or leaving"
    order = _witness_first(order, state, membership, now_s)
    return _plan_if_first(order, alive, membership, state.epoch, reason)


def _witness_first(
    order: list[str], state: EpochState, membership: Membership, now_s: float
) -> list[str]:
    witness = state.witness
    if witness is None or witness.name not in order or not membership.is_alive(witness, now_s):
        return order
    return [witness.name, *(name for name in order if name != witness.name)]


def _plan_if_first(
    order: list[str],
    alive: dict[str, Member],
    membership: Membership,
    prior: Epoch,
    reason: str,
) -> EpochPlan | None:
    if not order or order[0] != membership.local_member.name:
        return None
    witness = alive[order[1]] if len(order) > 1 else None
    return EpochPlan(prior, membership.local_member, witness, reason)


def _plan_new_witness(
    state: EpochState,
    order: list[str],
    alive: dict[str, Member],
    membership: Membership,
    now_s: float,
) -> EpochPlan | None:
    if state.holder != membership.local_member:
        return None
    if state.witness is not None and membership.is_alive_and_not_stopping(state.witness, now_s):
        return None
    others = [name for name in order if name != membership.local_member.name]
    if others:
        return EpochPlan(state.epoch, membership.local_member, alive[others[0]], "new witness")
    if state.witness is not None:
        return EpochPlan(state.epoch, membership.local_member, None, "witness is silent")
    return None
