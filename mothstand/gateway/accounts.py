"""Reserves and settles tokens of prepaid budgets for requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import xxhash

from ..core.claim_policy import ClaimPolicy
from ..errors import ErrorKind, Refusal
from ..types import Shard
from .borrowing import Borrower
from .claim_keeper import ClaimKeeper

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from ..clock import Clock
    from ..core.claims import Reservation
    from ..core.loans import Peer
    from ..log.health import LogHealth
    from ..settings.gateway import GatewaySettings
    from ..types import BudgetName
    from .lending import LoanRequest, PeerLink
    from .store import Store

#: Longest wait of a request for tokens: several calm rounds of the store or of all peers, and
#: within the shortest usual objective of a stream.
TOKENS_WAIT_S = 0.3

#: Until tokens that lie elsewhere have moved, or running requests have given back their rest.
_COME_BACK_S = 0.6


class BudgetShard:
    """The budgets of one shard: who waits for tokens, and where they may come from."""

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
        peers: Callable[[], list[Peer]],
        policy: ClaimPolicy,
    ) -> None:
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
            settings.timing.claims_s,
            self.announce,
        )
        self.borrower = Borrower(self.keeper, link, peers, clock, self.announce)

    async def reserve(
        self, budget: BudgetName, tokens: int, priority: int, wait_s: float, tasks: TaskGroup
    ) -> Reservation | None:
        """Set tokens aside, waiting for a claim or a loan while there is hope of one."""
        keeper = self.keeper
        keeper.demand_on(budget).ask(tokens, priority, self._clock.monotonic_s())
        reservation = self._try(budget, tokens, priority)
        if reservation is not None:
            return reservation
        waiting = keeper.waiting_of(budget)
        waiting[priority] += tokens
        try:
            with anyio.move_on_after(wait_s):
                if keeper.may_help(budget):
                    reservation = await self._look(budget, tokens, priority)
                if reservation is None:
                    reservation = await self._borrow(budget, tokens, priority, tasks)
        finally:
            waiting[priority] -= tokens
        return reservation

    async def _look(self, budget: BudgetName, tokens: int, priority: int) -> Reservation | None:
        """Wait for a look at the store that began after now."""
        began_s = self._clock.monotonic_s()
        self.keeper.wake()
        return await self._wait(
            budget,
            tokens,
            priority,
            lambda: self.keeper.looked_s >= began_s or self._health.is_failing,
        )

    async def _borrow(
        self, budget: BudgetName, tokens: int, priority: int, tasks: TaskGroup
    ) -> Reservation | None:
        """Wait for a round of loans."""
        self.borrower.begin(budget, priority, tasks)
        return await self._wait(
            budget, tokens, priority, lambda: not self.borrower.is_running(budget, priority)
        )

    async def _wait(
        self, budget: BudgetName, tokens: int, priority: int, is_over: Callable[[], bool]
    ) -> Reservation | None:
        while True:
            reservation = self._try(budget, tokens, priority)
            if reservation is not None or is_over():
                return reservation
            await self._more.wait()

    def _try(self, budget: BudgetName, tokens: int, priority: int) -> Reservation | None:
        self.keeper.update_lock()
        kept = self.keeper.kept_tokens(budget, priority)
        return self.keeper.book.of(budget).reserve(tokens, kept_tokens=kept)

    def is_exhausted(self, budget: BudgetName, tokens: int) -> bool:
        """Return whether a request surely does not fit any more.

        What holders have spent only grows, so a request that does not fit into what is left of it
        never will, short of a top-up. What others merely hold may come back.
        """
        keeper = self.keeper
        if not keeper.is_listed:
            return False
        return tokens > keeper.prepaid().get(budget, 0) - keeper.spent_tokens(budget)

    def come_back_s(self) -> float:
        """Return when a request that got no tokens should come back."""
        if self._health.is_failing:
            return max(_COME_BACK_S, self.keeper.unlocks_in_s())
        return _COME_BACK_S

    def announce(self) -> None:
        """Wake the requests that wait for tokens."""
        more, self._more = self._more, anyio.Event()
        more.set()


class Accounts:
    """All budgets of one instance, spread over shards."""

    def __init__(
        self,
        settings: GatewaySettings,
        me: Peer,
        store: Store,
        link: PeerLink,
        clock: Clock,
        health: LogHealth,
        prepaid: Callable[[], dict[BudgetName, int]],
        policy: ClaimPolicy | None = None,
    ) -> None:
        self._me = me
        self._clock = clock
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
                self.peers,
                policy or ClaimPolicy(),
            )
            for number in range(settings.store.claim_shards)
        ]

    async def run(self) -> None:
        """Keep claims filled until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for shard in self.shards:
                tasks.start_soon(shard.keeper.run)
            while True:
                await self._clock.sleep(self._settings.timing.claims_s)
                for shard in self.shards:
                    await shard.borrower.ask_again()

    async def give_back(self) -> None:
        """Give back what is not used, at a stop."""
        for shard in self.shards:
            await shard.keeper.give_back()

    def unused_tokens(self) -> dict[BudgetName, int]:
        """Return what is claimed and not used, of the budgets with any."""
        held = (held for shard in self.shards for held in shard.keeper.book.held.values())
        return {one.budget: one.held_tokens for one in held if one.held_tokens > 0}

    def peers(self) -> list[Peer]:
        """Return the other instances that announced themselves."""
        known = self.shards[0].keeper.peers.values()
        return [peer for peer in known if peer.instance != self._me.instance]

    def shard_of(self, budget: BudgetName) -> BudgetShard:
        """Return the shard of a budget."""
        return self.shards[xxhash.xxh3_64_intdigest(budget.encode()) % len(self.shards)]

    async def reserve(
        self, budget: BudgetName, tokens: int, priority: int, remaining_s: float
    ) -> Reservation | Refusal:
        """Set a request's upper bound aside, or say truthfully why not."""
        shard = self.shard_of(budget)
        wait_s = min(TOKENS_WAIT_S, remaining_s / 3)
        assert self._tasks is not None, "reserve() before run()"
        reservation = await shard.reserve(budget, tokens, priority, wait_s, self._tasks)
        if reservation is not None:
            return reservation
        if shard.is_exhausted(budget, tokens):
            return Refusal(ErrorKind.BUDGET_EXHAUSTED, f"{budget}: {tokens} tokens do not fit")
        held = shard.keeper.book.of(budget)
        detail = f"{budget}: {tokens} tokens, {held.available_tokens} held here"
        come_back_s = shard.come_back_s()
        return Refusal(ErrorKind.BUDGET_OUT_OF_REACH, detail, retry_after_s=come_back_s)

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """End a reservation with what its request consumed."""
        shard = self.shard_of(reservation.budget)
        shard.keeper.book.of(reservation.budget).settle(reservation, used_tokens)
        shard.announce()

    def lend(self, request: LoanRequest) -> int:
        """Give tokens to a peer."""
        return self.shard_of(request.budget).borrower.lend(request)

    def config_changed(self) -> None:
        """Look at the claims now: a top-up or a new budget may be in force."""
        for shard in self.shards:
            shard.keeper.wake()

    def _prepaid_of(self, number: int) -> dict[BudgetName, int]:
        if len(self.shards) == 1:
            return self._prepaid()
        shard = self.shards[number]
        return {b: t for b, t in self._prepaid().items() if self.shard_of(b) is shard}
