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
from .memory_store import MemoryStore, StoreLink, random_fate

if TYPE_CHECKING:
    import random

_START = datetime(2026, 1, 1, tzinfo=UTC)
_BUDGETS = (BudgetName("large"), BudgetName("small"))
_MACHINES = 5
_MOST_REQUEST_TOKENS = 60

#: Number of machines whose time of day may jump; a process and two others must agree on the time.
_JUMPING = 1


class InjectedFault(Enum):
    """Faults injected into the code under test, which the histories must find."""

    NONE = "none"
    LAST_READ_CLAIM = "a doubtful append does not bind"
    NO_PROOF = "a successor takes back all that the dead did not say to have spent"
    LOAN_TWICE = "a borrower counts a loan for each of its answers"
    NO_CONDITION = "the store appends whatever the stream's end is"
    NEVER_LOCKED = "claims may be spent past their windows at once"
    WIDE_OPEN = "windows may be spent at once"
    HANDOVER_AGAIN = "a handover is sent again to a later start, which adds it once more"


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


def _require(holds: bool, otherwise: str) -> None:
    if not holds:
        raise OverspentError(otherwise)


class _DoubtlessBook(LocalClaims):
    """Injected fault: forgets appends whose outcome is unconfirmed."""

    def _update_limits(self) -> None:
        self.unconfirmed_appends.clear()
        super()._update_limits()


class _CredulousLog(RenewalLog):
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
    keeper: ClaimManager
    loans: LoanLog
    running: list[Reservation] = field(default_factory=list)


