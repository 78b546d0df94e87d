"""Reserves and settles tokens of prepaid budgets, and keeps this instance's claims filled."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
import xxhash

from ..core.backoff import Backoff
from ..core.claim_policy import ClaimPolicy, Demand, view_of, wanted_claim_tokens
from ..core.claims import Claim, ClaimBook, ClaimTable, Holder, Reservation
from ..errors import ErrorKind, Refusal
from ..events import Event, emit
from ..types import BudgetName, Shard
from .claim_records import claims_stream, decode_claim, encode_claim
from .store import (
    Store,
    StoreConflictError,
    StoreError,
    StoreSilentError,
    StoreTrimmedError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..log.health import LogHealth
    from ..settings.gateway import GatewaySettings

#: Longest wait of a request for tokens while the store answers: forty times a calm round of read
#: and append, and within a small part of the shortest objective.
TOKENS_WAIT_S = 0.5

#: Appends tried in a row against other writers before the next look; each costs one read, too.
_MOST_CONFLICTS = 8

_BACKOFF_FIRST_S = 0.1
_BACKOFF_MOST_S = 0.5

#: When tokens lie elsewhere they are moved within a look or two.
_COME_BACK_S = 0.6


class AccountShard:
    """The budgets of one shard: books, demand, and the loop that claims."""

    def __init__(
        self,
        shard: Shard,
        me: Holder,
        store: Store,
        clock: Clock,
        health: LogHealth,
        policy: ClaimPolicy,
        prepaid: Callable[[], dict[BudgetName, int]],
        look_every_s: float,
    ) -> None:
        self.book = ClaimBook(me)
        self.instances = 1
        self._stream = claims_stream(shard)
        self._store = store
        self._clock = clock
        self._health = health
        self._policy = policy
        self._prepaid = prepaid
        self._look_every_s = look_every_s
        self._demand: dict[BudgetName, Demand] = {}
        self._waiting: dict[BudgetName, int] = {}
        self._written: dict[BudgetName, Claim] = {}
        self._listed = False
        self._wake = anyio.Event()
        self._changed = anyio.Event()

    async def reserve(self, budget: BudgetName, tokens: int, wait_s: float) -> Reservation | None:
        """Set tokens aside, waiting for a claim if the store answers."""
        demand = self._demand.setdefault(budget, Demand())
        demand.ask(tokens, self._clock.monotonic_s())
        held = self.book.of(budget)
        reservation = held.reserve(tokens)
        if reservation is not None or self._health.is_out:
            return reservation
        self._waiting[budget] = self._waiting.get(budget, 0) + tokens
        try:
            with anyio.move_on_after(wait_s):
                while reservation is None and not self.is_exhausted(budget, tokens):
                    self._wake.set()
                    changed = self._changed
                    await changed.wait()
                    reservation = held.reserve(tokens)
        finally:
            self._waiting[budget] -= tokens
        return reservation

    def is_exhausted(self, budget: BudgetName, tokens: int) -> bool:
        """Return whether a request surely does not fit any more.

        What holders have spent only grows, so a request that does not fit into what is left of it
        never will, short of a top-up. What others merely hold may come back.
        """
        if not self._listed:
            return False
        me = self.book.me
        spent = self.book.of(budget).spent_tokens
        claims = self.book.table.claims[budget]
        spent += sum(c.spent_tokens for holder, c in claims.items() if holder != me)
        return tokens > self._prepaid().get(budget, 0) - spent

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """End a reservation with what its request consumed."""
        self.book.of(reservation.budget).settle(reservation, used_tokens)
        self._announce()

    def wake(self) -> None:
        """Look at the claims now."""
        self._wake.set()

    async def run(self) -> None:
        """Keep claims filled until cancelled."""
        backoff = Backoff(_BACKOFF_FIRST_S, _BACKOFF_MOST_S)
        while True:
            self._wake = anyio.Event()
            try:
                await self._look()
                backoff.reset()
                with anyio.move_on_after(self._look_every_s):
                    await self._wake.wait()
            except StoreError as error:
                self._health.failed(error)
                # Jitter, lest all instances come back to a recovering store in step.
                await self._clock.sleep(backoff.next_s() * random.uniform(0.5, 1.5))

    async def _look(self) -> None:
        """Read on, and write the claims that should change."""
        for _ in range(_MOST_CONFLICTS):
            await self._read()
            claims = self._plan()
            if not claims:
                return
            if await self._append(claims):
                return
            await self._clock.sleep(random.uniform(0.0, 0.01))

    async def _read(self) -> None:
        try:
            if not self._listed:
                await self._list()
            while True:
                page = await self._store.read(self._stream, self.book.table.next_offset)
                self._health.answered()
                self._apply(page.records)
                self.book.took(page.next_offset)
                if not page.records:
                    break
        except StoreTrimmedError:
            self._listed = False
            await self._list()
        self._announce()

    async def _list(self) -> None:
        """Read the newest claims of all holders, at the start or after a gap."""
        page = await self._store.newest(self._stream)
        self._health.answered()
        self.book.table = ClaimTable(read_at_s=self.book.table.read_at_s)
        self._apply(page.records)
        self.book.took(page.next_offset)
        self._listed = True

    def _apply(self, records: tuple) -> None:
        now_s = self._clock.monotonic_s()
        for record in records:
            if record.value is None:
                continue
            try:
                self.book.table.put(decode_claim(record), now_s)
            except ValueError as error:
                # Every reader skips it alike, so all keep the same table.
                emit(Event.RECORD_SKIPPED, offset=record.offset, error=str(error))

    async def _append(self, claims: tuple[Claim, ...]) -> bool:
        """Write claims; return False if another writer came first."""
        records = tuple(encode_claim(claim) for claim in claims)
        doubt = self.book.begin(claims)
        try:
            await self._store.append(self._stream, records, at_offset=doubt.at_offset)
        except StoreSilentError:
            raise
        except StoreConflictError:
            self.book.rejected(doubt)
            return False
        except StoreError:
            self.book.rejected(doubt)
            raise
        self._health.answered()
        self.book.appended(claims, self._clock.monotonic_s())
        self._written.update({claim.budget: claim for claim in claims})
        self._announce()
        return True

    def _plan(self) -> tuple[Claim, ...]:
        claims = []
        now_s = self._clock.monotonic_s()
        prepaid = self._prepaid()
        for budget, prepaid_tokens in prepaid.items():
            held = self.book.of(budget)
            demand = self._demand.setdefault(budget, Demand())
            view = view_of(
                self.book.table,
                held,
                demand,
                self.book.me,
                prepaid_tokens=prepaid_tokens,
                waiting_tokens=self._waiting.get(budget, 0),
                instances=self.instances,
                now_s=now_s,
                policy=self._policy,
            )
            wanted = wanted_claim_tokens(view, self._policy)
            claim = Claim(
                budget=budget,
                holder=self.book.me,
                claimed_tokens=held.limit_tokens if wanted is None else wanted,
                spent_tokens=held.spent_tokens,
                demand_tokens_per_s=demand.rate(now_s),
            )
            if wanted is not None or self._is_news(claim):
                claims.append(claim)
        planned = tuple(claims)
        # Guards the promise itself: whatever the policy wants, no claim goes out that does not
        # fit, so a fault of the policy costs refusals and never tokens that nobody paid for.
        fitting = tuple(c for c in planned if self.book.fits((c,), prepaid))
        return fitting

    def _is_news(self, claim: Claim) -> bool:
        """Return whether others should hear of spend and demand, for their fair shares."""
        written = self._written.get(claim.budget)
        if written is None:
            return claim.spent_tokens > 0
        return written.spent_tokens != claim.spent_tokens

    def _announce(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()


class Accounts:
    """All budgets of one instance, spread over shards."""

    def __init__(
        self,
        settings: GatewaySettings,
        me: Holder,
        store: Store,
        clock: Clock,
        health: LogHealth,
        prepaid: Callable[[], dict[BudgetName, int]],
        policy: ClaimPolicy | None = None,
    ) -> None:
        self._count = settings.store.claim_shards
        self._prepaid = prepaid
        self._health = health
        self.shards = [
            AccountShard(
                Shard(number),
                me,
                store,
                clock,
                health,
                policy or ClaimPolicy(),
                lambda number=number: self._prepaid_of(number),  # type: ignore[misc]
                settings.timing.claims_s,
            )
            for number in range(self._count)
        ]

    def shard_of(self, budget: BudgetName) -> AccountShard:
        """Return the shard of a budget."""
        return self.shards[xxhash.xxh3_64_intdigest(budget.encode()) % self._count]

    async def reserve(
        self, budget: BudgetName, tokens: int, remaining_s: float
    ) -> Reservation | Refusal:
        """Set a request's upper bound aside, or say truthfully why not."""
        shard = self.shard_of(budget)
        wait_s = min(TOKENS_WAIT_S, remaining_s / 3)
        reservation = await shard.reserve(budget, tokens, wait_s)
        if reservation is not None:
            return reservation
        if shard.is_exhausted(budget, tokens):
            return Refusal(ErrorKind.BUDGET_EXHAUSTED, f"{budget}: {tokens} tokens do not fit")
        return Refusal(
            ErrorKind.BUDGET_OUT_OF_REACH, f"{budget}: {tokens} tokens", retry_after_s=_COME_BACK_S
        )

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """End a reservation with what its request consumed."""
        self.shard_of(reservation.budget).settle(reservation, used_tokens)

    def _prepaid_of(self, number: int) -> dict[BudgetName, int]:
        if self._count == 1:
            return self._prepaid()
        shard = self.shards[number]
        return {b: t for b, t in self._prepaid().items() if self.shard_of(b) is shard}
