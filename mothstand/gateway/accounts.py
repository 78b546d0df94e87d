"""Reserves and settles tokens of prepaid budgets for requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from ..core.claim_policy import ClaimPolicy
from ..core.hashing import shard_index
from ..core.shutdown import STOPPING_RETRY_AFTER_S
from ..errors import ErrorKind, Refusal
from ..events import Event, emit
from ..types import Shard
from .borrowing import Borrower
from .claim_manager import ClaimManager

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from ..clock import Clock
    from ..core.claims import Reservation, Usage
    from ..core.loans import Peer
    from ..log.health import PlatformHealth
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
_HANDOVER_RESERVE_S = 0.3

#: Time until the successor of a stopped instance runs. If the claims unlock later than that, the
#: successor can still prove which part of them was not spent; after the unlock nobody can.
_RESTART_S = 1.5

#: Time in which tokens usually arrive from other instances or are released by running requests.
_RETRY_AFTER_S = 0.6


@dataclass(frozen=True, slots=True)
class BudgetPreview:
    """What this instance knows of a budget for a request.

    Parameters
    ----------
    available_tokens
        Tokens that are held here and may be reserved now, before any are withheld for requests of
        a higher priority.
    is_exhausted
        Whether the request cannot fit into the budget without a top-up.
    """

    available_tokens: int
    is_exhausted: bool


class BudgetShard:
    """Reserves tokens of one shard's budgets, from claims or from loans of peers."""

    def __init__(
        self,
        shard: Shard,
        local_peer: Peer,
        settings: GatewaySettings,
        store: Store,
        link: PeerLink,
        clock: Clock,
        health: PlatformHealth,
        prepaid: Callable[[], dict[BudgetName, int]],
        members: MemberFeed,
        policy: ClaimPolicy,
        started_s: float | None,
    ) -> None:
        self._shard = shard
        self._members = members
        self._clock = clock
        self._health = health
        self._change_event = anyio.Event()
        self.claim_manager = ClaimManager(
            shard,
            local_peer,
            store,
            clock,
            health,
            policy,
            prepaid,
            self._claimant_count,
            settings.timing.claims_s,
            self.wake_waiting,
            started_s,
        )
        self.borrower = Borrower(
            self.claim_manager, link, lambda: members.fleet.lenders(shard), clock, self.wake_waiting
        )

    def _claimant_count(self) -> int:
        """Return the number of claimants of the shard, 0 unless this instance is one of them."""
        fleet = self._members.fleet
        if not (self._members.is_settled and fleet.is_claimant(self._shard)):
            return 0
        return len(fleet.claimants(self._shard))

    async def reserve(
        self, budget: BudgetName, tokens: int, priority: int, wait_s: float, tasks: TaskGroup
    ) -> Reservation | None:
        """Reserve tokens, waiting up to `wait_s` for a claim or a loan that may provide them."""
        manager = self.claim_manager
        manager.demand_for(budget).add_request(tokens, priority, self._clock.monotonic_s())
        reservation = self._try_reserve(budget, tokens, priority)
        if reservation is not None:
            return reservation
        waiting = manager.waiting_tokens_by_priority(budget)
        waiting[priority] += tokens
        try:
            with anyio.move_on_after(wait_s):
                if manager.is_claimant and manager.can_serve_from_store(budget):
                    reservation = await self._wait_for_poll(budget, tokens, priority)
                if reservation is None:
                    reservation = await self._wait_for_loans(budget, tokens, priority, tasks)
        finally:
            waiting[priority] -= tokens
        return reservation

    async def lend(self, request: LoanRequest) -> LoanReply:
        """Lend tokens to a peer; if the peer does not claim itself, claim missing tokens first."""
        manager, budget, tokens = self.claim_manager, request.budget, request.needed_tokens
        if manager.is_claimant and request.borrows_only and tokens:
            manager.demand_for(budget).add_request(
                tokens, request.priority, self._clock.monotonic_s()
            )
        elif manager.is_claimant:
            # A borrower that claims has found nothing free in the store, so only tokens held by
            # this instance can be lent.
            tokens = min(tokens, manager.claims.held_budget(budget).held_tokens)
        if manager.is_claimant and not self._has_available(budget, tokens, request.priority):
            await self._claim_for_borrower(budget, tokens, request.priority)
        return self.borrower.lend(request)

    async def _claim_for_borrower(self, budget: BudgetName, tokens: int, priority: int) -> None:
        """Wait for a poll of the store on behalf of a borrower.

        Otherwise a lender that reaches the store lends at most its base, and near a budget's end
        requests are refused although other instances hold tokens beyond their bases.
        """
        if not self.claim_manager.can_serve_from_store(budget):
            return
        waiting = self.claim_manager.waiting_tokens_by_priority(budget)
        waiting[priority] += tokens
        try:
            with anyio.move_on_after(_CLAIM_FOR_BORROWER_S):
                is_over = self._request_poll()
                while not self._has_available(budget, tokens, priority) and not is_over():
                    await self._change_event.wait()
        finally:
            waiting[priority] -= tokens

    def _has_available(self, budget: BudgetName, tokens: int, priority: int) -> bool:
        self.claim_manager.update_opening()
        withheld_tokens = self.claim_manager.withheld_tokens(budget, priority)
        return (
            self.claim_manager.claims.held_budget(budget).available_tokens - withheld_tokens
            >= tokens
        )

    def _request_poll(self) -> Callable[[], bool]:
        """Request a new poll of the store.

        Returns a function that tests whether the poll is over or the store fails.
        """
        began_s = self._clock.monotonic_s()
        self.claim_manager.wake()
        return lambda: self.claim_manager.polled_s >= began_s or self._health.is_failing

    async def _wait_for_poll(
        self, budget: BudgetName, tokens: int, priority: int
    ) -> Reservation | None:
        """Wait for a poll of the store that begins after this call."""
        return await self._wait_for_tokens(budget, tokens, priority, self._request_poll())

    async def _wait_for_loans(
        self, budget: BudgetName, tokens: int, priority: int, tasks: TaskGroup
    ) -> Reservation | None:
        """Wait for a round of loans that begins after this call.

        A round that is already running may have asked its peers for less than is needed now.
        """

        def is_over() -> bool:
            return not self.borrower.is_round_running(budget, priority)

        if not is_over():
            reservation = await self._wait_for_tokens(budget, tokens, priority, is_over)
            if reservation is not None:
                return reservation
        self.borrower.begin_round(budget, priority, tasks)
        return await self._wait_for_tokens(budget, tokens, priority, is_over)

    async def _wait_for_tokens(
        self, budget: BudgetName, tokens: int, priority: int, is_over: Callable[[], bool]
    ) -> Reservation | None:
        while True:
            reservation = self._try_reserve(budget, tokens, priority)
            if reservation is not None or is_over():
                return reservation
            await self._change_event.wait()

    def _try_reserve(self, budget: BudgetName, tokens: int, priority: int) -> Reservation | None:
        self.claim_manager.update_opening()
        withheld_tokens = self.claim_manager.withheld_tokens(budget, priority)
        return self.claim_manager.claims.held_budget(budget).reserve(
            tokens, withheld_tokens=withheld_tokens
        )

    def is_exhausted(self, budget: BudgetName, tokens: int) -> bool:
        """Return whether a request cannot fit into the budget without a top-up.

        Confirmed spend only grows, so a request that exceeds the remainder never fits. Tokens held
        by other instances may be returned, and uncertain tokens may not have been consumed:
        neither makes a budget exhausted.
        """
        manager = self.claim_manager
        spent = self.borrower.spent_tokens(budget)
        if manager.is_listed:
            spent = max(spent, manager.spent_tokens(budget))
        return tokens > manager.prepaid().get(budget, 0) - spent

    def preview(self, budget: BudgetName, tokens: int) -> BudgetPreview:
        """Return what is known of a budget for a request; nothing is reserved or recorded."""
        manager = self.claim_manager
        held = manager.claims.held_budgets.get(budget)
        available_tokens = 0 if held is None else held.available_tokens
        return BudgetPreview(available_tokens, self.is_exhausted(budget, tokens))

    def retry_after_s(self) -> float:
        """Return the seconds after which a request that got no tokens should be retried."""
        if self._health.is_failing:
            return max(_RETRY_AFTER_S, self.claim_manager.unlocks_in_s())
        return _RETRY_AFTER_S

    def wake_waiting(self) -> None:
        """Wake the requests that wait for tokens."""
        event, self._change_event = self._change_event, anyio.Event()
        event.set()


