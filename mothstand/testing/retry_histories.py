"""Random histories of a fleet that retries whenever it may, before upstreams that refuse.

Real announcements and retry budgets run in virtual time against a store in memory. Processes are
killed and start again, hang, are added, and cannot reach the store; callers' load changes and moves
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
from .frozen_processes import FreezableClock, FreezableStoreLink, FrozenProcesses
from .memory_store import MemoryStore, random_outcomes
from .retry_faults import InjectedFault, count_sharers, earliest_send_s, inject_shares, make_budget
from .virtual_time import run_in_virtual_time

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from ..clock import Clock
    from ..core.retry_budget import RetryBudget, RetryBudgetSettings

#: Seconds that a try takes that upstreams refuse.
_ATTEMPT_S = 0.004

#: Part of the tries that take up to so long on their way, over links that lose packets.
_DELAYED_SHARE = 0.05
_MAX_DELAY_S = 0.8

#: Tries of one request; the upstreams refuse all of them.
_ATTEMPTS = 3

#: Part of the announcements that fail while the store is in trouble.
_FAILING_SHARE = 0.3

#: Seconds from the processes' start to the first callers.
_WARM_UP_S = 12.0


class Disruption(Flag):
    """What may happen in a history, beside callers whose requests are all refused."""

    NONE = 0
    KILLS = auto()
    STORE_AWAY = auto()
    ADDED = auto()
    JUMPS = auto()
    FREEZES = auto()


ALL_DISRUPTIONS = (
    Disruption.KILLS
    | Disruption.STORE_AWAY
    | Disruption.ADDED
    | Disruption.JUMPS
    | Disruption.FREEZES
)


@dataclass(frozen=True, slots=True)
class CountedWindow:
    """The window that went furthest beyond the budget, or came closest to it."""

    began_s: float
    repeats: int
    allowed: float

    @property
    def exceeds_budget(self) -> bool:
        """Whether there were more arrivals than allowed."""
        return self.repeats > self.allowed


@dataclass(slots=True)
class ArrivalCount:
    """Callers' requests and arrivals beyond the first of each, as the operators count them."""

    settings: RetryBudgetSettings
    requests_s: list[float] = field(default_factory=list)
    repeats_s: list[float] = field(default_factory=list)

    def worst_window(self) -> CountedWindow:
        """Return the window with the most repeats beyond what it allows."""
        self.requests_s.sort()
        self.repeats_s.sort()
        windows = [self._window(began_s) for began_s in self.repeats_s]
        return max(windows, key=lambda w: w.repeats - w.allowed, default=CountedWindow(0.0, 0, 0.0))

    def _window(self, began_s: float) -> CountedWindow:
        window_s = self.settings.window_s
        first = bisect_left(self.repeats_s, began_s)
        repeats = bisect_right(self.repeats_s, began_s + window_s) - first
        requests = max(self._requests(began_s - back * window_s) for back in (0.0, 0.5, 1.0))
        return CountedWindow(began_s, repeats, self.settings.ratio * requests + self.settings.burst)

    def _requests(self, began_s: float) -> int:
        ends_s = began_s + self.settings.window_s
        return bisect_right(self.requests_s, ends_s) - bisect_left(self.requests_s, began_s)


@dataclass(slots=True)
class _Instance:
    """One process of the fleet."""

    name: str
    link: FreezableStoreLink
    members: MemberFeed
    budget: RetryBudget
    fault: InjectedFault
    clock: Clock
    stalls: StallDetector = field(default_factory=StallDetector)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    async def run(self) -> None:
        """Live until killed."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.members.run)
                while True:
                    self.stalls.tick(self.clock.monotonic_s())
                    await self.clock.sleep(TICK_S)

    def add_request(self, now_s: float) -> None:
        """Count a caller's request."""
        self.budget.add_request(earliest_send_s(self.fault, self.stalls, now_s))

    def try_acquire_retry(self, now_s: float) -> bool:
        """Return whether a retry may be sent."""
        sharers = count_sharers(self.fault, self.members, now_s)
        return self.budget.try_acquire(now_s, sharers=sharers).is_granted


