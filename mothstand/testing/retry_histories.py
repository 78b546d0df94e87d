"""Random histories of a fleet that retries as often as it may, with upstreams that refuse.

Real announcements and retry budgets run in virtual time against a store in memory. Processes are
killed and restarted, freeze, are added, and cannot reach the store; the load changes and moves
between instances. Arrivals are counted as the operators count them, in every window.
"""

from __future__ import annotations

import random
from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from enum import Flag, auto
from typing import TYPE_CHECKING

import anyio

from ..core.fleet import Member
from ..core.loans import Peer
from ..core.stall_detector import TICK_S, StallDetector
from ..gateway.member_feed import MemberFeed
from ..log.health import PlatformHealth
from ..types import DataCentre
from .fakes import RETRIES
from .frozen_processes import HangingClock, HangingLink, HangingProcesses
from .memory_store import MemoryStore, random_fate
from .retry_faults import InjectedFault, budget_of, plant_shares, sent_since_s, sharers_of
from .virtual_time import run_in_virtual_time

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from ..clock import Clock
    from ..core.retry_budget import RetryBudget, RetryBudgetSettings

#: Seconds until an upstream refuses an attempt.
_TRY_S = 0.004

#: Share of the attempts that lossy links delay, and the longest delay in seconds.
_DELAYED_TRIES = 0.05
_MOST_DELAY_S = 0.8

#: Attempts of one request; upstreams refuse all of them.
_TRIES = 3

#: Share of the announcements that fail, with `Disruption.STORE_AWAY`.
_FAILING_APPENDS = 0.3

#: Seconds from the processes' start to the first callers.
_LEAD_S = 12.0


class Disruption(Flag):
    """Disruptions of a history, besides the refusal of all requests."""

    NONE = 0
    KILLS = auto()
    STORE_AWAY = auto()
    ADDED = auto()
    JUMPS = auto()
    FREEZES = auto()

    def __repr__(self) -> str:
        """Return the text that seeds random numbers, which must not change."""
        return f"<Trouble.{self.name}: {self.value}>"


ALL_DISRUPTIONS = (
    Disruption.KILLS
    | Disruption.STORE_AWAY
    | Disruption.ADDED
    | Disruption.JUMPS
    | Disruption.FREEZES
)


@dataclass(frozen=True, slots=True)
class Excess:
    """Repeats counted in one window, and the number that the budget allows."""

    began_s: float
    repeats: int
    allowed: float

    @property
    def is_broken(self) -> bool:
        """Whether there were more repeats than allowed."""
        return self.repeats > self.allowed


@dataclass(slots=True)
class ArrivalCount:
    """Times of requests and of their repeated arrivals, as the operators count them."""

    settings: RetryBudgetSettings
    requests_s: list[float] = field(default_factory=list)
    repeats_s: list[float] = field(default_factory=list)

    def worst(self) -> Excess:
        """Return the window that exceeds the budget most, or comes closest to it."""
        self.requests_s.sort()
        self.repeats_s.sort()
        windows = [self._window(began_s) for began_s in self.repeats_s]
        return max(windows, key=lambda w: w.repeats - w.allowed, default=Excess(0.0, 0, 0.0))

    def _window(self, began_s: float) -> Excess:
        window_s = self.settings.window_s
        first = bisect_left(self.repeats_s, began_s)
        repeats = bisect_right(self.repeats_s, began_s + window_s) - first
        requests = max(self._requests(began_s - back * window_s) for back in (0.0, 0.5, 1.0))
        return Excess(began_s, repeats, self.settings.ratio * requests + self.settings.burst)

    def _requests(self, began_s: float) -> int:
        ends_s = began_s + self.settings.window_s
        return bisect_right(self.requests_s, ends_s) - bisect_left(self.requests_s, began_s)


@dataclass(slots=True)
class _Instance:
    """A process of an instance of the fleet."""

    name: str
    link: HangingLink
    members: MemberFeed
    budget: RetryBudget
    plant: InjectedFault
    clock: Clock
    stalls: StallDetector = field(default_factory=StallDetector)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    async def run(self) -> None:
        """Run until killed."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.members.run)
                while True:
                    self.stalls.tick(self.clock.monotonic_s())
                    await self.clock.sleep(TICK_S)

    def counts_request(self, now_s: float) -> None:
        """Count a caller's request."""
        self.budget.add_request(sent_since_s(self.plant, self.stalls, now_s))

    def takes_retry(self, now_s: float) -> bool:
        """Return whether a retry may be sent."""
        sharers = sharers_of(self.plant, self.members, now_s)
        return self.budget.try_acquire(now_s, sharers=sharers).is_granted