@dataclass(slots=True)
class _LostLoan:
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
        plant: InjectedFault = InjectedFault.NONE,
        *,
        hands_over: bool = False,
    ) -> None:
        self._hands_over = hands_over
        self.now_s = 1000.0
        self.counts: Counter[str] = Counter()
        self._rng = rng
        self._plant = plant
        self._store = MemoryStore(conditional=plant is not InjectedFault.NO_CONDITION)
        self._paid = {budget: rng.randrange(400, 3000) for budget in _BUDGETS}
        self._ended: dict[tuple[BudgetName, Holder], HeldBudget] = {}
        self._claims: dict[tuple[BudgetName, Holder], Claim] = {}
        self._read_offset = 0
        self._lost_loans: list[_LostLoan] = []
        self._starts = 0
        machines = [_Machine(f"m{i}", rng.uniform(0, 1e5)) for i in range(_MACHINES)]
        self._jumpers = machines[:_JUMPING]
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
            (25, self._look),
            (15, self._wait),
            (4, self._lend),
            (3, self._repeat_loan),
            (2, self._cut),
            (5, self._heal),
            (1, self._kill),
            (0.3, self._kill_all),
            (1, self._late),
            (1, self._jump),
            (0.3, self._suspend),
            (0.5, self._top_up),
        ]
        if self._hands_over:
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
        ended = [(holder, held) for (b, holder), held in self._ended.items() if b == budget]
        living = [
            (p.keeper.claims.holder, p.keeper.claims.held_budget(budget)) for p in self._processes
        ]
        return ended + living

    def _check(self) -> None:
        self._read_claims()
        for budget, paid in self._paid.items():
            everyone = self._all_held(budget)
            claimed = sum(c.claimed_tokens for (b, _), c in self._claims.items() if b == budget)
            _require(claimed <= paid, f"{budget}: {claimed} claimed of {paid} paid")
            for holder, held in everyone:
                claim = self._claims.get((budget, holder))
                limit = 0 if claim is None else claim.claimed_tokens
                needed = held.needed_claim_tokens
                _require(needed <= limit, f"{budget}: {holder} used {needed} of {limit} claimed")
            given = sum(held.given_tokens for _, held in everyone)
            received = sum(held.received_tokens for _, held in everyone)
            _require(received <= given, f"{budget}: {received} borrowed of {given} lent")
            consumed = self.consumed_tokens(budget)
            _require(consumed <= paid, f"{budget}: {consumed} consumed of {paid} paid")

    def _read_claims(self) -> None:
        """Read the claims that were appended since the last check."""
        page = self._store.read(claims_stream(Shard(0)), self._read_offset)
        self._read_offset = page.next_offset
        living = {process.keeper.claims.holder for process in self._processes}
        for record in page.records:
            decoded = decode(record)
            if isinstance(decoded, Claim):
                before = self._claims.get((decoded.budget, decoded.holder))
                self._claims[decoded.budget, decoded.holder] = decoded
                lowered = before is not None and before.claimed_tokens > decoded.claimed_tokens
                self.counts["reclaimed"] += lowered and decoded.holder not in living

    def _start(self, machine: _Machine) -> _Process:
        self._starts += 1
        me = Peer(machine.name, f"start-{self._starts}", f"{machine.name}:1")
        clock = _MachineClock(self, machine)
        link = StoreLink(self._store, random_fate(self._rng, failing=0.1))
        policy = ClaimPolicy(stale_after_s=8.0, min_demand_share=0.0, slack=0.02, base_share=0.1)
        keeper = ClaimManager(
            Shard(0),
            me,
            link,
            clock,
            PlatformHealth(clock),
            policy,
            lambda: dict(self._paid),
            lambda: _MACHINES,
            1.0,
            lambda: None,
        )
        loans = LoanLog()
        if self._plant is InjectedFault.LAST_READ_CLAIM:
            keeper.claims = _DoubtlessBook(keeper.claims.holder)
        if self._plant is InjectedFault.NO_PROOF:
            keeper.succession.renewals = _CredulousLog()
        return _Process(machine, clock, link, keeper, loans)

    def _any(self) -> _Process:
        return self._rng.choice(self._processes)

    def _update_opening(self, process: _Process) -> None:
        process.keeper.update_opening()
        if self._plant is InjectedFault.NEVER_LOCKED:
            process.keeper.claims.set_opening(Opening(1.0, is_full=True))
        if self._plant is InjectedFault.WIDE_OPEN:
            process.keeper.claims.set_opening(
                replace(process.keeper.claims.opening, window_share=1.0)
            )

    async def _request(self) -> None:
        process = self._any()
        budget = self._rng.choice(_BUDGETS)
        tokens = self._rng.randrange(1, _MOST_REQUEST_TOKENS)
        process.keeper.demand_for(budget).add_request(tokens, 0, process.clock.monotonic_s())
        self._update_opening(process)
        reservation = process.keeper.claims.held_budget(budget).reserve(tokens)
        if reservation is not None:
            process.running.append(reservation)
            self.counts["served"] += 1
            self.counts["unlocked"] += process.keeper.claims.opening.is_full
            self.counts["opened"] += 0.0 < process.keeper.claims.opening.window_share < 1.0

    async def _settle(self) -> None:
        process = self._any()
        if process.running:
            reservation = process.running.pop(self._rng.randrange(len(process.running)))
            used = self._rng.randrange(0, reservation.tokens + 1)
            sure = self._rng.choice((0, used))
            process.keeper.claims.held_budget(reservation.budget).settle(
                reservation, Usage(used, sure)
            )

    async def _look(self) -> None:
        await self._look_at(self._any())

    async def _look_at(self, process: _Process) -> None:
        try:
            await process.keeper.poll()
        except StoreError:
            self.counts["silent"] += 1

    async def _wait(self) -> None:
        self.now_s += self._rng.uniform(0.0, 0.5)

    async def _lend(self) -> None:
        lender, borrower = self._rng.sample(self._processes, 2)
        budget = self._rng.choice(_BUDGETS)
        loan_id = f"loan-{self._rng.randrange(10**9)}"
        loan = _LostLoan(lender, borrower, budget, loan_id, self._rng.randrange(1, 100))
        given = self._give(loan)
        if self._rng.random() < 0.3:
            self._lost_loans.append(loan)
            return
        borrower.keeper.claims.held_budget(budget).receive(given)
        self.counts["lent"] += given > 0

    def _give(self, loan: _LostLoan) -> int:
        self._update_opening(loan.lender)
        held = loan.lender.keeper.claims.held_budget(loan.budget)
        return loan.lender.loans.lend(
            held, loan.loan_id, withheld_tokens=0, needed_tokens=loan.tokens, extra_tokens=0
        )

    async def _repeat_loan(self) -> None:
        if not self._lost_loans:
            return
        loan = self._lost_loans.pop()
        if loan.lender in self._processes and loan.borrower in self._processes:
            given = self._give(loan)
            loan.borrower.keeper.claims.held_budget(loan.budget).receive(given)
            if self._plant is InjectedFault.LOAN_TWICE:
                loan.borrower.keeper.claims.held_budget(loan.budget).receive(given)
            self.counts["repeated"] += 1

    async def _hand_over(self) -> None:
        """Hand tokens over from one process to another; a lost call loses them."""
        giver, taker = self._rng.sample(self._processes, 2)
        budget = self._rng.choice(_BUDGETS)
        self._update_opening(giver)
        tokens = giver.keeper.claims.held_budget(budget).give(self._rng.randrange(1, 100))
        handover_id = f"handover-{self._rng.randrange(10**9)}"
        if tokens and self._rng.random() > 0.3:
            held = taker.keeper.claims.held_budget(budget)
            taker.loans.take_over(held, handover_id, tokens)
            # A connection may deliver the same call twice; the id identifies the repeat.
            taker.loans.take_over(held, handover_id, tokens)
            self.counts["handed over"] += 1
            if self._plant is InjectedFault.HANDOVER_AGAIN:
                later = self._replaced(taker)
                later.loans.take_over(later.keeper.claims.held_budget(budget), handover_id, tokens)

    def _replaced(self, process: _Process) -> _Process:
        """Kill a process, start another one on its machine and return it."""
        self._bury(process)
        later = self._start(process.machine)
        self._processes[self._processes.index(process)] = later
        return later

    async def _cut(self) -> None:
        everyone = self._rng.random() < 0.5
        for process in self._processes if everyone else [self._any()]:
            process.link.is_cut = True

    async def _heal(self) -> None:
        for process in self._processes:
            process.link.is_cut = False

    async def _kill(self) -> None:
        process = self._any()
        self._bury(process)
        self.now_s += self._rng.uniform(0.5, 6.0)
        self._processes[self._processes.index(process)] = self._start(process.machine)
        self.counts["killed"] += 1

    async def _kill_all(self) -> None:
        for process in self._processes:
            self._bury(process)
        self.now_s += self._rng.uniform(0.5, 4.0)
        self._processes = [self._start(process.machine) for process in self._processes]
        for _ in range(2):
            for process in self._processes:
                await self._look_at(process)
            self.now_s += 0.7
        self.counts["all killed"] += 1

    def _bury(self, process: _Process) -> None:
        for budget in _BUDGETS:
            self._ended[budget, process.keeper.claims.holder] = process.keeper.claims.held_budget(
                budget
            )

    async def _late(self) -> None:
        self._store.deliver_late()

    async def _jump(self) -> None:
        machine = self._rng.choice(self._jumpers)
        machine.wall_jump_s = self._rng.choice([0.0, self._rng.uniform(-8, 8)])

    async def _suspend(self) -> None:
        self.now_s += self._rng.uniform(1.0, 9.0)

    async def _top_up(self) -> None:
        self._paid[self._rng.choice(_BUDGETS)] += self._rng.randrange(1, 150)
