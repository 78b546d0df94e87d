"""Grants and epochs of a ledger shard, as the fold keeps them and as snapshots carry them."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from typing import Any

from ..types import BudgetName, DataCentre, Epoch, Member
from .records import BudgetSpend, EpochImage, GrantImage


@dataclass(slots=True)
class Grant:
    """One budget's escrow in one epoch, in tokens.

    Parameters
    ----------
    granted_tokens
        Sum of the accepted asks.
    allowance_tokens
        Part of it that the holder may spend without its witness.
    promotion_tokens
        Part of it that the witness may spend by itself after sealing.
    returned_tokens
        Given back while the epoch was open; the sides count it as spent.
    reported_tokens
        Settled spend as of the last ask; a lower bound.
    holder, witness
        Spend that a side vouched for on closing, or None.
    """

    granted_tokens: int = 0
    allowance_tokens: int = 0
    promotion_tokens: int = 0
    returned_tokens: int = 0
    reported_tokens: int = 0
    holder: BudgetSpend | None = None
    witness: BudgetSpend | None = None

    def consumed_tokens(self, *, holder_closed: bool, witness_closed: bool) -> int:
        """Return what the epoch may have spent, as an upper bound, less what it returned.

        Parameters
        ----------
        holder_closed, witness_closed
            Whether the side closed; a closed side that does not name the budget spent none of it.

        Notes
        -----
        Each side's total bounds the witnessed spend from above, so the smaller one holds. What
        only one side can know is counted whole while that side is silent: the witness's promotion
        share, the holder's allowance.
        """
        if not holder_closed and not witness_closed:
            return self.granted_tokens - self.returned_tokens
        holder = self.holder or _NOTHING_SPENT
        witness = self.witness or _NOTHING_SPENT
        if not witness_closed:
            spent = holder.witnessed_tokens + holder.own_tokens + self.promotion_tokens
        elif not holder_closed:
            spent = witness.witnessed_tokens + witness.own_tokens + self.allowance_tokens
        else:
            spent = min(holder.witnessed_tokens, witness.witnessed_tokens)
            spent += holder.own_tokens + witness.own_tokens
        return min(self.granted_tokens, spent) - self.returned_tokens

    def min_spent_tokens(self) -> int:
        """Return the least that may be declared as spent, without what was returned.

        A closed side's word counts whole, though it is an upper bound of the witnessed part.
        """
        side_tokens = [
            side.witnessed_tokens + side.own_tokens - self.returned_tokens
            for side in (self.holder, self.witness)
            if side is not None
        ]
        return max([self.reported_tokens, *side_tokens])


_NOTHING_SPENT = BudgetSpend(budget=BudgetName(""), witnessed_tokens=0, own_tokens=0)


@dataclass(slots=True)
class EpochState:
    """One epoch as the log tells it; `released` by an operator, in place of its silent sides."""

    epoch: Epoch
    data_centre: DataCentre
    holder: Member
    witness: Member | None
    prior_epoch: Epoch
    grants: dict[BudgetName, Grant] = field(default_factory=dict)
    holder_closed: bool = False
    witness_closed: bool = False
    released: bool = False

    @property
    def is_closed(self) -> bool:
        """Whether either side has closed it: no grant is added any more."""
        return self.holder_closed or self.witness_closed

    @property
    def is_settled(self) -> bool:
        """Whether every side that exists has closed it, so that nothing is held back."""
        return self.holder_closed and (self.witness_closed or self.witness is None)

    def unclosed_members(self) -> list[Member]:
        """Return the processes that have not closed their sides."""
        sides = ((self.holder, self.holder_closed), (self.witness, self.witness_closed))
        return [member for member, closed in sides if member is not None and not closed]

    def consumed_tokens(self, budget: BudgetName) -> int:
        """Return the upper bound of what the epoch spent of a budget."""
        grant = self.grants.get(budget)
        if grant is None:
            return 0
        # An epoch without a witness has nobody else to hear.
        is_unwitnessed = self.witness is None and self.holder_closed
        return grant.consumed_tokens(
            holder_closed=self.holder_closed, witness_closed=self.witness_closed or is_unwitnessed
        )


_GRANT_FIELDS = tuple(f.name for f in fields(Grant))


def epoch_image(state: EpochState) -> EpochImage:
    """Return an epoch as a snapshot carries it."""
    return EpochImage(
        epoch=state.epoch,
        data_centre=state.data_centre,
        holder=state.holder,
        witness=state.witness,
        prior_epoch=state.prior_epoch,
        holder_closed=state.holder_closed,
        witness_closed=state.witness_closed,
        released=state.released,
        grants=tuple(
            GrantImage(budget=budget, **_grant_values(grant))
            for budget, grant in sorted(state.grants.items())
        ),
    )


def epoch_state(image: EpochImage) -> EpochState:
    """Return an epoch as the fold keeps it."""
    return EpochState(
        epoch=image.epoch,
        data_centre=image.data_centre,
        holder=image.holder,
        witness=image.witness,
        prior_epoch=image.prior_epoch,
        holder_closed=image.holder_closed,
        witness_closed=image.witness_closed,
        released=image.released,
        grants={grant.budget: Grant(**_grant_values(grant)) for grant in image.grants},
    )


def _grant_values(grant: Grant | GrantImage) -> dict[str, Any]:
    return {name: getattr(grant, name) for name in _GRANT_FIELDS}