@dataclass(slots=True)
class RetryHistory:
    """A random history of retries; `run` simulates it and returns its worst window.

    Parameters
    ----------
    duration_s
        Seconds from the first request on.
    requests_per_s
        Load of the whole fleet, without `Disruption.JUMPS`.
    """

    seed: int
    troubles: Disruption
    plant: InjectedFault = InjectedFault.NONE
    settings: RetryBudgetSettings = RETRIES
    instances: int = 6
    duration_s: float = 60.0
    requests_per_s: float = 30.0
    _store: MemoryStore = field(default_factory=MemoryStore)
    _alive: dict[str, _Instance] = field(default_factory=dict)
    _hanging: HangingProcesses = field(default_factory=HangingProcesses)
    _cut_names: set[str] = field(default_factory=set)
    _tasks: TaskGroup | None = None
    _starts: int = 0

    def run(self) -> Excess:
        """Simulate the history in virtual time."""
        count = ArrivalCount(self.settings)
        run_in_virtual_time(lambda: self._play(count))
        return count.worst()

    def _chance(self, *what: object) -> random.Random:
        """Return a separate generator, so that draws for other purposes do not affect it."""
        return random.Random(f"{self.seed} {what}")

    async def _play(self, count: ArrivalCount) -> None:
        rng = self._chance("start")
        names = [f"i{number}" for number in range(self.instances)]
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            if Disruption.STORE_AWAY in self.troubles and rng.random() < 0.4:
                away_s = _LEAD_S + rng.uniform(0.0, 25.0)
                tasks.start_soon(self._cut, set(names), away_s)
            for name in names:
                tasks.start_soon(self._start, name, rng.uniform(0.3, 0.6))
            await anyio.sleep(_LEAD_S)
            for trouble in Disruption:
                if trouble in self.troubles:
                    tasks.start_soon(self._series, trouble)
            await self._load(count)
            await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()

    async def _load(self, count: ArrivalCount) -> None:
        assert self._tasks is not None
        rng = self._chance("load")
        weights: dict[str, float] = {}
        factor = 1.0
        changes_s = 0.0
        ends_s = anyio.current_time() + self.duration_s
        while (now_s := anyio.current_time()) < ends_s:
            if Disruption.JUMPS in self.troubles and now_s >= changes_s:
                changes_s = now_s + rng.choice([1.0, 2.5, 5.0, 10.0])
                factor = rng.choice([0.1, 0.5, 1.0, 2.0, 4.0])
                weights = {name: rng.choice([0.02, 1.0]) for name in self._alive}
            await anyio.sleep(rng.expovariate(self.requests_per_s * factor))
            if not self._alive:
                continue
            names = list(self._alive)
            (name,) = rng.choices(names, [weights.get(n, 1.0) for n in names])
            count.requests_s.append(anyio.current_time())
            self._tasks.start_soon(self._request, self._alive[name], count, len(count.requests_s))

    async def _request(self, instance: _Instance, count: ArrivalCount, number: int) -> None:
        rng = self._chance("tries", number)
        await self._hanging.thawed(instance.name)
        if self._alive.get(instance.name) is not instance:
            return
        instance.counts_request(anyio.current_time())
        for _ in range(_TRIES - 1):
            await anyio.sleep(_TRY_S)
            await self._hanging.thawed(instance.name)
            is_running = self._alive.get(instance.name) is instance
            if not is_running or not instance.takes_retry(anyio.current_time()):
                return
            await anyio.sleep(_delay_s(rng))
            count.repeats_s.append(anyio.current_time())

    async def _series(self, trouble: Disruption) -> None:
        """Repeat one kind of disruption until the end of the history."""
        rng = self._chance(trouble)
        while True:
            await anyio.sleep(rng.choice([0.7, 2.0, 4.0, 9.0]))
            match trouble:
                case Disruption.KILLS:
                    self._kill(self._some(rng), rng)
                case Disruption.STORE_AWAY:
                    longest_s = rng.choice([14.0, 14.0, 50.0])
                    await self._cut(self._some(rng), rng.uniform(0.5, longest_s))
                case Disruption.ADDED:
                    self._add()
                case Disruption.FREEZES:
                    until_s = anyio.current_time() + rng.uniform(0.5, 5.0)
                    self._hanging.freeze(self._some(rng), until_s)
                case _:
                    return

    def _some(self, rng: random.Random) -> set[str]:
        share = rng.choice([0.2, 0.5, 1.0])
        return {name for name in self._alive if rng.random() < share}

    def _kill(self, names: set[str], rng: random.Random) -> None:
        assert self._tasks is not None
        for name in sorted(names):
            self._alive.pop(name).scope.cancel()
            if rng.random() < 0.9:
                down_s = rng.choice([0.3, 1.0, 3.0, 8.0])
                self._tasks.start_soon(self._start, name, down_s)

    def _add(self) -> None:
        assert self._tasks is not None
        if self._starts < 3 * self.instances:
            self._tasks.start_soon(self._start, f"added{self._starts}", 0.3)

    async def _cut(self, names: set[str], for_s: float) -> None:
        self._cut_names |= names
        self._set_links()
        await anyio.sleep(for_s)
        self._cut_names -= names
        self._set_links()

    def _set_links(self) -> None:
        for instance in self._alive.values():
            instance.link.is_cut = instance.name in self._cut_names

    async def _start(self, name: str, after_s: float) -> None:
        await anyio.sleep(after_s)
        self._starts += 1
        instance = self._make(name)
        instance.link.is_cut = name in self._cut_names
        self._alive[name] = instance
        await instance.run()

    def _make(self, name: str) -> _Instance:
        clock = HangingClock(self._hanging, name)
        failing = _FAILING_APPENDS if Disruption.STORE_AWAY in self.troubles else 0.0
        fate = random_fate(self._chance(name, self._starts), failing=failing)
        link = HangingLink(self._store, self._hanging, name, fate)
        me = Member(Peer(name, f"{name}-{self._starts}", f"{name}:1"), DataCentre(name[:1]))
        started_s = clock.monotonic_s()
        members = MemberFeed(
            link, me, clock, PlatformHealth(clock), lambda: None, self.settings, started_s=started_s
        )
        plant_shares(self.plant, members)
        budget = budget_of(self.plant, self.settings)
        return _Instance(name, link, members, budget, self.plant, clock)


def _delay_s(rng: random.Random) -> float:
    """Return the network delay of an attempt."""
    return rng.uniform(0.0, _MOST_DELAY_S) if rng.random() < _DELAYED_TRIES else 0.0
