"""Requests escrow of one shard from the log and returns what other data centres need."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..core.accounts import HolderAccount, Lane
from ..core.backoff import Backoff
from ..core.escrow import (
    EscrowView,
    SpendEstimator,
    ask_tokens,
    promotion_share_tokens,
    should_give_all,
    surplus_tokens,
)
from ..core.ledger_state import EpochState, Grant
from ..core.records import (
    BudgetPaid,
    EscrowReturned,
    GrantAsk,
    GrantAsked,
    LedgerRecord,
    LedgerSnapshot,
    RecordId,
)
from ..events import Event, emit

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..log.writer import LogWriter
    from ..types import BudgetName, Epoch
    from .state import ShardState


#: Seconds between an ask that was not fulfilled and the next one; doubles up to the maximum.
_UNMET_FIRST_S = 1.0
_UNMET_MOST_S = 32.0


#: Maximum number of other budgets checked with each ask: at 14 us each, a few milliseconds.
_MOST_ALONG = 256


@dataclass(slots=True)
class _UnmetAsks:
    """Backoff for consecutive asks that got fewer tokens than requested.

    Without it, each request near a budget's end would cost two appends in every data centre.
    """

    backoff: Backoff = field(default_factory=lambda: Backoff(_UNMET_FIRST_S, _UNMET_MOST_S))
    again_at_s: float = 0.0

    def add(self, now_s: float) -> None:
        """Count one more and lengthen the wait before the next."""
        self.again_at_s = now_s + self.backoff.next_s()


class EscrowAgent:
    """Applies the escrow policy to the epochs that this instance leads.

    Parameters
    ----------
    want_mirror
        Called when there is a new reservation to send to the witness.
    """

    def __init__(
        self,
        state: ShardState,
        writer: LogWriter[LedgerRecord | LedgerSnapshot],
        want_mirror: Callable[[], None],
    ) -> None:
        self._state = state
        self._writer = writer
        self._want_mirror = want_mirror
        self._demands: dict[BudgetName, SpendEstimator] = {}
        self._asked: dict[BudgetName, RecordId] = {}
        self._unmet: dict[BudgetName, _UnmetAsks] = {}
        self._along_start = 0
        self._paid_submitted: dict[BudgetName, int] = {}
        self._returning: dict[tuple[Epoch, int], tuple[BudgetName, int]] = {}

    def note_bound(self, budget: BudgetName, bound_tokens: int) -> None:
        """Record the upper bound of a request's usage."""
        self._demand(budget).note_bound(bound_tokens)

    def add_demand(self, budget: BudgetName, used_tokens: int) -> None:
        """Count a request's usage towards the budget's demand."""
        self._demand(budget).add_usage(used_tokens, self._state.context.clock.monotonic_s())

    def on_epoch(self) -> None:
        """Drop the pending asks and returns of an earlier epoch."""
        self._asked.clear()
        self._returning.clear()

    def on_grant(self, record: GrantAsked) -> None:
        """Remove a decided ask from the pending ones; back off if it was not fulfilled."""
        here = self._state.context.membership.data_centre
        now_s = self._state.context.clock.monotonic_s()
        for budget, asked in self._asked.items():
            if asked != record.record_id:
                continue
            if here in self._state.fold.unfulfilled_tokens.get(budget, {}):
                self._unmet.setdefault(budget, _UnmetAsks()).add(now_s)
                emit(Event.GRANT_UNMET, shard=self._state.shard, budget=budget)
            else:
                self._unmet.pop(budget, None)
        self._asked = {b: asked for b, asked in self._asked.items() if asked != record.record_id}

    def pay(self, budgets: dict[BudgetName, int]) -> None:
        """Append the configuration's paid totals to the shard's stream.

        Any instance may do so at any time: the totals are cumulative, so repeats change nothing.
        """
        for name, paid in budgets.items():
            fold_paid = self._state.fold.paid_tokens.get(name, 0)
            if paid <= max(fold_paid, self._paid_submitted.get(name, 0)):
                continue
            self._paid_submitted[name] = paid
            self._writer.submit(_paid_record(name, paid))

    def ask_for_waiting(self) -> None:
        """Ask for escrow of the budgets that requests wait for.

        Only requests lower a budget, and each request asks for its own budget, so no periodic
        check of all budgets is needed.
        """
        for budget, tokens in list(self._state.needed_tokens.items()):
            if tokens > 0:
                self.ask(budget)

    def ask(self, budget: BudgetName) -> None:
        """Ask for escrow of a budget if it runs low, and of other low budgets along with it."""
        leading = self._state.leading()
        if leading is None:
            return
        epoch = leading[0].epoch
        first = self._ask_one(leading, budget, along=False)
        if first is None:
            return
        others = (self._ask_one(leading, other, along=True) for other in self._next_along(budget))
        asks = [first, *(ask for ask in others if ask is not None)]
        record = self._writer.submit(
            lambda record_id: GrantAsked(record_id=record_id, epoch=epoch, asks=tuple(asks))
        )
        self._asked.update({ask.budget: record.record_id for ask in asks})

    def _next_along(self, budget: BudgetName) -> list[BudgetName]:
        """Return the next few other budgets in rotation: checking all would delay streams."""
        names = list(self._demands)
        start = self._along_start % len(names)
        self._along_start = start + _MOST_ALONG
        in_turn = names[start:] + names[:start]
        return [name for name in in_turn[:_MOST_ALONG] if name != budget]

    def give_back(self) -> None:
        """Return escrow that other data centres lack and this one can spare."""
        leading = self._state.leading()
        if leading is None:
            return
        here = self._state.context.membership.data_centre
        for budget, waiting in list(self._state.fold.unfulfilled_tokens.items()):
            unmet = sum(tokens for dc, tokens in waiting.items() if dc != here)
            if unmet <= 0 or budget not in leading[0].grants:
                continue
            if here not in waiting:
                self._give_back_one(leading, budget, unmet)
            elif should_give_all(budget, here, waiting):
                self._give_way(leading, budget)

    def on_decided(self, epoch: Epoch, number: int, acknowledged: bool) -> None:
        """Append the return that the reservation was for, if the witness acknowledged it.

        A rejected return is dropped too: while it counts as pending, nothing more of the budget
        is returned, and other data centres keep waiting.
        """
        returning = self._returning.pop((epoch, number), None)
        if returning is not None and acknowledged:
            self._submit_return(epoch, *returning)

    def returning_tokens(self, budget: BudgetName) -> int:
        """Return the tokens whose return waits for the witness's acknowledgement."""
        return sum(tokens for name, tokens in self._returning.values() if name == budget)

    def _ask_one(
        self, leading: tuple[EpochState, HolderAccount], budget: BudgetName, *, along: bool
    ) -> GrantAsk | None:
        if budget in self._asked:
            return None
        view = self._view(leading, budget)
        short_tokens = view.needed_tokens - view.free_tokens
        if view.ungranted_tokens < max(1, short_tokens) and not self._may_move_others(budget, view):
            return None
        policy = self._state.context.config().escrow
        tokens = ask_tokens(policy, view, shares_append=along)
        if tokens <= 0:
            return None
        account = leading[1]
        spent = sum(account.spent_tokens(budget, lane) for lane in Lane)
        grant = leading[0].grants.get(budget, Grant())
        # Shares are of the escrow held now: tokens that were returned no longer count.
        held = grant.granted_tokens - grant.returned_tokens + tokens
        allowance = held * policy.allowance_percent // 100
        promotion = promotion_share_tokens(policy.promotion_percent, held, view.largest_tokens)
        return GrantAsk(
            budget=budget,
            tokens=tokens,
            spent_tokens=spent - account.open_tokens(budget),
            allowance_tokens=allowance - grant.allowance_tokens if view.has_witness else 0,
            promotion_tokens=promotion - grant.promotion_tokens if view.has_witness else 0,
        )

    def _may_move_others(self, budget: BudgetName, view: EscrowView) -> bool:
        """Return whether an unfulfilled ask is worth it: other data centres may return tokens."""
        if view.needed_tokens <= view.free_tokens or not self._state.elsewhere(budget):
            return False
        now_s = self._state.context.clock.monotonic_s()
        unmet = self._unmet.get(budget)
        return unmet is None or now_s >= unmet.again_at_s

    def _view(self, leading: tuple[EpochState, HolderAccount], budget: BudgetName) -> EscrowView:
        epoch_state, account = leading
        context = self._state.context
        demand = self._demand(budget)
        return EscrowView(
            free_tokens=account.free_tokens(
                budget, epoch_state.grants.get(budget, Grant()), account.main_lane
            ),
            ungranted_tokens=self._state.fold.ungranted_tokens(budget),
            needed_tokens=self._state.needed_tokens.get(budget, 0),
            rate_tokens_per_s=demand.rate_tokens_per_s(context.clock.monotonic_s()),
            largest_tokens=demand.largest_tokens,
            data_centres=context.data_centres(),
            has_witness=account.has_witness,
        )

    def _demand(self, budget: BudgetName) -> SpendEstimator:
        demand = self._demands.get(budget)
        if demand is None:
            demand = SpendEstimator(self._state.context.config().escrow.demand_window_s)
            self._demands[budget] = demand
        return demand

    def _give_back_one(
        self, leading: tuple[EpochState, HolderAccount], budget: BudgetName, unmet_tokens: int
    ) -> None:
        view = self._view(leading, budget)
        policy = self._state.context.config().escrow
        pending = self.returning_tokens(budget)
        tokens = surplus_tokens(policy, view, unmet_tokens - view.ungranted_tokens - pending)
        self.return_tokens(budget, tokens, leading[1].main_lane)

    def _give_way(self, leading: tuple[EpochState, HolderAccount], budget: BudgetName) -> None:
        """Return all free tokens, the allowance too: every data centre holds only a remainder."""
        epoch_state, account = leading
        grant = epoch_state.grants[budget]
        for lane in Lane:
            self.return_tokens(budget, account.free_tokens(budget, grant, lane), lane)

    def return_tokens(self, budget: BudgetName, tokens: int, lane: Lane) -> None:
        """Return free tokens of a lane of the led epoch, if it has that many.

        They are reserved permanently before the return is appended, so that nothing can spend
        them here afterwards, even if this process dies in between.
        """
        leading = self._state.leading()
        if tokens <= 0 or leading is None or budget not in leading[0].grants:
            return
        epoch_state, account = leading
        taken = account.reserve(
            f"return/{budget}",
            budget,
            tokens,
            grant=epoch_state.grants[budget],
            lane=lane,
        )
        if taken is None:
            return
        if lane is Lane.WITNESSED:
            self._returning[epoch_state.epoch, taken.number] = (budget, tokens)
            self._want_mirror()
        else:
            self._submit_return(epoch_state.epoch, budget, tokens)

    def _submit_return(self, epoch: Epoch, budget: BudgetName, tokens: int) -> None:
        self._writer.submit(
            lambda record_id: EscrowReturned(
                record_id=record_id, epoch=epoch, budget=budget, tokens=tokens
            )
        )
        emit(Event.ESCROW_RETURNED, shard=self._state.shard, budget=budget, tokens=tokens)


def _paid_record(name: BudgetName, paid_tokens: int) -> Callable[[RecordId], BudgetPaid]:
    return lambda record_id: BudgetPaid(record_id=record_id, budget=name, paid_tokens=paid_tokens)
