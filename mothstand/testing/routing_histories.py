"""Random histories of a fleet that chooses upstreams while these are evacuated or turn cold.

Instances run their real feeds and decisions in virtual time; requests and upstreams are simulated.
The checks count what arrives at the upstreams.
"""

from __future__ import annotations

import json
import math
import random
from dataclasses import dataclass, field
from enum import Flag, auto
from typing import TYPE_CHECKING

import anyio

from ..core.prompt import Prompt, PromptPart
from ..gateway.member_feed import MEMBERS_STREAM
from ..platform.records import CONFIG_KEY, CONFIG_STREAM, UPSTREAMS_STREAM
from .registrations import registration
from .routing_instances import (
    COLD_START_S,
    DATA_CENTRES,
    STALE_S,
    RoutingFault,
    RoutingInstance,
    RoutingNetwork,
)
from .virtual_time import run_in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Iterable

    from anyio.abc import TaskGroup

    from ..types import DataCentre

#: Bounds of an evacuation after its acknowledgement: for instances that the store serves, and for
#: those that it has rejected meanwhile.
EVACUATION_S = 5.0
OUTER_S = 6.0

#: An instance that was disturbed this recently has no bounds.
_STABLE_WINDOW_S = 4.0

_HEARTBEAT_S = 1.2
_WARM_UP_S = 6.0


class RoutingDisruption(Flag):
    """Kinds of disruptions in a history."""

    NONE = 0
    EVACUATIONS = auto()
    COLD_RETURNS = auto()
    COLD_AGAIN = auto()
    REJECTIONS = auto()
    KILLS = auto()
    ADDED_INSTANCES = auto()
    DROPPED_HISTORY = auto()


ALL_ROUTING_DISRUPTIONS = ~RoutingDisruption.NONE


@dataclass(slots=True)
class _Upstream:
    """A simulated upstream process."""

    upstream_id: str
    address: str
    data_centre: DataCentre
    cold_until_s: float = 0.0
    cold_arrivals_s: list[float] = field(default_factory=list)

    def registration(self, now_s: float) -> bytes:
        """Return its registration, with the time that it stays cold."""
        entry = registration("llm", self.address, data_centre=self.data_centre, born_ms=0)
        cold_ms = max(0.0, self.cold_until_s - now_s) * 1000
        return json.dumps({**entry, "cold_remaining_ms": cold_ms}).encode()


@dataclass(slots=True)
class RoutingResult:
    """Counts of a history.

    Parameters
    ----------
    late_arrivals
        Requests that reached an evacuated data centre after the bound, from undisturbed instances.
    max_cold_arrivals
        Most requests that a cold upstream got within any second.
    """

    requests: int = 0
    refused: int = 0
    cold_arrivals: int = 0
    late_arrivals: int = 0
    max_cold_arrivals: int = 0


