"""Random histories of claims, loans and renewals, checked against what was paid.

Real claim managers and loan logs run against a store in memory. Processes are killed and
restarted, cut off and suspended, and their clocks jump; appends are lost, done without an answer,
or done late; answers to loans are lost; budgets are topped up.

The following is checked after each step. Comparing only consumed with paid tokens would miss most
faults, because unused tokens hide them.

- The newest claims in the store do not exceed the paid tokens.
- What each process, alive or dead, used and gave away is within its claim in the store; requests
  that ran when their process died count with their upper bound.
- No more is borrowed than was lent.
- All processes together consumed at most the paid tokens, which follows from the rest.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime, timedelta
from enum import Enum
from typing import TYPE_CHECKING

from ..clock import Clock
from ..core.claim_policy import ClaimPolicy
from ..core.claims import Claim, HeldBudget, Holder, LocalClaims, Reservation, Usage
from ..core.loans import LoanLog, Peer
from ..core.renewals import Opening, RenewalLog
from ..gateway.claim_manager import ClaimManager
from ..gateway.ledger_records import claims_stream, decode
from ..gateway.store import StoreError
from ..log.health import PlatformHealth
from ..types import BudgetName, Shard
from .memory_store import MemoryStore, StoreLink, random_outcomes

if TYPE_CHECKING:
    import random

_START = datetime(2026, 1, 1, tzinfo=UTC)
_BUDGETS = (BudgetName("large"), BudgetName("small"))
_MACHINES = 5
_MAX_REQUEST_TOKENS = 60

#: Number of machines whose time of day may jump; a process and two others must agree on the time.
_JUMPING_MACHINES = 1


class InjectedFault(Enum):
    """Faults injected into the code under test, which the histories must find."""

    NONE = "none"
    FORGETS_UNCONFIRMED_APPENDS = "an unconfirmed append does not limit what may be spent"
    RECLAIMS_WITHOUT_PROOF = "a successor reclaims all that a dead process did not report as spent"
    COUNTS_LOAN_TWICE = "a borrower counts a loan again for each repeated answer"
    IGNORES_APPEND_CONDITION = "the store appends wherever the stream ends"
    CLAIMS_NEVER_LOCKED = "claims may be spent past their windows at once"
    WINDOWS_FULLY_OPEN = "windows may be spent at once"
    REPEATS_HANDOVER = "a handover is sent again to a restarted process, which counts it again"


class OverspentError(AssertionError):
    """An invariant failed, so more may be consumed than was paid."""


@dataclass(slots=True)
class _Machine:
    """A machine; its clocks continue when its process restarts."""

    name: str
    boot_offset_s: float
    wall_jump_s: float = 0.0


class _MachineClock(Clock):
    """Clocks of a machine, derived from the history's time."""

    def __init__(self, history: ClaimHistory, machine: _Machine) -> None:
        self._history = history
        self._machine = machine

    def now(self) -> datetime:
        """Return the time of day, including the machine's clock jump."""
        return _START + timedelta(seconds=self._history.now_s + self._machine.wall_jump_s)

    def monotonic_s(self) -> float:
        """Return the history's time plus the machine's offset."""
        return self._history.now_s + self._machine.boot_offset_s

    async def sleep(self, delay_s: float) -> None:
        """Return at once: the history's steps advance the time."""


def _require_invariant(holds: bool, message: str) -> None:
    if not holds:
        raise OverspentError(message)


class _ForgetfulClaims(LocalClaims):
    """Injected fault: forgets appends whose outcome is unconfirmed."""

    def _update_limits(self) -> None:
        self.unconfirmed_appends.clear()
        super()._update_limits()


class _GaplessRenewalLog(RenewalLog):
    """Injected fault: treats each process as in touch until its death."""

    def max_gap_s(self, *_: object) -> float:
        """Return no gap between renewals."""
        return 0.0


@dataclass(slots=True)
class _Process:
    """A process of an instance, from its start to its end."""

    machine: _Machine
    clock: Clock
    link: StoreLink
    claim_manager: ClaimManager
    loan_log: LoanLog
    reservations: list[Reservation] = field(default_factory=list)