@dataclass(slots=True)
class RetryHistory:
    """One history; `run` plays it and returns its worst window.

    Parameters
    ----------
    duration_s
        From the first callers on.
    requests_per_s
        Of the whole fleet while its load does not jump.
    """

    seed: int
    disruptions: Disruption
    fault: InjectedFault = InjectedFault.NONE
    settings: RetryBudgetSettings = RETRIES
    instances: int = 6
    duration_s: float = 60.0
    requests_per_s: float = 30.0
    _store: MemoryStore = field(default_factory=MemoryStore)
    _alive: dict[str, _Instance] = field(default_factory=dict)
    _frozen: FrozenProcesses = field(default_factory=FrozenProcesses)
    _cut_off_names: set[str] = field(default_factory=set)
    _tasks: TaskGroup | None = None
    _starts: int = 0

    def run(self) -> CountedWindow:
        """Play the history in virtual time."""
        count = ArrivalCount(self.settings)
        run_in_virtual_time(lambda: self._play(count))
        return count.worst_window()

    def _make_rng(self, *what: object) -> random.Random:
        """Return a source of chance of its own, whatever else is drawn in which order."""
        return random.Random(f"{self.seed} {what}")

    async def _play(self, count: ArrivalCount) -> None:
        rng = self._make_rng("start")
        names = [f"i{number}" for number in range(self.instances)]
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            if Disruption.STORE_AWAY in self.disruptions and rng.random() < 0.4:
                outage_s = _WARM_UP_S + rng.uniform(0.0, 25.0)
                tasks.start_soon(self._cut_off, set(names), outage_s)
            for name in names:
                tasks.start_soon(self._start, name, rng.uniform(0.3, 0.6))
            await anyio.sleep(_WARM_UP_S)
            for disruption in Disruption:
                if disruption in self.disruptions:
                    tasks.start_soon(self._repeat_disruption, disruption)
            await self._send_load(count)
            await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()

    async def _send_load(self, count: ArrivalCount) -> None:
        assert self._tasks is not None
        rng = self._make_rng("load")
        weights: dict[str, float] = {}
        factor = 1.0
        next_change_s = 0.0
        ends_s = anyio.current_time() + self.duration_s
        while (now_s := anyio.current_time()) < ends_s:
            if Disruption.JUMPS in self.disruptions and now_s >= next_change_s:
                next_change_s = now_s + rng.choice([1.0, 2.5, 5.0, 10.0])
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
        rng = self._make_rng("tries", number)
        await self._frozen.wait_until_thawed(instance.name)
        if self._alive.get(instance.name) is not instance:
            return
        instance.add_request(anyio.current_time())
        for _ in range(_ATTEMPTS - 1):
            await anyio.sleep(_ATTEMPT_S)
            await self._frozen.wait_until_thawed(instance.name)
            is_running = self._alive.get(instance.name) is instance
            if not is_running or not instance.try_acquire_retry(anyio.current_time()):
                return
            await anyio.sleep(_delay_s(rng))
            count.repeats_s.append(anyio.current_time())

    async def _repeat_disruption(self, disruption: Disruption) -> None:
        """Let one kind of trouble happen again and again."""
        rng = self._make_rng(disruption)
        while True:
            await anyio.sleep(rng.choice([0.7, 2.0, 4.0, 9.0]))
            match disruption:
                case Disruption.KILLS:
                    self._kill(self._pick_instances(rng), rng)
                case Disruption.STORE_AWAY:
                    max_s = rng.choice([14.0, 14.0, 50.0])
                    await self._cut_off(self._pick_instances(rng), rng.uniform(0.5, max_s))
                case Disruption.ADDED:
                    self._add()
                case Disruption.FREEZES:
                    until_s = anyio.current_time() + rng.uniform(0.5, 5.0)
                    self._frozen.freeze(self._pick_instances(rng), until_s)
                case _:
                    return

    def _pick_instances(self, rng: random.Random) -> set[str]:
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

    async def _cut_off(self, names: set[str], duration_s: float) -> None:
        self._cut_off_names |= names
        self._update_links()
        await anyio.sleep(duration_s)
        self._cut_off_names -= names
        self._update_links()

    def _update_links(self) -> None:
        for instance in self._alive.values():
            instance.link.is_cut_off = instance.name in self._cut_off_names

    async def _start(self, name: str, delay_s: float) -> None:
        await anyio.sleep(delay_s)
        self._starts += 1
        instance = self._make_instance(name)
        instance.link.is_cut_off = name in self._cut_off_names
        self._alive[name] = instance
        await instance.run()

    def _make_instance(self, name: str) -> _Instance:
        clock = FreezableClock(self._frozen, name)
        failing_share = _FAILING_SHARE if Disruption.STORE_AWAY in self.disruptions else 0.0
        decide_outcome = random_outcomes(
            self._make_rng(name, self._starts), failing_share=failing_share
        )
        link = FreezableStoreLink(self._store, self._frozen, name, decide_outcome)
        local_member = Member(
            Peer(name, f"{name}-{self._starts}", f"{name}:1"), DataCentre(name[:1])
        )
        started_s = clock.monotonic_s()
        members = MemberFeed(
            link,
            local_member,
            clock,
            PlatformHealth(clock),
            lambda: None,
            self.settings,
            started_s=started_s,
        )
        inject_shares(self.fault, members)
        budget = make_budget(self.fault, self.settings)
        return _Instance(name, link, members, budget, self.fault, clock)


def _delay_s(rng: random.Random) -> float:
    """Return how long a try is on its way."""
    return rng.uniform(0.0, _MAX_DELAY_S) if rng.random() < _DELAYED_SHARE else 0.0
