"""Callers' demand against a way to share budgets, in fake time.

Three data centres with two instances each share budgets. The log shows a record to its readers one
step after its append; peers answer at once; a dead instance is suspected after a while and replaced
later. Only what surrounds the decisions is made up: arrivals, durations, the log, liveness.
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
    """What callers ask for.

    Parameters
    ----------
    requests_per_s
        Of all data centres and budgets together.
    skew
        Share of the first data centre; the others halve the rest.
    """

    requests_per_s: float
    budgets: int
    skew: float = 1 / 3
    bound_tokens: int = 700
    used_tokens: int = 300
    duration_s: float = 3.0


@dataclass(slots=True)
class Result:
    """What one run counted."""

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
        """False refusals as a share of all requests."""
        return 100 * self.false_refusals / max(1, self.requests)

    @property
    def appends_per_1000(self) -> float:
        """Appends for 1,000 served requests."""
        return 1000 * (self.ledger_appends + self.bill_appends) / max(1, self.served)


@dataclass(slots=True)
class Request:
    """One request; `number` is of its reservation once it has one."""

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
    """A way to share budgets between data centres."""

    @abstractmethod
    def step(self, now_s: float) -> None:
        """Let time pass."""

    @abstractmethod
    def reserve(self, request: Request, now_s: float) -> bool:
        """Reserve, or return whether there is nothing now."""

    @abstractmethod
    def settle(self, request: Request) -> None:
        """End a request."""

    @abstractmethod
    def kill(self, data_centre: DataCentre, role: str) -> None:
        """Kill ``holder``, ``witness`` or ``both`` of a data centre, in all shards."""

    @abstractmethod
    def cut(self, data_centre: DataCentre, *, is_cut: bool, is_isolated: bool = False) -> None:
        """Cut a data centre off from the platform, or join it again.

        Parameters
        ----------
        alone
            Whether it is cut off from the other data centres too.
        """

    @abstractmethod
    def top_up(self, tokens: dict[BudgetName, int]) -> None:
        """Pay for more; a data centre that is cut off hears of it from its peers."""

    @abstractmethod
    def stranded_tokens(self) -> int:
        """Return what nobody can spend any more."""


class World:
    """Demand against a ledger, in fake time."""

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
        # A few are large: the budgets' shares fall off as 1/rank.
        self._weights = [1 / rank for rank in range(1, len(paid) + 1)]

    def run(self, seconds: float) -> None:
        """Let `seconds` pass."""
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            self.ledger.step(self.now_s)
            self._end_requests()
            waiting, self._waiting = self._waiting, []
            for request in [*waiting, *self._arrivals()]:
                self._try_reserve(request)

    def top_up(self, percent: int) -> None:
        """Pay a share of each budget's first total again."""
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
        """Count the bill towards its instance's next append, as `LogWriter` paces them."""
        lines, since_s = self._bills.get(request.data_centre, (0, self.now_s))
        lines += 1
        # Two instances share a data centre's requests.
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
