"""Reserves and settles tokens of prepaid budgets for requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ..core.claim_policy import ClaimPolicy
from ..core.hashing import shard_index
from ..core.shutdown import STOPPING_COME_BACK_S
from ..errors import ErrorKind, Refusal
from ..events import Event, emit
from ..types import Shard
from .borrowing import Borrower
from .claim_keeper import ClaimKeeper

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from ..clock import Clock
    from ..core.claims import Reservation, Usage
    from ..core.loans import Peer
    from ..log.health import LogHealth
    from ..settings.gateway import GatewaySettings
    from ..types import BudgetName
    from .lending import Handover, LoanReply, LoanRequest, PeerLink
    from .member_feed import MemberFeed
    from .store import Store

#: Maximum wait of a request for tokens. Covers several round trips to the store or to all peers
#: without load, and is below the shortest usual latency objective of a stream.
TOKENS_WAIT_S = 0.3

#: Maximum wait of a lender for the store. Covers several round trips without load, and is well
#: below the time after which the borrower considers the lender unresponsive.
_CLAIM_FOR_BORROWER_S = 0.12

#: Time reserved at the end of a stop to hand over to a peer what could not be given back: a few
#: calls of milliseconds each.
_HAND_OVER_S = 0.3

#: Time until the successor of a stopped instance runs. If the claims unlock later than that, the
#: successor can still prove which part of them was not spent; after the unlock nobody can.
_RESTART_S = 1.5

#: Time in which tokens move from other instances, or running requests release unused tokens.
_COME_BACK_S = 0.6


class BudgetShard:
    """Reserves tokens of one shard's budgets, from claims or from loans of peers."""

    def __init__(
        self,
        shard: Shard,
        me: Peer,
        settings: GatewaySettings,
        store: Store,
        link: PeerLink,
        clock: Clock,
        health: LogHealth,
        prepaid: Callable[[], dict[BudgetName, int]],
        members: MemberFeed,
        policy: ClaimPolicy,
        started_s: float | None,
    ) -> None:
        self._shard = shard
        self._members = members
        self._clock = clock
        self._health = health
        self._more = anyio.Event()
        self.keeper = ClaimKeeper(
            shard,
            me,
            store,
            clock,
            health,
            policy,
            prepaid,
            self._claimants,
            settings.timing.claims_s,
            self.announce,
            started_s,
        )
        self.borrower = Borrower(
            self.keeper, link, lambda: members.fleet.lenders(shard), clock, self.announce
        )

    def _claimants(self) -> int:
        """Return the number of claimants of the shard, 0 unless this instance is one of them."""
        fleet = self._members.fleet
        if not (self._members.is_settled and fleet.is_claimant(self._shard)):
            return 0
        return len(fleet.claimants(self._shard))

    async def reserve(
        self, budget: BudgetName, tokens: int, priority: int, wait_s: float, tasks: TaskGroup
    ) -> Reservation | None:
        """Reserve tokens, waiting up to `wait_s` for a claim or a loan that may provide them."""
        keeper = self.keeper
        keeper.demand_on(budget).ask(tokens, priority, self._clock.monotonic_s())
        reservation = self._try(budget, tokens, priority)
        if reservation is not None:
            return reservation
        waiting = keeper.waiting_of(budget)
        waiting[priority] += tokens
        try:
            with anyio.move_on_after(wait_s):
                if keeper.is_claimant and keeper.may_help(budget):
                    reservation = await self._look(budget, tokens, priority)
                if reservation is None:
                    reservation = await self._borrow(budget, tokens, priority, tasks)
        finally:
            waiting[priority] -= tokens
        return reservation

    async def lend(self, request: LoanRequest) -> LoanReply:
        """Lend tokens to a peer; if the peer does not claim itself, claim missing tokens first."""
        keeper, budget, tokens = self.keeper, request.budget, request.needed_tokens
        if keeper.is_claimant and request.borrows_only:
            keeper.demand_on(budget).ask(tokens, request.priority, self._clock.monotonic_s())
        elif keeper.is_claimant:
            # A borrower that claims has found nothing free in the store, so only tokens held by
            # this instance can be lent.
            tokens = min(tokens, keeper.book.of(budget).held_tokens)
        if keeper.is_claimant and not self._has(budget, tokens, request.priority):
            await self._claim_for(budget, tokens, request.priority)
        return self.borrower.lend(request)

    async def _claim_for(self, budget: BudgetName, tokens: int, priority: int) -> None:
        """Wait for a poll of the store on behalf of a borrower.

        Otherwise a lender that reaches the store lends at most its base, and near a budget's end
        requests are refused although other instances hold tokens beyond their bases.
        """
        if not self.keeper.may_help(budget):
            return
        waiting = self.keeper.waiting_of(budget)
        waiting[priority] += tokens
        try:
            with anyio.move_on_after(_CLAIM_FOR_BORROWER_S):
                is_over = self._look_is_over()
                while not self._has(budget, tokens, priority) and not is_over():
                    await self._more.wait()
        finally:
            waiting[priority] -= tokens

    def _has(self, budget: BudgetName, tokens: int, priority: int) -> bool:
        self.keeper.update_opening()
        kept = self.keeper.kept_tokens(budget, priority)
        return self.keeper.book.of(budget).available_tokens - kept >= tokens

    def _look_is_over(self) -> Callable[[], bool]:
        """Request a new poll of the store; return a function that tests whether it is over."""
        began_s = self._clock.monotonic_s()
        self.keeper.wake()
        return lambda: self.keeper.looked_s >= began_s or self._health.is_failing

    async def _look(self, budget: BudgetName, tokens: int, priority: int) -> Reservation | None:
        """Wait for a poll of the store that begins after this call."""
        return await self._wait(budget, tokens, priority, self._look_is_over())

    async def _borrow(
        self, budget: BudgetName, tokens: int, priority: int, tasks: TaskGroup
    ) -> Reservation | None:
        """Wait for a round of loans that begins after this call.

        A round that is already running may have asked its peers for less than is needed now.
        """

        def is_over() -> bool:
            return not self.borrower.is_running(budget, priority)

        if not is_over():
            reservation = await self._wait(budget, tokens, priority, is_over)
            if reservation is not None:
                return reservation
        self.borrower.begin(budget, priority, tasks)
        return await self._wait(budget, tokens, priority, is_over)

    async def _wait(
        self, budget: BudgetName, tokens: int, priority: int, is_over: Callable[[], bool]
    ) -> Reservation | None:
        while True:
            reservation = self._try(budget, tokens, priority)
            if reservation is not None or is_over():
                return reservation
            await self._more.wait()

    def _try(self, budget: BudgetName, tokens: int, priority: int) -> Reservation | None:
        self.keeper.update_opening()
        kept = self.keeper.kept_tokens(budget, priority)
        return self.keeper.book.of(budget).reserve(tokens, kept_tokens=kept)

    def is_exhausted(self, budget: BudgetName, tokens: int) -> bool:
        """Return whether a request cannot fit into the budget without a top-up.

        Confirmed spend only grows, so a request that exceeds the remainder never fits. Tokens held
        by other instances may be returned, and uncertain tokens may not have been consumed:
        neither makes a budget exhausted.
        """
        keeper = self.keeper
        spent = self.borrower.spent_tokens(budget)
        if keeper.is_listed:
            spent = max(spent, keeper.spent_tokens(budget))
        return tokens > keeper.prepaid().get(budget, 0) - spent

    def come_back_s(self) -> float:
        """Return the seconds after which a request that got no tokens should be retried."""
        if self._health.is_failing:
            return max(_COME_BACK_S, self.keeper.unlocks_in_s())
        return _COME_BACK_S

    def announce(self) -> None:
        """Wake the requests that wait for tokens."""
        more, self._more = self._more, anyio.Event()
        more.set()