class Accounts:
    """Reserves, settles and lends tokens of all budgets of one instance, by shard."""

    def __init__(
        self,
        settings: GatewaySettings,
        local_peer: Peer,
        store: Store,
        link: PeerLink,
        clock: Clock,
        health: PlatformHealth,
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
                local_peer,
                settings,
                store,
                link,
                clock,
                health,
                lambda number=number: self._prepaid_of_shard(number),  # type: ignore[misc]
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
                    tasks.start_soon(shard.claim_manager.run)
                while True:
                    await self._clock.sleep(self._settings.timing.claims_s)
                    for shard in self.shards:
                        await shard.borrower.retry_unconfirmed()
                        await shard.borrower.give_back_unused()
                        await shard.borrower.report_spent()
        finally:
            self._tasks = None

    def begin_stopping(self) -> None:
        """Start to give back tokens that running requests don't need; no new requests follow."""
        for shard in self.shards:
            shard.claim_manager.begin_stopping()

    async def stop(self, *, until_s: float) -> None:
        """Give back unused tokens at a stop; hand over to a peer what cannot be given back.

        Parameters
        ----------
        until_s
            Deadline on the monotonic clock.
        """
        began_s = self._clock.monotonic_s()
        with anyio.move_on_after(until_s - _HANDOVER_RESERVE_S - began_s) as giving_back:
            for shard in self.shards:
                await shard.claim_manager.give_back()
        if giving_back.cancelled_caught:
            took_s = round(self._clock.monotonic_s() - began_s, 3)
            emit(Event.CLAIMS_STRANDED, error=f"the store took more than {took_s} s")
        await self._wait_for_unlock(until_s - _HANDOVER_RESERVE_S)
        with anyio.move_on_after(_HANDOVER_RESERVE_S):
            for shard in self.shards:
                await shard.borrower.hand_over()

    async def _wait_for_unlock(self, until_s: float) -> None:
        """Wait for claims that unlock soon.

        Before the unlock the tokens past a claim's window cannot be handed over to a peer.
        """
        unlocks_in_s = max(shard.claim_manager.unlocks_in_s() for shard in self.shards)
        ends_s = self._clock.monotonic_s() + unlocks_in_s
        if self._health.is_failing and unlocks_in_s <= _RESTART_S and ends_s <= until_s:
            await self._clock.sleep(unlocks_in_s)

    def take_over(self, handover: Handover) -> None:
        """Add tokens that a peer hands over."""
        self.shard_of(handover.budget).borrower.take_over(handover)

    def unused_tokens(self) -> dict[BudgetName, int]:
        """Return the claimed and unused tokens of each budget that has some."""
        held = (
            held
            for shard in self.shards
            for held in shard.claim_manager.claims.held_budgets.values()
        )
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
            return Refusal(ErrorKind.STOPPING, retry_after_s=STOPPING_RETRY_AFTER_S)
        reservation = await shard.reserve(budget, tokens, priority, wait_s, self._tasks)
        if reservation is not None:
            return reservation
        if shard.is_exhausted(budget, tokens):
            return Refusal(ErrorKind.BUDGET_EXHAUSTED, f"{budget}: {tokens} tokens do not fit")
        held = shard.claim_manager.claims.held_budget(budget)
        detail = f"{budget}: {tokens} tokens, {held.available_tokens} held here"
        retry_after_s = shard.retry_after_s()
        return Refusal(ErrorKind.BUDGET_OUT_OF_REACH, detail, retry_after_s=retry_after_s)

    def preview(self, budget: BudgetName, tokens: int) -> BudgetPreview:
        """Return what is known of a budget for a request; nothing is reserved or recorded."""
        return self.shard_of(budget).preview(budget, tokens)

    def settle(self, reservation: Reservation, usage: Usage) -> None:
        """End a reservation with the tokens that its request consumed."""
        shard = self.shard_of(reservation.budget)
        shard.claim_manager.settle(reservation, usage)
        shard.wake_waiting()

    async def lend(self, request: LoanRequest) -> LoanReply:
        """Lend tokens to a peer."""
        return await self.shard_of(request.budget).lend(request)

    def poll(self) -> None:
        """Request a poll of all claims: a top-up, a new budget or another role may be in force."""
        for shard in self.shards:
            shard.claim_manager.wake()

    def _prepaid_of_shard(self, number: int) -> dict[BudgetName, int]:
        if len(self.shards) == 1:
            return self._prepaid()
        shard = self.shards[number]
        return {b: t for b, t in self._prepaid().items() if self.shard_of(b) is shard}
