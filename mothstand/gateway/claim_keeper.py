"""Writes this instance's claims on one shard of budgets, by conditional appends."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from ..core.backoff import Backoff
from ..core.claim_policy import (
    ClaimPolicy,
    view_of,
    wanted_claim_tokens,
    wanted_window,
)
from ..core.claims import Claim, ClaimBook, ClaimTable, Holder
from ..core.loans import Holding, holdings
from ..core.renewals import CLOSED, UNLOCK_S, Opening, Renewal, opening_after
from ..core.succession import Succession
from ..core.urgency import BudgetDemand, Supply
from ..events import Event, emit
from .ledger_records import (
    claims_stream,
    decode,
    encode_claim,
    encode_renewal,
    is_renewal,
)
from .store import Store, StoreConflictError, StoreError, StoreSilentError, StoreTrimmedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..core.claims import Reservation, Usage
    from ..core.loans import Peer
    from ..log.health import LogHealth
    from ..types import BudgetName, Shard
    from .store import KeyedRecord

#: Maximum appends in a row that conflict with other writers before the next poll. Each also costs
#: one read.
_MOST_CONFLICTS = 8

#: Minimum time between two polls, also when many requests wait: the tokens that they wait for are
#: then mostly held by other instances, and each poll makes two calls to the store.
_LEAST_PAUSE_S = 0.03

#: Maximum polls per second of all claimants together. With more, appends conflict, and each
#: claimant reads what all others write. With nine claimants each polls every 0.36 s.
_MOST_LOOKS_PER_S = 25.0

#: Records from before the start that are read for the renewals of this instance's previous start:
#: ten seconds of polls with some six changed claims each.
_HISTORY_RECORDS = 2000

_BACKOFF_FIRST_S = 0.1
_BACKOFF_MOST_S = 0.5


class ClaimKeeper:
    """Reads the claims of a shard and writes those of this instance.

    Parameters
    ----------
    prepaid
        Returns the prepaid totals of the shard's budgets.
    claimant_count
        Returns the number of claimants of the shard, this instance included; 0 if it is not one.
    on_change
        Called when more tokens may be available.
    started_s
        Start of the process on the monotonic clock; the current time if not given.
    """

    def __init__(
        self,
        shard: Shard,
        me: Peer,
        store: Store,
        clock: Clock,
        health: LogHealth,
        policy: ClaimPolicy,
        prepaid: Callable[[], dict[BudgetName, int]],
        claimants: Callable[[], int],
        look_every_s: float,
        changed: Callable[[], None],
        started_s: float | None = None,
    ) -> None:
        self.book = ClaimBook(Holder(me.instance, me.incarnation))
        self._waiting: dict[BudgetName, Counter[int]] = {}
        self._demand: dict[BudgetName, BudgetDemand] = {}
        self.looked_s = float("-inf")
        self._me = me
        started_s = clock.monotonic_s() if started_s is None else started_s
        started_wall_s = clock.now().timestamp() - (clock.monotonic_s() - started_s)
        self.succession = Succession(me, started_s, started_wall_s)
        self._sent_s = clock.boot_s()
        self._stream = claims_stream(shard)
        self._store = store
        self._clock = clock
        self._health = health
        self._policy = policy
        self.prepaid = prepaid
        self._claimants = claimants
        self._look_every_s = look_every_s
        self._changed = changed
        self._listed = False
        self._wake = anyio.Event()
        self._leaving = False

    @property
    def is_claimant(self) -> bool:
        """Whether this instance claims from the store; otherwise it only borrows."""
        return self._claimants() > 0

    @property
    def is_cut_off(self) -> bool:
        """Whether the store is unreachable."""
        return self._health.is_failing

    @property
    def is_listed(self) -> bool:
        """Whether the claims of all holders have been read."""
        return self._listed

    def demand_on(self, budget: BudgetName) -> BudgetDemand:
        """Return the demand for a budget's tokens."""
        return self._demand.setdefault(budget, BudgetDemand())

    def waiting_of(self, budget: BudgetName) -> Counter[int]:
        """Return the tokens that requests wait for, by priority."""
        return self._waiting.setdefault(budget, Counter())

    def kept_tokens(self, budget: BudgetName, priority: int) -> int:
        """Return the tokens that requests of a priority must leave for higher priorities.

        Zero for a borrower: its lenders withhold tokens on behalf of all their borrowers.
        """
        if not self.is_claimant:
            return 0
        now_s = self._clock.monotonic_s()
        return self.demand_on(budget).kept_tokens(priority, self.supply(budget), now_s)

    def may_help(self, budget: BudgetName) -> bool:
        """Return whether a poll of the store may provide the tokens of all waiting requests."""
        if self._health.is_failing:
            return False
        free = self.prepaid().get(budget, 0) - self.book.table.claimed_tokens(budget)
        return max(0, free) + self.book.of(budget).held_tokens >= self._waiting_tokens(budget)

    def supply(self, budget: BudgetName) -> Supply:
        """Return the state that decides whether a budget can be refilled."""
        held = self.book.of(budget)
        return Supply(
            silent_s=self._health.silent_s(),
            locked_tokens=held.held_tokens - held.available_tokens,
            unlocks_in_s=self.unlocks_in_s(),
        )

    def wanted_tokens(self, budget: BudgetName, priority: int) -> int:
        """Return the tokens needed to serve all waiting requests up to a priority.

        Includes the tokens withheld for higher priorities. Otherwise a request would get as many
        tokens as it asked for and still be refused.
        """
        needed = sum(tokens for p, tokens in self.waiting_of(budget).items() if p <= priority)
        return needed + self.kept_tokens(budget, priority)

    def _waiting_tokens(self, budget: BudgetName) -> int:
        """Return the tokens needed to serve all waiting requests."""
        waiting = [p for p, tokens in self.waiting_of(budget).items() if tokens > 0]
        return self.wanted_tokens(budget, max(waiting)) if waiting else 0

    def holdings(self, budget: BudgetName) -> tuple[Holding, ...] | None:
        """Return other claimants' holdings of a budget, largest first; None if not known."""
        if not (self.is_claimant and self._listed) or self._health.is_failing:
            return None
        return holdings(self.book.table, budget, self.book.me, self._clock.monotonic_s())

    def spent_tokens(self, budget: BudgetName) -> int:
        """Return the confirmed spend of a budget: a lower bound of what was spent."""
        claims = self.book.table.claims[budget]
        spent = sum(c.spent_tokens for holder, c in claims.items() if holder != self.book.me)
        return spent + self.book.of(budget).recorded_spent_tokens

    def settle(self, reservation: Reservation, usage: Usage) -> None:
        """End a reservation with the tokens that its request consumed."""
        held = self.book.of(reservation.budget)
        spent = held.settle(reservation, usage)
        if not self.is_claimant:
            held.spend_borrowed(spent)

    def wake(self) -> None:
        """Request a poll now."""
        self._wake.set()

    def begin_leaving(self) -> None:
        """Lower claims to the maximum that running requests need, from now on, at each poll.

        At the end of a stop only a fraction of a second is left for that. With a store that takes
        0.3 s per call it was too short, and the tokens of the stopped instance were lost.
        """
        self._leaving = True
        self.wake()

    async def give_back(self) -> None:
        """Lower all claims to what was used, at a stop: the remainder would be lost."""
        self._leaving = True
        if not self._holds_claims():
            return
        try:
            await self.look()
        except StoreError as error:
            self._health.failed(error)
            emit(Event.CLAIMS_STRANDED, error=str(error))

    async def run(self) -> None:
        """Poll the store and update claims until cancelled."""
        backoff = Backoff(_BACKOFF_FIRST_S, _BACKOFF_MOST_S)
        while True:
            self._wake = anyio.Event()
            if not self.is_claimant and not self._holds_claims():
                with anyio.move_on_after(self._look_every_s):
                    await self._wake.wait()
                continue
            try:
                began_s = self._clock.monotonic_s()
                await self.look()
                self.looked_s = began_s
                backoff.reset()
                self._changed()
                await self._clock.sleep(_LEAST_PAUSE_S)
                with anyio.move_on_after(self._pause_s):
                    await self._wake.wait()
            except StoreError as error:
                self._health.failed(error)
                self._changed()
                await self._clock.sleep(backoff.jittered_s())

    @property
    def _pause_s(self) -> float:
        """Seconds between two polls that were not requested."""
        return max(self._look_every_s, self._claimants() / _MOST_LOOKS_PER_S)

    def _holds_claims(self) -> bool:
        """Return whether claims from a time as claimant are still to be given back."""
        held = self.book.held.values()
        return any(h.limit_tokens > max(0, h.needed_claim_tokens) for h in held)

    async def look(self) -> None:
        """Read new records and write the claims that should change."""
        for _ in range(_MOST_CONFLICTS):
            await self._read()
            claims = self._plan()
            if not self.book.covers(claims):
                emit(Event.RENEWAL_WITHHELD, claims=len(claims))
                return
            records = [encode_claim(claim) for claim in claims]
            records.append(encode_renewal(self._renewal()))
            if await self._append(claims, tuple(records)):
                return
            await self._clock.sleep(random.uniform(0.0, 0.01))

    async def _read(self) -> None:
        try:
            if not self._listed:
                await self._list()
            page = await self._store.read(self._stream, self.book.table.next_offset)
        except StoreTrimmedError:
            await self._list()
            page = await self._store.read(self._stream, self.book.table.next_offset)
        self._health.answered()
        self._apply(page.records)
        self.book.took(page.next_offset)

    async def _list(self) -> None:
        """Read the newest claims of all holders, at the start or after records were trimmed."""
        page = await self._store.newest(self._stream)
        self._health.answered()
        self.book.table = ClaimTable(read_at_s=self.book.table.read_at_s)
        self._apply(page.records)
        self.book.took(page.next_offset)
        if not self._listed:
            await self._read_history(page.next_offset)
        self._listed = True

    async def _read_history(self, end_offset: int) -> None:
        """Read the renewals that were written before the start."""
        try:
            from_offset = max(0, end_offset - _HISTORY_RECORDS)
            page = await self._store.read(self._stream, from_offset)
        except StoreTrimmedError:
            # Without renewals nothing can be proven of the previous start; its claims remain.
            return
        renewals = [record for record in page.records if is_renewal(record)]
        self._apply(tuple(r for r in renewals if r.offset < end_offset))

    def _apply(self, records: tuple[KeyedRecord, ...]) -> None:
        now_s = self._clock.monotonic_s()
        for record in records:
            if record.value is None:
                continue
            try:
                decoded = decode(record)
            except ValueError as error:
                # Every reader skips the same records, so all tables stay equal.
                emit(Event.RECORD_SKIPPED, offset=record.offset, error=str(error))
                continue
            if isinstance(decoded, Renewal):
                self.succession.note(decoded)
            else:
                self.book.table.put(decoded, now_s)

    async def _append(self, claims: tuple[Claim, ...], records: tuple[KeyedRecord, ...]) -> bool:
        """Append claims; return False if another writer appended first."""
        doubt = self.book.begin(claims)
        self._sent_s = self._clock.boot_s()
        self.succession.sending(self._clock.monotonic_s())
        self._open(CLOSED)
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
        placed = (replace(r, offset=doubt.at_offset + i) for i, r in enumerate(records))
        self._apply(tuple(placed))
        self.book.took(doubt.at_offset + len(records))
        mine = [claim for claim in claims if claim.holder == self.book.me]
        self._tell(doubt.at_offset, Event.CLAIMS_WRITTEN, mine)
        others = [claim for claim in claims if claim.holder != self.book.me]
        self._tell(doubt.at_offset, Event.CLAIMS_RECLAIMED, others)
        return True

    def _tell(self, offset: int, event: Event, claims: list[Claim]) -> None:
        if claims:
            told = {c.budget: self._told(c) for c in claims}
            emit(event, offset=offset, holder=claims[0].holder, claims=told)

    def _told(self, claim: Claim) -> dict[str, int]:
        """Return the log fields of a claim; an own claim also has what was used of it."""
        told = {
            "claimed": claim.claimed_tokens,
            "base": claim.base_tokens,
            "window": claim.window_tokens,
            "spent": claim.spent_tokens,
        }
        if claim.holder == self.book.me:
            held = self.book.of(claim.budget)
            told["reserved"] = held.reserved_tokens
            told["given"] = held.given_tokens
            told["received"] = held.received_tokens
            told["in_doubt"] = held.doubtful_tokens
        return told

    def _plan(self) -> tuple[Claim, ...]:
        prepaid = self.prepaid()
        planned = [self._plan_one(budget, tokens) for budget, tokens in prepaid.items()]
        # No claim that exceeds the prepaid total is written, so a fault of the policy can cause
        # refusals but no overspending.
        planned += self.succession.reclaimed(self.book.table)
        return tuple(c for c in planned if c is not None and self.book.fits((c,), prepaid))

    def update_opening(self) -> None:
        """Set how much of the claims may be spent, by the time since the last append was sent.

        The boot clock is used since it counts the time in which a process was suspended. An append
        without an answer counts as well: it may be in the store.
        """
        self._open(opening_after(self._clock.boot_s() - self._sent_s))

    def _open(self, opening: Opening) -> None:
        if opening.all_claimed != self.book.opening.all_claimed:
            emit(Event.CLAIMS_UNLOCKED if opening.all_claimed else Event.CLAIMS_LOCKED)
        self.book.open(opening)

    def unlocks_in_s(self) -> float:
        """Return the seconds until claims may be spent past their windows."""
        return max(0.0, UNLOCK_S - (self._clock.boot_s() - self._sent_s))

    def _renewal(self) -> Renewal:
        return Renewal(self._me, self._clock.now().timestamp())

    def _plan_one(self, budget: BudgetName, prepaid_tokens: int) -> Claim | None:
        now_s = self._clock.monotonic_s()
        held = self.book.of(budget)
        demand = self.demand_on(budget).total
        view = view_of(
            self.book.table,
            held,
            demand,
            self.book.me,
            prepaid_tokens=prepaid_tokens,
            waiting_tokens=self._waiting_tokens(budget),
            instances=max(1, self._claimants()),
            now_s=now_s,
            policy=self._policy,
        )
        if self._leaving or not self.is_claimant:
            wanted = max(0, view.limit_tokens - view.held_tokens) if view.held_tokens > 0 else None
        else:
            wanted = wanted_claim_tokens(view, self._policy)
        claimed_tokens = held.limit_tokens if wanted is None else wanted
        window = wanted_window(view, claimed_tokens, self._policy)
        claim = Claim(
            budget=budget,
            holder=self.book.me,
            claimed_tokens=claimed_tokens,
            base_tokens=window.base_tokens,
            window_tokens=window.window_tokens,
            spent_tokens=held.recorded_spent_tokens,
            demand_tokens_per_s=demand.rate(now_s),
            held_tokens=max(0, claimed_tokens - held.needed_claim_tokens),
        )
        return claim if wanted is not None or self._is_news(claim) else None

    def _is_news(self, claim: Claim) -> bool:
        """Return whether other claimants need the claim's new values for their fair shares."""
        if self.book.doubts:
            return True
        written = self.book.table.claims[claim.budget].get(claim.holder)
        if written is None:
            return claim.spent_tokens > 0
        before = (written.spent_tokens, written.window_tokens, written.base_tokens)
        return before != (claim.spent_tokens, claim.window_tokens, claim.base_tokens)