class Accounts:
    """Reserves, settles and lends tokens of all budgets of one instance, by shard."""

    def __init__(
        self,
        settings: GatewaySettings,
        me: Peer,
        store: Store,
        link: PeerLink,
        clock: Clock,
        health: LogHealth,
        prepaid: Callable[[], dict[BudgetName, int]],
        members: MemberFeed,
        policy: ClaimPolicy | None = None,
        started_s: float | None = None,
    ) -> None:
        self._clock = clock
        self._health = health
        self._prepaid = prepaid
        self._settings = settings
        self._tasks: TaskGroup | None = None
        self.shards = [
            BudgetShard(
                Shard(number),
                me,
                settings,
                store,
                link,
                clock,
                health,
                lambda number=number: self._prepaid_of(number),  # type: ignore[misc]
                members,
                policy or ClaimPolicy(),
                started_s,
            )
            for number in range(settings.store.claim_shards)
        ]

    async def run(self) -> None:
        """Update claims, retry unconfirmed loans and give back unused tokens until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                for shard in self.shards:
                    tasks.start_soon(shard.keeper.run)
                while True:
                    await self._clock.sleep(self._settings.timing.claims_s)
                    for shard in self.shards:
                        await shard.borrower.ask_again()
                        await shard.borrower.give_back_rests()
        finally:
            self._tasks = None

    def begin_leaving(self) -> None:
        """Start to give back tokens that running requests don't need; no more are accepted."""
        for shard in self.shards:
            shard.keeper.begin_leaving()

    async def leave(self, *, until_s: float) -> None:
        """Give back unused tokens at a stop; hand over to a peer what cannot be given back.

        Parameters
        ----------
        until_s
            Deadline on the monotonic clock.
        """
        began_s = self._clock.monotonic_s()
        with anyio.move_on_after(until_s - _HAND_OVER_S - began_s) as giving_back:
            for shard in self.shards:
                await shard.keeper.give_back()
        if giving_back.cancelled_caught:
            took_s = round(self._clock.monotonic_s() - began_s, 3)
            emit(Event.CLAIMS_STRANDED, error=f"the store took more than {took_s} s")
        await self._wait_for_unlock(until_s - _HAND_OVER_S)
        with anyio.move_on_after(_HAND_OVER_S):
            for shard in self.shards:
                await shard.borrower.hand_over()

    async def _wait_for_unlock(self, until_s: float) -> None:
        """Wait for claims that unlock soon: before, tokens past a window can't be handed over."""
        unlocks_in_s = max(shard.keeper.unlocks_in_s() for shard in self.shards)
        ends_s = self._clock.monotonic_s() + unlocks_in_s
        if self._health.is_failing and unlocks_in_s <= _RESTART_S and ends_s <= until_s:
            await self._clock.sleep(unlocks_in_s)

    def take_over(self, handover: Handover) -> None:
        """Add tokens that a peer hands over."""
        self.shard_of(handover.budget).borrower.take_over(handover)

    def unused_tokens(self) -> dict[BudgetName, int]:
        """Return the claimed and unused tokens of each budget that has some."""
        held = (held for shard in self.shards for held in shard.keeper.book.held.values())
        return {one.budget: one.held_tokens for one in held if one.held_tokens > 0}

    def shard_of(self, budget: BudgetName) -> BudgetShard:
        """Return the shard of a budget."""
        return self.shards[shard_index(budget, len(self.shards))]

    async def reserve(
        self, budget: BudgetName, tokens: int, priority: int, remaining_s: float
    ) -> Reservation | Refusal:
        """Reserve a request's upper bound, or return the reason for the refusal."""
        shard = self.shard_of(budget)
        wait_s = min(TOKENS_WAIT_S, remaining_s / 3)
        if self._tasks is None:
            # During a stop, requests on persistent connections may arrive after the claim tasks
            # have ended.
            return Refusal(ErrorKind.STOPPING, retry_after_s=STOPPING_COME_BACK_S)
        reservation = await shard.reserve(budget, tokens, priority, wait_s, self._tasks)
        if reservation is not None:
            return reservation
        if shard.is_exhausted(budget, tokens):
            return Refusal(ErrorKind.BUDGET_EXHAUSTED, f"{budget}: {tokens} tokens do not fit")
        held = shard.keeper.book.of(budget)
        detail = f"{budget}: {tokens} tokens, {held.available_tokens} held here"
        come_back_s = shard.come_back_s()
        return Refusal(ErrorKind.BUDGET_OUT_OF_REACH, detail, retry_after_s=come_back_s)

    def settle(self, reservation: Reservation, usage: Usage) -> None:
        """End a reservation with the tokens that its request consumed."""
        shard = self.shard_of(reservation.budget)
        shard.keeper.settle(reservation, usage)
        shard.announce()

    async def lend(self, request: LoanRequest) -> LoanReply:
        """Lend tokens to a peer."""
        return await self.shard_of(request.budget).lend(request)

    def look(self) -> None:
        """Request a poll of all claims: a top-up, a new budget or another role may be in force."""
        for shard in self.shards:
            shard.keeper.wake()

    def _prepaid_of(self, number: int) -> dict[BudgetName, int]:
        if len(self.shards) == 1:
            return self._prepaid()
        shard = self.shards[number]
        return {b: t for b, t in self._prepaid().items() if self.shard_of(b) is shard}