@dataclass(slots=True)
class _UnansweredLoan:
    """A loan whose answer the borrower has not received yet."""

    lender: _Process
    borrower: _Process
    budget: BudgetName
    loan_id: str
    tokens: int


class ClaimHistory:
    """A random history of claims.

    Parameters
    ----------
    has_handovers
        Whether processes also hand tokens over to each other. Without it, older seeds give the
        same histories as before handovers existed.
    """

    def __init__(
        self,
        rng: random.Random,
        fault: InjectedFault = InjectedFault.NONE,
        *,
        has_handovers: bool = False,
    ) -> None:
        self._has_handovers = has_handovers
        self.now_s = 1000.0
        self.counts: Counter[str] = Counter()
        self._rng = rng
        self._fault = fault
        self._store = MemoryStore(
            is_conditional=fault is not InjectedFault.IGNORES_APPEND_CONDITION
        )
        self._paid = {budget: rng.randrange(400, 3000) for budget in _BUDGETS}
        self._ended_holdings: dict[tuple[BudgetName, Holder], HeldBudget] = {}
        self._claims: dict[tuple[BudgetName, Holder], Claim] = {}
        self._read_offset = 0
        self._unanswered_loans: list[_UnansweredLoan] = []
        self._starts = 0
        machines = [_Machine(f"m{i}", rng.uniform(0, 1e5)) for i in range(_MACHINES)]
        self._jumping_machines = machines[:_JUMPING_MACHINES]
        self._processes = [self._start(machine) for machine in machines]

    async def run(self, steps: int) -> None:
        """Run random steps and check the invariants after each.

        Raises
        ------
        OverspentError
            If an invariant fails.
        """
        actions = [
            (30, self._request),
            (20, self._settle),
            (25, self._poll),
            (15, self._wait),
            (4, self._lend),
            (3, self._repeat_loan),
            (2, self._cut_off),
            (5, self._reconnect_all),
            (1, self._kill),
            (0.3, self._kill_all),
            (1, self._deliver_late),
            (1, self._jump_clock),
            (0.3, self._suspend),
            (0.5, self._top_up),
        ]
        if self._has_handovers:
            actions.append((4, self._hand_over))
        weights = [weight for weight, _ in actions]
        for _ in range(steps):
            _, action = self._rng.choices(actions, weights)[0]
            await action()
            self._check()

    def consumed_tokens(self, budget: BudgetName) -> int:
        """Return what all processes consumed, with the upper bounds of running requests."""
        return sum(h.spent_tokens + h.reserved_tokens for _, h in self._all_held(budget))

    def _all_held(self, budget: BudgetName) -> list[tuple[Holder, HeldBudget]]:
        """Return what each process, alive or dead, holds of a budget."""
        ended = [
            (holder, held) for (b, holder), held in self._ended_holdings.items() if b == budget
        ]
        living = [
            (p.claim_manager.claims.holder, p.claim_manager.claims.held_budget(budget))
            for p in self._processes
        ]
        return ended + living

    def _check(self) -> None:
        self._read_claims()
        for budget, paid in self._paid.items():
            holdings = self._all_held(budget)
            claimed = sum(c.claimed_tokens for (b, _), c in self._claims.items() if b == budget)
            _require_invariant(claimed <= paid, f"{budget}: {claimed} claimed of {paid} paid")
            for holder, held in holdings:
                claim = self._claims.get((budget, holder))
                limit = 0 if claim is None else claim.claimed_tokens
                needed = held.needed_claim_tokens
                _require_invariant(
                    needed <= limit, f"{budget}: {holder} used {needed} of {limit} claimed"
                )
            given = sum(held.given_tokens for _, held in holdings)
            received = sum(held.received_tokens for _, held in holdings)
            _require_invariant(received <= given, f"{budget}: {received} borrowed of {given} lent")
            consumed = self.consumed_tokens(budget)
            _require_invariant(consumed <= paid, f"{budget}: {consumed} consumed of {paid} paid")

    def _read_claims(self) -> None:
        """Read the claims that were appended since the last check."""
        page = self._store.read(claims_stream(Shard(0)), self._read_offset)
        self._read_offset = page.next_offset
        living = {process.claim_manager.claims.holder for process in self._processes}
        for record in page.records:
            decoded = decode(record)
            if isinstance(decoded, Claim):
                before = self._claims.get((decoded.budget, decoded.holder))
                self._claims[decoded.budget, decoded.holder] = decoded
                lowered = before is not None and before.claimed_tokens > decoded.claimed_tokens
                self.counts["reclaimed"] += lowered and decoded.holder not in living

    def _start(self, machine: _Machine) -> _Process:
        self._starts += 1
        local_peer = Peer(machine.name, f"start-{self._starts}", f"{machine.name}:1")
        clock = _MachineClock(self, machine)
        link = StoreLink(self._store, random_outcomes(self._rng, failing_share=0.1))
        policy = ClaimPolicy(stale_after_s=8.0, min_demand_share=0.0, slack=0.02, base_share=0.1)
        claim_manager = ClaimManager(
            Shard(0),
            local_peer,
            link,
            clock,
            PlatformHealth(clock),
            policy,
            lambda: dict(self._paid),
            lambda: _MACHINES,
            1.0,
            lambda: None,
        )
        loan_log = LoanLog()
        if self._fault is InjectedFault.FORGETS_UNCONFIRMED_APPENDS:
            claim_manager.claims = _ForgetfulClaims(claim_manager.claims.holder)
        if self._fault is InjectedFault.RECLAIMS_WITHOUT_PROOF:
            claim_manager.succession.renewals = _GaplessRenewalLog()
        return _Process(machine, clock, link, claim_manager, loan_log)

    def _pick_process(self) -> _Process:
        return self._rng.choice(self._processes)

    def _update_opening(self, process: _Process) -> None:
        process.claim_manager.update_opening()
        if self._fault is InjectedFault.CLAIMS_NEVER_LOCKED:
            process.claim_manager.claims.set_opening(Opening(1.0, is_full=True))
        if self._fault is InjectedFault.WINDOWS_FULLY_OPEN:
            process.claim_manager.claims.set_opening(
                replace(process.claim_manager.claims.opening, window_share=1.0)
            )

    async def _request(self) -> None:
        process = self._pick_process()
        budget = self._rng.choice(_BUDGETS)
        tokens = self._rng.randrange(1, _MAX_REQUEST_TOKENS)
        process.claim_manager.demand_for(budget).add_request(tokens, 0, process.clock.monotonic_s())
        self._update_opening(process)
        reservation = process.claim_manager.claims.held_budget(budget).reserve(tokens)
        if reservation is not None:
            process.reservations.append(reservation)
            self.counts["served"] += 1
            self.counts["unlocked"] += process.claim_manager.claims.opening.is_full
            self.counts["opened"] += 0.0 < process.claim_manager.claims.opening.window_share < 1.0

    async def _settle(self) -> None:
        process = self._pick_process()
        if process.reservations:
            reservation = process.reservations.pop(self._rng.randrange(len(process.reservations)))
            used = self._rng.randrange(0, reservation.tokens + 1)
            confirmed = self._rng.choice((0, used))
            process.claim_manager.claims.held_budget(reservation.budget).settle(
                reservation, Usage(used, confirmed)
            )

    async def _poll(self) -> None:
        await self._poll_process(self._pick_process())

    async def _poll_process(self, process: _Process) -> None:
        try:
            await process.claim_manager.poll()
        except StoreError:
            self.counts["silent"] += 1

    async def _wait(self) -> None:
        self.now_s += self._rng.uniform(0.0, 0.5)

    async def _lend(self) -> None:
        lender, borrower = self._rng.sample(self._processes, 2)
        budget = self._rng.choice(_BUDGETS)
        loan_id = f"loan-{self._rng.randrange(10**9)}"
        loan = _UnansweredLoan(lender, borrower, budget, loan_id, self._rng.randrange(1, 100))
        given = self._grant_loan(loan)
        if self._rng.random() < 0.3:
            self._unanswered_loans.append(loan)
            return
        borrower.claim_manager.claims.held_budget(budget).receive(given)
        self.counts["lent"] += given > 0

    def _grant_loan(self, loan: _UnansweredLoan) -> int:
        self._update_opening(loan.lender)
        held = loan.lender.claim_manager.claims.held_budget(loan.budget)
        return loan.lender.loan_log.lend(
            held, loan.loan_id, withheld_tokens=0, needed_tokens=loan.tokens, extra_tokens=0
        )

    async def _repeat_loan(self) -> None:
        if not self._unanswered_loans:
            return
        loan = self._unanswered_loans.pop()
        if loan.lender in self._processes and loan.borrower in self._processes:
            given = self._grant_loan(loan)
            loan.borrower.claim_manager.claims.held_budget(loan.budget).receive(given)
            if self._fault is InjectedFault.COUNTS_LOAN_TWICE:
                loan.borrower.claim_manager.claims.held_budget(loan.budget).receive(given)
            self.counts["repeated"] += 1

    async def _hand_over(self) -> None:
        """Hand tokens over from one process to another; if the call is lost, so are they."""
        giver, recipient = self._rng.sample(self._processes, 2)
        budget = self._rng.choice(_BUDGETS)
        self._update_opening(giver)
        tokens = giver.claim_manager.claims.held_budget(budget).give(self._rng.randrange(1, 100))
        handover_id = f"handover-{self._rng.randrange(10**9)}"
        if tokens and self._rng.random() > 0.3:
            held = recipient.claim_manager.claims.held_budget(budget)
            recipient.loan_log.take_over(held, handover_id, tokens)
            # A connection may deliver the same call twice; the id identifies the repeat.
            recipient.loan_log.take_over(held, handover_id, tokens)
            self.counts["handed over"] += 1
            if self._fault is InjectedFault.REPEATS_HANDOVER:
                replacement = self._replace(recipient)
                replacement.loan_log.take_over(
                    replacement.claim_manager.claims.held_budget(budget), handover_id, tokens
                )

    def _replace(self, process: _Process) -> _Process:
        """Kill a process, start another one on its machine and return it."""
        self._record_end(process)
        replacement = self._start(process.machine)
        self._processes[self._processes.index(process)] = replacement
        return replacement

    async def _cut_off(self) -> None:
        is_for_all = self._rng.random() < 0.5
        for process in self._processes if is_for_all else [self._pick_process()]:
            process.link.is_cut_off = True

    async def _reconnect_all(self) -> None:
        for process in self._processes:
            process.link.is_cut_off = False

    async def _kill(self) -> None:
        process = self._pick_process()
        self._record_end(process)
        self.now_s += self._rng.uniform(0.5, 6.0)
        self._processes[self._processes.index(process)] = self._start(process.machine)
        self.counts["killed"] += 1

    async def _kill_all(self) -> None:
        for process in self._processes:
            self._record_end(process)
        self.now_s += self._rng.uniform(0.5, 4.0)
        self._processes = [self._start(process.machine) for process in self._processes]
        for _ in range(2):
            for process in self._processes:
                await self._poll_process(process)
            self.now_s += 0.7
        self.counts["all killed"] += 1

    def _record_end(self, process: _Process) -> None:
        for budget in _BUDGETS:
            self._ended_holdings[budget, process.claim_manager.claims.holder] = (
                process.claim_manager.claims.held_budget(budget)
            )

    async def _deliver_late(self) -> None:
        self._store.deliver_late()

    async def _jump_clock(self) -> None:
        machine = self._rng.choice(self._jumping_machines)
        machine.wall_jump_s = self._rng.choice([0.0, self._rng.uniform(-8, 8)])

    async def _suspend(self) -> None:
        self.now_s += self._rng.uniform(1.0, 9.0)

    async def _top_up(self) -> None:
        self._paid[self._rng.choice(_BUDGETS)] += self._rng.randrange(1, 150)
