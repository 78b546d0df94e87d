"""Asks the log for escrow of one shard and gives some back when another data centre needs it."""

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


#: Seconds after an ask that got less than it wanted, before the next; doubles up to the most.
_UNFULFILLED_RETRY_S = 1.0
_UNFULFILLED_MAX_RETRY_S = 32.0


#: Budgets looked at when another asks; at 14 us each, a few milliseconds.
_MAX_EXTRA_BUDGETS = 256


@dataclass(slots=True)
class _UnfulfilledAsks:
    """Asks in a row that got less than they wanted.

    At a budget's end they would go on for each request, two appends a time, in every data centre.
    """

    backoff: Backoff = field(
        default_factory=lambda: Backoff(_UNFULFILLED_RETRY_S, _UNFULFILLED_MAX_RETRY_S)
    )
    retry_at_s: float = 0.0

    def add(self, now_s: float) -> None:
        """Count one more, and wait longer before the next."""
        self.retry_at_s = now_s + self.backoff.next_s()


class EscrowAgent:
    """Applies the escrow policy to the epochs that this instance leads.

    Parameters
    ----------
    want_mirror
        Called when there is something new to tell the witness.
    """

    def __init__(
        self,
        state: ShardState,
        writer: LogWriter[LedgerRecord | LedgerSnapshot],
        request_mirror: Callable[[], None],
    ) -> None:
        self._state = state
        self._writer = writer
        self._request_mirror = request_mirror
        self._estimators: dict[BudgetName, SpendEstimator] = {}
        self._pending_asks: dict[BudgetName, RecordId] = {}
        self._unfulfilled_asks: dict[BudgetName, _UnfulfilledAsks] = {}
        self._extra_start = 0
        self._submitted_paid_tokens: dict[BudgetName, int] = {}
        self._pending_returns: dict[tuple[Epoch, int], tuple[BudgetName, int]] = {}

    def note_bound(self, budget: BudgetName, bound_tokens: int) -> None:
        """Note a request's upper bound."""
        self._estimator(budget).note_bound(bound_tokens)

    def add_demand(self, budget: BudgetName, used_tokens: int) -> None:
        """Count a request's usage towards the budget's demand."""
        self._estimator(budget).add_usage(used_tokens, self._state.context.clock.monotonic_s())

    def on_epoch_opened(self) -> None:
        """Forget what was asked for, and on its way back, in an earlier epoch."""
        self._pending_asks.clear()
        self._pending_returns.clear()

    def on_grant_decided(self, record: GrantAsked) -> None:
        """Note that an ask was decided, whatever the decision."""
        local_data_centre = self._state.context.membership.data_centre
        now_s = self._state.context.clock.monotonic_s()
        for budget, ask_id in self._pending_asks.items():
            if ask_id != record.record_id:
                continue
            if local_data_centre in self._state.fold.unfulfilled_tokens.get(budget, {}):
                self._unfulfilled_asks.setdefault(budget, _UnfulfilledAsks()).add(now_s)
                emit(Event.GRANT_UNMET, shard=self._state.shard, budget=budget)
            else:
                self._unfulfilled_asks.pop(budget, None)
        self._pending_asks = {
            b: ask_id for b, ask_id in self._pending_asks.items() if ask_id != record.record_id
        }

    def submit_paid_tokens(self, budgets: dict[BudgetName, int]) -> None:
        """Bring the configuration's paid totals into the shard's stream.

        Any instance may, at any time: the totals are cumulative, so a second one changes nothing.
        """
        for name, paid in budgets.items():
            fold_paid = self._state.fold.paid_tokens.get(name, 0)
            if paid <= max(fold_paid, self._submitted_paid_tokens.get(name, 0)):
                continue
            self._submitted_paid_tokens[name] = paid
            self._writer.submit(_paid_record(name, paid))

    def ask_for_waiting(self) -> None:
        """Ask for escrow of the budgets that requests wait for.

        Only a request can make a budget run low, and each asks for its own; so nothing has to look
        at all budgets again and again.
        """
        for budget, tokens in list(self._state.needed_tokens.items()):
            if tokens > 0:
                self.ask(budget)

    def ask(self, budget: BudgetName) -> None:
        """Ask for escrow of a budget if it runs low, and of others along with it."""
        leading = self._state.leading()
        if leading is None:
            return
        epoch = leading[0].epoch
        first = self._make_ask(leading, budget, shares_append=False)
        if first is None:
            return
        extra_asks = (
            self._make_ask(leading, other, shares_append=True)
            for other in self._next_extra_budgets(budget)
        )
        asks = [first, *(ask for ask in extra_asks if ask is not None)]
        record = self._writer.submit(
            lambda record_id: GrantAsked(record_id=record_id, epoch=epoch, asks=tuple(asks))
        )
        self._pending_asks.update({ask.budget: record.record_id for ask in asks})

    def _next_extra_budgets(self, budget: BudgetName) -> list[BudgetName]:
        """Return the next few other budgets, in turn: to look at all would hold up streams."""
        names = list(self._estimators)
        start = self._extra_start % len(names)
        self._extra_start = start + _MAX_EXTRA_BUDGETS
        in_turn = names[start:] + names[:start]
        return [name for name in in_turn[:_MAX_EXTRA_BUDGETS] if name != budget]

    def return_surplus(self) -> None:
        """Return what another data centre asked for in vain and this one can spare."""
        leading = self._state.leading()
        if leading is None:
            return
        local_data_centre = self._state.context.membership.data_centre
        for budget, waiting in list(self._state.fold.unfulfilled_tokens.items()):
            unfulfilled_tokens = sum(
                tokens for dc, tokens in waiting.items() if dc != local_data_centre
            )
            if unfulfilled_tokens <= 0 or budget not in leading[0].grants:
                continue
            if local_data_centre not in waiting:
                self._return_budget_surplus(leading, budget, unfulfilled_tokens)
            elif should_give_all(budget, local_data_centre, waiting):
                self._return_all_free(leading, budget)

    def on_reservation_decided(self, epoch: Epoch, number: int, is_acknowledged: bool) -> None:
        """Take the witness's word on a reservation; if it was for a return, return it or not.

        A rejected return must be forgotten too: as long as it counts as on its way, nothing more
        of the budget is given back, and other data centres go on waiting.
        """
        pending_return = self._pending_returns.pop((epoch, number), None)
        if pending_return is not None and is_acknowledged:
            self._submit_return(epoch, *pending_return)

    def pending_return_tokens(self, budget: BudgetName) -> int:
        """Return what is on its way back, waiting for the witness's word."""
        return sum(tokens for name, tokens in self._pending_returns.values() if name == budget)

    def _make_ask(
        self, leading: tuple[EpochState, HolderAccount], budget: BudgetName, *, shares_append: bool
    ) -> GrantAsk | None:
        if budget in self._pending_asks:
            return None
        view = self._view(leading, budget)
        short_tokens = view.needed_tokens - view.free_tokens
        if view.ungranted_tokens < max(1, short_tokens) and not self._can_prompt_returns(
            budget, view
        ):
            return None
        policy = self._state.context.config().escrow
        tokens = ask_tokens(policy, view, shares_append=shares_append)
        if tokens <= 0:
            return None
        account = leading[1]
        spent = sum(account.spent_tokens(budget, lane) for lane in Lane)
        grant = leading[0].grants.get(budget, Grant())
        # Of what is held, not of all that ever came: tokens that went back count no more.
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

    def _can_prompt_returns(self, budget: BudgetName, view: EscrowView) -> bool:
        """Return whether an ask that gets nothing is worth its append: others may give back."""
        if view.needed_tokens <= view.free_tokens or not self._state.remote_epochs(budget):
            return False
        now_s = self._state.context.clock.monotonic_s()
        unfulfilled = self._unfulfilled_asks.get(budget)
        return unfulfilled is None or now_s >= unfulfilled.retry_at_s

    def _view(self, leading: tuple[EpochState, HolderAccount], budget: BudgetName) -> EscrowView:
        epoch_state, account = leading
        context = self._state.context
        estimator = self._estimator(budget)
        return EscrowView(
            free_tokens=account.free_tokens(
                budget, epoch_state.grants.get(budget, Grant()), account.main_lane
            ),
            ungranted_tokens=self._state.fold.ungranted_tokens(budget),
            needed_tokens=self._state.needed_tokens.get(budget, 0),
            rate_tokens_per_s=estimator.rate_tokens_per_s(context.clock.monotonic_s()),
            largest_tokens=estimator.largest_tokens,
            data_centres=context.data_centre_count(),
            has_witness=account.has_witness,
        )

    def _estimator(self, budget: BudgetName) -> SpendEstimator:
        estimator = self._estimators.get(budget)
        if estimator is None:
            estimator = SpendEstimator(self._state.context.config().escrow.demand_window_s)
            self._estimators[budget] = estimator
        return estimator

    def _return_budget_surplus(
        self, leading: tuple[EpochState, HolderAccount], budget: BudgetName, unfulfilled_tokens: int
    ) -> None:
        view = self._view(leading, budget)
        policy = self._state.context.config().escrow
        pending_tokens = self.pending_return_tokens(budget)
        tokens = surplus_tokens(
            policy, view, unfulfilled_tokens - view.ungranted_tokens - pending_tokens
        )
        self.return_tokens(budget, tokens, leading[1].main_lane)

    def _return_all_free(
        self, leading: tuple[EpochState, HolderAccount], budget: BudgetName
    ) -> None:
        """Give back all that is free, the allowance too: nothing but rests is left."""
        epoch_state, account = leading
        grant = epoch_state.grants[budget]
        for lane in Lane:
            self.return_tokens(budget, account.free_tokens(budget, grant, lane), lane)

    def return_tokens(self, budget: BudgetName, tokens: int, lane: Lane) -> None:
        """Give back free tokens of a lane of the led epoch, if there are as many.

        They are reserved for good before the log hears of it: from then on nobody can spend them
        here, not even after this process died in between.
        """
        leading = self._state.leading()
        if tokens <= 0 or leading is None or budget not in leading[0].grants:
            return
        epoch_state, account = leading
        reservation = account.reserve(
            f"return/{budget}",
            budget,
            tokens,
            grant=epoch_state.grants[budget],
            lane=lane,
        )
        if reservation is None:
            return
        if lane is Lane.WITNESSED:
            self._pending_returns[epoch_state.epoch, reservation.number] = (budget, tokens)
            self._request_mirror()
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
