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
    budget_view,
    wanted_claim_tokens,
    wanted_window,
)
from ..core.claims import Claim, ClaimTable, Holder, LocalClaims
from ..core.loans import Holding, holdings
from ..core.priority_reserve import BudgetDemand, Supply
from ..core.renewals import CLOSED, UNLOCK_S, Opening, Renewal, opening_after
from ..core.succession import Succession
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
    from ..log.health import PlatformHealth
    from ..types import BudgetName, Shard
    from .store import KeyedRecord

#: Maximum appends in a row that conflict with other writers before the next poll. Each also costs
#: one read.
_MAX_CONFLICTS = 8

#: Minimum time between two polls, also when many requests wait: the tokens that they wait for are
#: then mostly held by other instances, and each poll makes two calls to the store.
_MIN_PAUSE_S = 0.03

#: Maximum polls per second of all claimants together. With more, appends conflict, and each
#: claimant reads what all others write. With nine claimants each polls every 0.36 s.
_MAX_POLLS_PER_S = 25.0

#: Records from before the start that are read for the renewals of this instance's previous start:
#: ten seconds of polls with some six changed claims each.
_HISTORY_RECORDS = 2000

_BACKOFF_FIRST_S = 0.1
_BACKOFF_MAX_S = 0.5


class ClaimManager:
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
        local_peer: Peer,
        store: Store,
        clock: Clock,
        health: PlatformHealth,
        policy: ClaimPolicy,
        prepaid: Callable[[], dict[BudgetName, int]],
        claimant_count: Callable[[], int],
        poll_interval_s: float,
        on_change: Callable[[], None],
        started_s: float | None = None,
    ) -> None:
        self.claims = LocalClaims(Holder(local_peer.instance, local_peer.incarnation))
        self._waiting_by_budget: dict[BudgetName, Counter[int]] = {}
        self._demand_by_budget: dict[BudgetName, BudgetDemand] = {}
        self.polled_s = float("-inf")
        self._local_peer = local_peer
        started_s = clock.monotonic_s() if started_s is None else started_s
        started_wall_s = clock.now().timestamp() - (clock.monotonic_s() - started_s)
        self.succession = Succession(local_peer, started_s, started_wall_s)
        self._last_sent_boot_s = clock.boot_s()
        self._stream = claims_stream(shard)
        self._store = store
        self._clock = clock
        self._health = health
        self._policy = policy
        self.prepaid = prepaid
        self._claimant_count = claimant_count
        self._poll_interval_s = poll_interval_s
        self._on_change = on_change
        self._is_listed = False
        self._wake_event = anyio.Event()
        self._is_stopping = False

    @property
    def is_claimant(self) -> bool:
        """Whether this instance claims from the store; otherwise it only borrows."""
        return self._claimant_count() > 0

    @property
    def is_cut_off(self) -> bool:
        """Whether the store is unreachable."""
        return self._health.is_failing

    @property
    def is_listed(self) -> bool:
        """Whether the claims of all holders have been read."""
        return self._is_listed

    def demand_for(self, budget: BudgetName) -> BudgetDemand:
        """Return the demand for a budget's tokens."""
        return self._demand_by_budget.setdefault(budget, BudgetDemand())

    def waiting_tokens_by_priority(self, budget: BudgetName) -> Counter[int]:
        """Return the tokens that requests wait for, by priority."""
        return self._waiting_by_budget.setdefault(budget, Counter())

    def withheld_tokens(self, budget: BudgetName, priority: int) -> int:
        """Return the tokens that requests of a priority must leave for higher priorities.

        Zero for a borrower: its lenders withhold tokens on behalf of all their borrowers.
        """
        if not self.is_claimant:
            return 0
        now_s = self._clock.monotonic_s()
        return self.demand_for(budget).withheld_tokens(priority, self.supply(budget), now_s)

    def can_serve_from_store(self, budget: BudgetName) -> bool:
        """Return whether a poll of the store may provide the tokens of all waiting requests."""
        if self._health.is_failing:
            return False
        free = self.prepaid().get(budget, 0) - self.claims.table.claimed_tokens(budget)
        return max(0, free) + self.claims.held_budget(budget).held_tokens >= self._waiting_tokens(
            budget
        )

    def supply(self, budget: BudgetName) -> Supply:
        """Return the state that decides whether a budget can be refilled."""
        held = self.claims.held_budget(budget)
        return Supply(
            store_silent_s=self._health.failing_s(),
            locked_tokens=held.held_tokens - held.available_tokens,
            unlocks_in_s=self.unlocks_in_s(),
        )

    def wanted_tokens(self, budget: BudgetName, priority: int) -> int:
        """Return the tokens to hold for serving all waiting requests up to a priority.

        Includes the tokens withheld for higher priorities. Otherwise a request would get as many
        tokens as it asked for, and still be refused although enough tokens are held.
        """
        needed = sum(
            tokens for p, tokens in self.waiting_tokens_by_priority(budget).items() if p <= priority
        )
        return needed + self.withheld_tokens(budget, priority)

    def _waiting_tokens(self, budget: BudgetName) -> int:
        """Return the tokens to hold for serving all waiting requests."""
        waiting = [p for p, tokens in self.waiting_tokens_by_priority(budget).items() if tokens > 0]
        return self.wanted_tokens(budget, max(waiting)) if waiting else 0

    def holdings(self, budget: BudgetName) -> tuple[Holding, ...] | None:
        """Return other claimants' holdings of a budget, largest first; None if not known."""
        if not (self.is_claimant and self._is_listed) or self._health.is_failing:
            return None
        return holdings(self.claims.table, budget, self.claims.holder, self._clock.monotonic_s())

    def spent_tokens(self, budget: BudgetName) -> int:
        """Return the confirmed spend of a budget: a lower bound of what was spent."""
        claims = self.claims.table.claims.get(budget, {})
        spent = sum(c.spent_tokens for holder, c in claims.items() if holder != self.claims.holder)
        held = self.claims.held_budgets.get(budget)
        return spent if held is None else spent + held.recorded_spent_tokens

    def settle(self, reservation: Reservation, usage: Usage) -> None:
        """End a reservation with the tokens that its request consumed."""
        held = self.claims.held_budget(reservation.budget)
        spent = held.settle(reservation, usage)
        if not self.is_claimant:
            held.spend_borrowed(spent)

    def wake(self) -> None:
        """Request a poll now."""
        self._wake_event.set()

    def begin_stopping(self) -> None:
        """Lower claims to the maximum that running requests need, from now on, at each poll.

        If this began at the end of a stop, only a fraction of a second would be left for it. That
        was too short with a store that takes 0.3 s per call, and the tokens of the stopped
        instance were lost.
        """
        self._is_stopping = True
        self.wake()

    async def give_back(self) -> None:
        """Lower all claims to what was used, at a stop: the remainder would be lost."""
        self._is_stopping = True
        if not self._holds_claims():
            return
        try:
            await self.poll()
        except StoreError as error:
            self._health.note_failure(error)
            emit(Event.CLAIMS_STRANDED, error=str(error))

    async def run(self) -> None:
        """Poll the store and update claims until cancelled."""
        backoff = Backoff(_BACKOFF_FIRST_S, _BACKOFF_MAX_S)
        while True:
            self._wake_event = anyio.Event()
            if not self.is_claimant and not self._holds_claims():
                with anyio.move_on_after(self._poll_interval_s):
                    await self._wake_event.wait()
                continue
            try:
                began_s = self._clock.monotonic_s()
                await self.poll()
                self.polled_s = began_s
                backoff.reset()
                self._on_change()
                await self._clock.sleep(_MIN_PAUSE_S)
                with anyio.move_on_after(self._pause_s):
                    await self._wake_event.wait()
            except StoreError as error:
                self._health.note_failure(error)
                self._on_change()
                await self._clock.sleep(backoff.next_jittered_s())

    @property
    def _pause_s(self) -> float:
        """Seconds between two polls that were not requested."""
        return max(self._poll_interval_s, self._claimant_count() / _MAX_POLLS_PER_S)

    def _holds_claims(self) -> bool:
        """Return whether claims from a time as claimant are still to be given back."""
        held = self.claims.held_budgets.values()
        return any(h.limit_tokens > max(0, h.needed_claim_tokens) for h in held)

    async def poll(self) -> None:
        """Read new records and write the claims that should change."""
        for _ in range(_MAX_CONFLICTS):
            await self._read()
            claims = self._plan()
            if not self.claims.bases_cover_usage(claims):
                emit(Event.RENEWAL_WITHHELD, claims=len(claims))
                return
            records = [encode_claim(claim) for claim in claims]
            records.append(encode_renewal(self._renewal()))
            if await self._append(claims, tuple(records)):
                return
            await self._clock.sleep(random.uniform(0.0, 0.01))

    async def _read(self) -> None:
        try:
            if not self._is_listed:
                await self._read_listing()
            page = await self._store.read(self._stream, self.claims.table.next_offset)
        except StoreTrimmedError:
            await self._read_listing()
            page = await self._store.read(self._stream, self.claims.table.next_offset)
        self._health.note_success()
        self._apply(page.records)
        self.claims.advance_to(page.next_offset)

    async def _read_listing(self) -> None:
        """Read the newest claims of all holders, at the start or after records were trimmed."""
        page = await self._store.newest(self._stream)
        self._health.note_success()
        self.claims.table = ClaimTable(changed_at_s=self.claims.table.changed_at_s)
        self._apply(page.records)
        self.claims.advance_to(page.next_offset)
        if not self._is_listed:
            await self._read_history(page.next_offset)
        self._is_listed = True

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
            except Exception as error:
                # Every reader skips the same records, so all tables stay equal.
                emit(Event.RECORD_SKIPPED, offset=record.offset, error=str(error))
                continue
            if isinstance(decoded, Renewal):
                self.succession.apply_renewal(decoded)
            else:
                self.claims.table.apply(decoded, now_s)

    async def _append(self, claims: tuple[Claim, ...], records: tuple[KeyedRecord, ...]) -> bool:
        """Append claims; return False if another writer appended first."""
        unconfirmed = self.claims.begin_append(claims)
        self._last_sent_boot_s = self._clock.boot_s()
        self.succession.note_first_send(self._clock.monotonic_s())
        self._set_opening(CLOSED)
        try:
            await self._store.append(self._stream, records, at_offset=unconfirmed.condition_offset)
        except StoreSilentError:
            raise
        except StoreConflictError:
            self.claims.append_rejected(unconfirmed)
            return False
        except StoreError:
            self.claims.append_rejected(unconfirmed)
            raise
        self._health.note_success()
        placed = (
            replace(r, offset=unconfirmed.condition_offset + i) for i, r in enumerate(records)
        )
        self._apply(tuple(placed))
        self.claims.advance_to(unconfirmed.condition_offset + len(records))
        own_claims = [claim for claim in claims if claim.holder == self.claims.holder]
        self._log_claims(unconfirmed.condition_offset, Event.CLAIMS_WRITTEN, own_claims)
        reclaimed_claims = [claim for claim in claims if claim.holder != self.claims.holder]
        self._log_claims(unconfirmed.condition_offset, Event.CLAIMS_RECLAIMED, reclaimed_claims)
        return True

    def _log_claims(self, offset: int, event: Event, claims: list[Claim]) -> None:
        if claims:
            fields_by_budget = {c.budget: self._claim_fields(c) for c in claims}
            emit(event, offset=offset, holder=claims[0].holder, claims=fields_by_budget)

    def _claim_fields(self, claim: Claim) -> dict[str, int]:
        """Return the log fields of a claim; an own claim also has what was used of it."""
        fields = {
            "claimed": claim.claimed_tokens,
            "base": claim.base_tokens,
            "window": claim.window_tokens,
            "spent": claim.spent_tokens,
        }
        if claim.holder == self.claims.holder:
            held = self.claims.held_budget(claim.budget)
            fields["reserved"] = held.reserved_tokens
            fields["given"] = held.given_tokens
            fields["received"] = held.received_tokens
            fields["in_doubt"] = held.uncertain_tokens
        return fields

    def _plan(self) -> tuple[Claim, ...]:
        prepaid = self.prepaid()
        planned = [self._plan_one(budget, tokens) for budget, tokens in prepaid.items()]
        # No claim that exceeds the prepaid total is written, so a fault of the policy can cause
        # refusals but no overspending.
        planned += self.succession.reclaimable_claims(self.claims.table)
        return tuple(c for c in planned if c is not None and self.claims.fits((c,), prepaid))

    def update_opening(self) -> None:
        """Set how much of the claims may be spent, by the time since the last append was sent.

        The boot clock is used since it counts the time in which a process was suspended. An append
        without an answer counts as well: it may be in the store.
        """
        self._set_opening(opening_after(self._clock.boot_s() - self._last_sent_boot_s))

    def _set_opening(self, opening: Opening) -> None:
        if opening.is_full != self.claims.opening.is_full:
            emit(Event.CLAIMS_UNLOCKED if opening.is_full else Event.CLAIMS_LOCKED)
        self.claims.set_opening(opening)

    def unlocks_in_s(self) -> float:
        """Return the seconds until claims may be spent past their windows."""
        return max(0.0, UNLOCK_S - (self._clock.boot_s() - self._last_sent_boot_s))

    def _renewal(self) -> Renewal:
        return Renewal(self._local_peer, self._clock.now().timestamp())

    def _plan_one(self, budget: BudgetName, prepaid_tokens: int) -> Claim | None:
        now_s = self._clock.monotonic_s()
        held = self.claims.held_budget(budget)
        demand = self.demand_for(budget).total
        view = budget_view(
            self.claims.table,
            held,
            demand,
            self.claims.holder,
            prepaid_tokens=prepaid_tokens,
            waiting_tokens=self._waiting_tokens(budget),
            instances=max(1, self._claimant_count()),
            now_s=now_s,
            policy=self._policy,
        )
        if self._is_stopping or not self.is_claimant:
            wanted_tokens = (
                max(0, view.limit_tokens - view.held_tokens) if view.held_tokens > 0 else None
            )
        else:
            wanted_tokens = wanted_claim_tokens(view, self._policy)
        claimed_tokens = held.limit_tokens if wanted_tokens is None else wanted_tokens
        window = wanted_window(view, claimed_tokens, self._policy)
        claim = Claim(
            budget=budget,
            holder=self.claims.holder,
            claimed_tokens=claimed_tokens,
            base_tokens=window.base_tokens,
            window_tokens=window.window_tokens,
            spent_tokens=held.recorded_spent_tokens,
            demand_tokens_per_s=demand.rate_tokens_per_s(now_s),
            held_tokens=max(0, claimed_tokens - held.needed_claim_tokens),
        )
        return claim if wanted_tokens is not None or self._has_changed(claim) else None

    def _has_changed(self, claim: Claim) -> bool:
        """Return whether other claimants need the claim's new values for their fair shares."""
        if self.claims.unconfirmed_appends:
            return True
        written = self.claims.table.claims[claim.budget].get(claim.holder)
        if written is None:
            return claim.spent_tokens > 0
        written_values = (written.spent_tokens, written.window_tokens, written.base_tokens)
        return written_values != (claim.spent_tokens, claim.window_tokens, claim.base_tokens)
