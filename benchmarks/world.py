"""Simulation of callers' demand on a ledger that shares budgets, in fake time.

Three data centres with two instances each share budgets. A record reaches the log's readers one
step after its append. Peers answer at once. A dead instance is suspected after a delay and replaced
later. Arrivals, durations, the log and liveness are simulated; the decisions are the ledger's.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mothstand.types import DataCentre

if TYPE_CHECKING:
    from mothstand.types import BudgetName

STEP_S = 0.25
MAX_WAIT_S = 1.5
DATA_CENTRES = (DataCentre("a"), DataCentre("b"), DataCentre("c"))
BILL_GATHER_S = 120.0
BILL_LINES = 500


@dataclass(frozen=True, slots=True)
class Demand:
    """Rate and sizes of the requests of all callers.

    Parameters
    ----------
    requests_per_s
        Rate over all data centres and budgets.
    skew
        First data centre's share of the requests; the others get half of the rest each.
    """

    requests_per_s: float
    budgets: int
    skew: float = 1 / 3
    bound_tokens: int = 700
    used_tokens: int = 300
    duration_s: float = 3.0


@dataclass(slots=True)
class Result:
    """Counts of one run."""

    requests: int = 0
    served: int = 0
    true_refusals: int = 0
    false_refusals: int = 0
    reserved_remotely: int = 0
    stranded_tokens: int = 0
    overspent_tokens: int = 0
    ledger_appends: int = 0
    bill_appends: int = 0

    @property
    def false_percent(self) -> float:
        """False refusals as a percentage of all requests."""
        return 100 * self.false_refusals / max(1, self.requests)

    @property
    def appends_per_1000(self) -> float:
        """Number of appends for 1,000 served requests."""
        return 1000 * (self.ledger_appends + self.bill_appends) / max(1, self.served)


@dataclass(slots=True)
class Request:
    """A request; `handle` identifies its reservation at the ledger, None before it has one."""

    data_centre: DataCentre
    budget: BudgetName
    bound_tokens: int
    used_tokens: int
    deadline_s: float
    ends_s: float = 0.0
    handle: object = None
    remote_holder: DataCentre | None = None
    waits_for_remote_grant: bool = False


class Ledger(ABC):
    """Interface of a ledger that shares budgets between data centres."""

    @abstractmethod
    def step(self, now_s: float) -> None:
        """Advance to `now_s`."""

    @abstractmethod
    def reserve(self, request: Request, now_s: float) -> bool:
        """Reserve tokens and return whether that succeeded."""

    @abstractmethod
    def settle(self, request: Request) -> None:
        """Settle a completed request's reservation."""

    @abstractmethod
    def kill(self, data_centre: DataCentre, role: str) -> None:
        """Kill the ``holder``, the ``witness`` or ``both`` of a data centre, in all shards."""

    @abstractmethod
    def cut(self, data_centre: DataCentre, *, is_cut: bool, is_isolated: bool = False) -> None:
        """Cut a data centre off from the platform, or reconnect it.

        Parameters
        ----------
        is_isolated
            Whether the cut separates it from the other data centres too.
        """

    @abstractmethod
    def top_up(self, tokens: dict[BudgetName, int]) -> None:
        """Add paid tokens; a data centre cut off from the platform learns of them from peers."""

    @abstractmethod
    def stranded_tokens(self) -> int:
        """Return the tokens that no instance can spend any more."""


class World:
    """Runs a demand on a ledger in fake time."""

    def __init__(
        self, ledger: Ledger, demand: Demand, paid: dict[BudgetName, int], seed: int
    ) -> None:
        self.ledger = ledger
        self.demand = demand
        self.result = Result()
        self.now_s = 1000.0
        self._rng = random.Random(seed)
        self._paid = paid
        self._available_tokens = dict(paid)
        self._running: list[Request] = []
        self._waiting: list[Request] = []
        self._budget_names = list(paid)
        self._bills: dict[DataCentre, tuple[int, float]] = {}
        # Shares of the budgets fall off as 1/rank, so a few are large.
        self._weights = [1 / rank for rank in range(1, len(paid) + 1)]

    def run(self, seconds: float) -> None:
        """Run for `seconds` of simulated time."""
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            self.ledger.step(self.now_s)
            self._end_requests()
            waiting, self._waiting = self._waiting, []
            for request in [*waiting, *self._arrivals()]:
                self._try_reserve(request)

    def top_up(self, percent: int) -> None:
        """Add a percentage of each budget's initial total."""
        tokens = {name: paid * percent // 100 for name, paid in self._paid.items()}
        for name, added_tokens in tokens.items():
            self._available_tokens[name] += added_tokens
        self.ledger.top_up(tokens)

    def _arrivals(self) -> list[Request]:
        mean = self.demand.requests_per_s * STEP_S
        count = int(mean) + (self._rng.random() < mean - int(mean))
        skew = self.demand.skew
        data_centres = self._rng.choices(
            DATA_CENTRES, (skew, (1 - skew) / 2, (1 - skew) / 2), k=count
        )
        budgets = self._rng.choices(self._budget_names, self._weights, k=count)
        self.result.requests += count
        return [self._request(p, b) for p, b in zip(data_centres, budgets, strict=True)]

    def _request(self, data_centre: DataCentre, budget: BudgetName) -> Request:
        bound_tokens = self._rng.randint(
            self.demand.bound_tokens // 2, self.demand.bound_tokens * 3 // 2
        )
        used_tokens = min(
            bound_tokens, max(1, int(self._rng.expovariate(1 / self.demand.used_tokens)))
        )
        return Request(data_centre, budget, bound_tokens, used_tokens, self.now_s + MAX_WAIT_S)

    def _try_reserve(self, request: Request) -> None:
        if self.ledger.reserve(request, self.now_s):
            self._available_tokens[request.budget] -= request.bound_tokens
            if self._available_tokens[request.budget] < 0:
                self.result.overspent_tokens -= self._available_tokens[request.budget]
            request.ends_s = self.now_s + self._rng.expovariate(1 / self.demand.duration_s)
            self._running.append(request)
            self.result.served += 1
            self._bill(request)
        elif self._available_tokens[request.budget] < request.bound_tokens:
            self.result.true_refusals += 1
        elif self.now_s < request.deadline_s:
            self._waiting.append(request)
        else:
            self.result.false_refusals += 1

    def _bill(self, request: Request) -> None:
        """Count a bill towards the next append, paced like those of `LogWriter`."""
        lines, since_s = self._bills.get(request.data_centre, (0, self.now_s))
        lines += 1
        # The two instances of a data centre share its requests, and each appends its own bills.
        if lines >= 2 * BILL_LINES or self.now_s - since_s >= BILL_GATHER_S:
            self.result.bill_appends += 2
            lines, since_s = 0, self.now_s
        self._bills[request.data_centre] = (lines, since_s)

    def _end_requests(self) -> None:
        running = []
        for request in self._running:
            if request.ends_s > self.now_s:
                running.append(request)
                continue
            self.ledger.settle(request)
            self._available_tokens[request.budget] += request.bound_tokens - request.used_tokens
        self._running = running