@dataclass(slots=True)
class RoutingHistory:
    """A random history of evacuations and cold upstreams, which `run` simulates.

    Parameters
    ----------
    hot_share
        Share of the requests that belong to one session.
    is_all_cold
        Whether returns concern the upstreams of all data centres at once.
    """

    seed: int
    disruptions: RoutingDisruption
    fault: RoutingFault = RoutingFault.NONE
    instances: int = 6
    upstream_count: int = 9
    requests_per_s: float = 60.0
    hot_share: float = 0.2
    is_all_cold: bool = False
    duration_s: float = 40.0
    network: RoutingNetwork = field(init=False)
    _upstreams: dict[str, _Upstream] = field(default_factory=dict)
    _evacuated_s: dict[DataCentre, float] = field(default_factory=dict)
    _rejected: set[str] = field(default_factory=set)
    _rejected_until_s: dict[str, float] = field(default_factory=dict)
    _history_dropped_s: float = -math.inf
    _result: RoutingResult = field(default_factory=RoutingResult)
    _tasks: TaskGroup | None = None
    _starts: int = 0

    def __post_init__(self) -> None:
        self.network = RoutingNetwork(self.fault)

    def run(self) -> RoutingResult:
        """Simulate the history in virtual time."""
        run_in_virtual_time(self._simulate, order=self.seed)
        cold = [u.cold_arrivals_s for u in self._upstreams.values()]
        self._result.cold_arrivals = sum(map(len, cold))
        self._result.max_cold_arrivals = max(map(max_in_a_second, cold), default=0)
        return self._result

    async def _simulate(self) -> None:
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self.network.store.put(CONFIG_STREAM, CONFIG_KEY, json.dumps({"version": 1}).encode())
            for number in range(self.upstream_count):
                data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
                self._start_upstream(f"10.0.0.{number}:80", data_centre, cold_s=0.0)
            tasks.start_soon(self._record_ends)
            for number in range(self.instances):
                tasks.start_soon(self._start_instance, f"i{number}", 0.0)
            await anyio.sleep(_WARM_UP_S)
            for disruption in RoutingDisruption:
                if disruption in self.disruptions:
                    tasks.start_soon(self._repeat, disruption)
            tasks.start_soon(self._send_requests)
            await anyio.sleep(self.duration_s)
            tasks.cancel_scope.cancel()

    async def _record_ends(self) -> None:
        while True:
            for stream in (CONFIG_STREAM, UPSTREAMS_STREAM, MEMBERS_STREAM):
                end = self.network.store.newest(stream).next_offset
                self.network.ends[stream].append((anyio.current_time(), end))
            await anyio.sleep(0.25)

    def _make_rng(self, *what: object) -> random.Random:
        return random.Random(f"{self.seed} {what}")

    async def _send_requests(self) -> None:
        rng = self._make_rng("requests")
        number = 0
        while True:
            await anyio.sleep(rng.expovariate(self.requests_per_s))
            number += 1
            is_hot = rng.random() < self.hot_share
            session = "hot" if is_hot else f"s{rng.randrange(200)}"
            parts = (PromptPart("all", 50), PromptPart(session, 400), PromptPart(f"r{number}", 50))
            names = sorted(self.network.instances)
            if names:
                instance = self.network.instances[rng.choice(names)]
                self._send(instance, Prompt("m", 500, 50, parts), f"r{number}")

    def _send(self, instance: RoutingInstance, prompt: Prompt, request_id: str) -> None:
        self._result.requests += 1
        chosen = instance.choose(prompt, request_id)
        if chosen is None:
            self._result.refused += 1
            return
        now_s = anyio.current_time()
        upstream = self._upstreams[chosen.upstream_id]
        if now_s < upstream.cold_until_s:
            upstream.cold_arrivals_s.append(now_s)
        evacuated_s = self._evacuated_s.get(upstream.data_centre)
        if evacuated_s is not None and now_s > evacuated_s + self._bound_s(instance, evacuated_s):
            self._result.late_arrivals += 1

    def _bound_s(self, instance: RoutingInstance, since_s: float) -> float:
        """Return the bound of an evacuation at an instance; infinite if it was just started."""
        now_s = anyio.current_time()
        if now_s - instance.started_s < _STABLE_WINDOW_S:
            return math.inf
        until_s = self._rejected_until_s.get(instance.name, -math.inf)
        latest_s = max(until_s, self._history_dropped_s + STALE_S + 1)
        is_store_unstable = instance.name in self._rejected or latest_s > since_s - _STABLE_WINDOW_S
        return EVACUATION_S + OUTER_S if is_store_unstable else EVACUATION_S

    def _start_upstream(self, address: str, data_centre: DataCentre, *, cold_s: float) -> None:
        assert self._tasks is not None
        self._starts += 1
        upstream = _Upstream(
            f"u{self._starts}", address, data_centre, anyio.current_time() + cold_s
        )
        self._upstreams[upstream.upstream_id] = upstream
        self._tasks.start_soon(self._send_heartbeats, upstream)

    async def _send_heartbeats(self, upstream: _Upstream) -> None:
        """Write the registration when it has changed; upstreams that were replaced stop."""
        written = b""
        while self._upstreams.get(upstream.upstream_id) is upstream:
            entry = upstream.registration(anyio.current_time())
            if entry != written:
                self.network.store.put(UPSTREAMS_STREAM, upstream.upstream_id, entry)
                written = entry
            await anyio.sleep(_HEARTBEAT_S)

    async def _start_instance(self, name: str, delay_s: float) -> None:
        await anyio.sleep(delay_s)
        self._starts += 1
        instance = RoutingInstance(self.network, name, self._starts)
        instance.link.is_cut_off = name in self._rejected
        self.network.instances[name] = instance
        await instance.run()

    async def _repeat(self, disruption: RoutingDisruption) -> None:
        """Repeat one kind of disruption until the end of the history."""
        rng = self._make_rng(disruption)
        while True:
            await anyio.sleep(rng.choice([0.7, 2.0, 4.0]))
            match disruption:
                case RoutingDisruption.EVACUATIONS:
                    await self._evacuate(rng)
                case RoutingDisruption.COLD_RETURNS:
                    await self._return_cold(rng)
                case RoutingDisruption.COLD_AGAIN:
                    self._turn_cold(rng)
                case RoutingDisruption.REJECTIONS:
                    await self._reject(rng)
                case RoutingDisruption.KILLS:
                    self._kill(rng)
                case RoutingDisruption.ADDED_INSTANCES:
                    self._add_instances(rng)
                case RoutingDisruption.DROPPED_HISTORY:
                    await self._drop_history()

    async def _evacuate(self, rng: random.Random) -> None:
        data_centre = rng.choice(DATA_CENTRES)
        key = f"evacuate/{data_centre}"
        self.network.store.put(CONFIG_STREAM, key, b"{}")
        self._evacuated_s[data_centre] = anyio.current_time()
        await anyio.sleep(rng.choice([6.0, 14.0, 18.0]))
        for upstream in self._upstreams.values():
            if upstream.data_centre == data_centre:
                upstream.cold_until_s = anyio.current_time() + COLD_START_S
        del self._evacuated_s[data_centre]
        self.network.store.put(CONFIG_STREAM, key, None)

    async def _return_cold(self, rng: random.Random) -> None:
        """Replace the upstreams of a data centre, or of all, by ones that have just started."""
        chosen = set(DATA_CENTRES) if self.is_all_cold else {rng.choice(DATA_CENTRES)}
        gone = [u for u in self._upstreams.values() if u.data_centre in chosen]
        for upstream in gone:
            self.network.store.put(UPSTREAMS_STREAM, upstream.upstream_id, None)
        await anyio.sleep(rng.choice([2.5, 4.0]))
        for upstream in gone:
            self._start_upstream(upstream.address, upstream.data_centre, cold_s=COLD_START_S)

    def _turn_cold(self, rng: random.Random) -> None:
        data_centre = rng.choice(DATA_CENTRES)
        now_s = anyio.current_time()
        for upstream in self._upstreams.values():
            if upstream.data_centre == data_centre:
                upstream.cold_until_s = now_s + COLD_START_S
                entry = upstream.registration(now_s)
                self.network.store.put(UPSTREAMS_STREAM, upstream.upstream_id, entry)

    async def _reject(self, rng: random.Random) -> None:
        self._rejected = self._some_instances(rng, 0.35)
        self._update_links()
        await anyio.sleep(rng.choice([1.0, 5.0, 9.0, 20.0]))
        self._rejected_until_s |= dict.fromkeys(self._rejected, anyio.current_time())
        self._rejected = set()
        self._update_links()

    def _update_links(self) -> None:
        for name, instance in self.network.instances.items():
            instance.link.is_cut_off = name in self._rejected

    def _kill(self, rng: random.Random) -> None:
        assert self._tasks is not None
        for name in sorted(self._some_instances(rng, 0.3)):
            self.network.instances.pop(name).scope.cancel()
            self._tasks.start_soon(self._start_instance, name, rng.choice([0.3, 1.0, 3.0]))

    def _add_instances(self, rng: random.Random) -> None:
        assert self._tasks is not None
        for _ in range(rng.choice([1, max(1, self.instances // 2)])):
            self._starts += 1
            self._tasks.start_soon(self._start_instance, f"added{self._starts}", 0.0)

    async def _drop_history(self) -> None:
        """Drop the records of operators and upstreams; listings are out of date for a while."""
        self._history_dropped_s = anyio.current_time()
        self.network.store.compact(CONFIG_STREAM)
        self.network.store.compact(UPSTREAMS_STREAM)
        for instance in self.network.instances.values():
            instance.link.is_stale = True
        await anyio.sleep(STALE_S)
        for instance in self.network.instances.values():
            instance.link.is_stale = False

    def _some_instances(self, rng: random.Random, share: float) -> set[str]:
        return {name for name in sorted(self.network.instances) if rng.random() < share}


def max_in_a_second(arrivals_s: Iterable[float]) -> int:
    """Return the most arrivals within any span of a second."""
    latest: list[float] = []
    most = 0
    for at_s in sorted(arrivals_s):
        latest = [*(s for s in latest if at_s - s < 1.0), at_s]
        most = max(most, len(latest))
    return most
