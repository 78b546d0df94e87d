"""Routing compared with random and least-in-flight choice: prefix hits, latency, spread, refusals.

Run ``python -m benchmarks.routing``. It runs in fake time, with a real `Router` for each instance
and simulated engines: three data centres with two instances and three engines each, as today.
Requests share prefixes (style guides) whose popularity follows Zipf's law.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass, field
from datetime import UTC, datetime
from statistics import mean

import fire
from returns.result import Success

from mothstand.core.config import FleetConfig, Upstream, UpstreamKind
from mothstand.core.routing import RouteCall, Router
from mothstand.types import DataCentre

from .engine_model import STEP_S, Engine, EngineSize, Work

DATA_CENTRES = tuple(DataCentre(f"sto-{letter}") for letter in "abc")
_INSTANCES_PER_DATA_CENTRE = 2
_ENGINES_PER_DATA_CENTRE = 3
_MODEL = "citation-7b"

#: Delay of a load report, and the share of reports that are lost.
_REPORT_LAG_S = 0.2
_REPORT_LOSS_SHARE = 0.2

#: Latency target of the first token.
_MAX_FIRST_TOKEN_MS = 720.0
_NOW_UTC = datetime(2026, 1, 1, tzinfo=UTC)


@dataclass(frozen=True, slots=True)
class Demand:
    """Rate and distribution of the requests of all callers.

    Parameters
    ----------
    rate_per_s
        Requests a second of all callers.
    skew
        First data centre's share of the requests; the others get half of the rest each.
    prefixes
        Number of prefixes that requests share.
    """

    name: str
    rate_per_s: float
    skew: float = 1 / 3
    prefixes: int = 120
    duration_s: float = 60.0


class Chooser(ABC):
    """Interface for choosing engines on behalf of one instance."""

    def __init__(self, data_centre: DataCentre, config: FleetConfig, rng: random.Random) -> None:
        self.data_centre = data_centre
        self.config = config
        self.rng = rng

    @abstractmethod
    def choose(self, prefix: str, now_s: float) -> str | None:
        """Return the engine for a request and count the request; None refuses it."""

    @abstractmethod
    def note_ended(self, engine: str, elapsed_s: float, now_s: float) -> None:
        """Note the end of a request."""

    def note_load_report(self, engine: str, load: int, now_s: float) -> None:
        """Note an engine's load report, which came with an answer's first token."""
        del engine, load, now_s


class RouterChooser(Chooser):
    """Mothstand's router without load reports."""

    def __init__(self, data_centre: DataCentre, config: FleetConfig, rng: random.Random) -> None:
        super().__init__(data_centre, config, rng)
        self.router = Router(data_centre)

    def choose(self, prefix: str, now_s: float) -> str | None:
        """Return the engine that the router chooses."""
        call = RouteCall(serves=_MODEL, prefix=prefix, priority=1)
        chosen = self.router.choose(
            call, self.config, sharers=_INSTANCES_PER_DATA_CENTRE, now_utc=_NOW_UTC, now_s=now_s
        )
        if not isinstance(chosen, Success):
            return None
        name = chosen.unwrap().name
        self.router.note_started(name)
        return name

    def note_ended(self, engine: str, elapsed_s: float, now_s: float) -> None:
        """Notify the router of a request's end."""
        self.router.note_ended(engine, failed=False, elapsed_s=elapsed_s, now_s=now_s)


class RouterWithReportsChooser(RouterChooser):
    """Mothstand's router with the engines' load reports."""

    def note_load_report(self, engine: str, load: int, now_s: float) -> None:
        """Pass a load report to the router."""
        self.router.note_load_report(engine, load, now_s)


class _InFlightChooser(Chooser):
    """Baseline that uses local engines only, with the router's slot limit and its own counts."""

    def __init__(self, data_centre: DataCentre, config: FleetConfig, rng: random.Random) -> None:
        super().__init__(data_centre, config, rng)
        self.in_flight = {
            u.name: 0 for u in config.upstreams.values() if u.data_centre == data_centre
        }

    def choose(self, prefix: str, now_s: float) -> str | None:
        """Return one of the engines with a free slot."""
        max_in_flight = 2 * EngineSize().slots // _INSTANCES_PER_DATA_CENTRE
        free = [name for name, count in self.in_flight.items() if count < max_in_flight]
        if not free:
            return None
        name = self.pick(free)
        self.in_flight[name] += 1
        return name

    def note_ended(self, engine: str, elapsed_s: float, now_s: float) -> None:
        """Subtract a request from its engine's count."""
        self.in_flight[engine] -= 1

    @abstractmethod
    def pick(self, free: list[str]) -> str:
        """Return one of the free engines."""


class RandomChooser(_InFlightChooser):
    """Baseline that chooses any free engine."""

    def pick(self, free: list[str]) -> str:
        """Return a random engine."""
        return self.rng.choice(free)


class LeastInFlightChooser(_InFlightChooser):
    """Baseline that chooses the engine with the fewest requests of this instance."""

    def pick(self, free: list[str]) -> str:
        """Return the least loaded engine, at random among equals."""
        return min(free, key=lambda name: (self.in_flight[name], self.rng.random()))


CHOOSERS: dict[str, type[Chooser]] = {
    "random": RandomChooser,
    "least in flight": LeastInFlightChooser,
    "no reports": RouterChooser,
    "mothstand": RouterWithReportsChooser,
}


@dataclass(frozen=True, slots=True)
class _DelayedReport:
    """A load report that is not delivered yet."""

    due_s: float
    chooser: Chooser
    engine: str
    load: int


@dataclass(slots=True)
class Result:
    """Counts, completed requests and load spreads of one run."""

    offered: int = 0
    refused: int = 0
    completed: list[Work] = field(default_factory=list)
    spreads: list[float] = field(default_factory=list)

    @property
    def first_tokens_ms(self) -> list[float]:
        """Milliseconds to the first token of each answer, in ascending order."""
        return sorted(1000 * ((w.first_token_s or 0.0) - w.arrived_s) for w in self.completed)

    @property
    def answers_in_time(self) -> int:
        """Number of answers whose first token met the latency target."""
        return sum(first <= _MAX_FIRST_TOKEN_MS for first in self.first_tokens_ms)

    @property
    def hits_percent(self) -> float:
        """Percentage of answers whose prefix was cached."""
        return 100 * mean(work.is_cached for work in self.completed)

    @property
    def refused_percent(self) -> float:
        """Percentage of requests that were refused."""
        return 100 * self.refused / self.offered

    def row(self, seconds: float) -> str:
        """Return the figures as a table row.

        Parameters
        ----------
        seconds
            Duration of the run.
        """
        first_tokens_ms = self.first_tokens_ms
        return (
            f"hits {self.hits_percent:5.1f} %"
            f"  first token p50 {first_tokens_ms[len(first_tokens_ms) // 2]:6.0f}"
            f" p95 {first_tokens_ms[len(first_tokens_ms) * 95 // 100]:6.0f} ms"
            f"  in time {self.answers_in_time / seconds:5.1f}/s"
            f"  spread {mean(self.spreads):4.2f}"
            f"  refused {self.refused_percent:5.2f} %"
        )


def make_config() -> FleetConfig:
    """Return a configuration with the engines of all data centres."""
    upstreams = {}
    for data_centre in DATA_CENTRES:
        for number in range(_ENGINES_PER_DATA_CENTRE):
            name = f"llm-{data_centre}-{number}"
            slots = EngineSize().slots
            upstreams[name] = Upstream(
                name, UpstreamKind.ENGINE, name, data_centre, (_MODEL,), slots
            )
    return FleetConfig(upstreams=upstreams)


class World:
    """Simulates the callers, instances and engines of one run."""

    def __init__(self, chooser_class: type[Chooser], demand: Demand, seed: int) -> None:
        self._rng = random.Random(seed)
        self._demand = demand
        config = make_config()
        self.engines = {name: Engine() for name in config.upstreams}
        self._instances = {
            data_centre: [
                chooser_class(data_centre, config, self._rng)
                for _ in range(_INSTANCES_PER_DATA_CENTRE)
            ]
            for data_centre in DATA_CENTRES
        }
        self._owners: dict[int, tuple[Chooser, str]] = {}
        self._reports: deque[_DelayedReport] = deque()
        self._weights = [1 / rank for rank in range(1, demand.prefixes + 1)]
        self.result = Result()

    def run(self) -> Result:
        """Run the demand and return the figures."""
        steps = int(self._demand.duration_s / STEP_S)
        for step in range(steps):
            now_s = step * STEP_S
            self._send_arrivals(now_s)
            for name, engine in self.engines.items():
                ended = engine.step(now_s)
                self._queue_reports(name, engine, ended, now_s)
                for work in ended:
                    self._end(work, now_s)
            self._deliver_reports(now_s)
            if step % 100 == 0 and step:
                self._note_spread()
        return self.result

    def _send_arrivals(self, now_s: float) -> None:
        expected = self._demand.rate_per_s * STEP_S
        count = int(expected) + (self._rng.random() < expected % 1)
        for _ in range(count):
            self._send(now_s)

    def _send(self, now_s: float) -> None:
        other_share = (1 - self._demand.skew) / 2
        data_centre = self._rng.choices(
            DATA_CENTRES, (self._demand.skew, other_share, other_share)
        )[0]
        instance = self._rng.choice(self._instances[data_centre])
        number = self._rng.choices(range(self._demand.prefixes), self._weights)[0]
        work = Work(
            prefix=f"style-{number}",
            prefix_tokens=1_200 + 37 * (number % 20),
            own_tokens=self._rng.randint(50, 250),
            answer_tokens=self._rng.randint(30, 150),
            arrived_s=now_s,
        )
        self.result.offered += 1
        engine = instance.choose(work.prefix, now_s)
        if engine is None:
            self.result.refused += 1
            return
        self._owners[id(work)] = (instance, engine)
        self.engines[engine].add(work)

    def _queue_reports(self, name: str, engine: Engine, ended: list[Work], now_s: float) -> None:
        for work in (*engine.batch, *ended):
            if work.first_token_s == now_s and self._rng.random() >= _REPORT_LOSS_SHARE:
                chooser = self._owners[id(work)][0]
                self._reports.append(
                    _DelayedReport(now_s + _REPORT_LAG_S, chooser, name, engine.load)
                )

    def _deliver_reports(self, now_s: float) -> None:
        while self._reports and self._reports[0].due_s <= now_s:
            report = self._reports.popleft()
            report.chooser.note_load_report(report.engine, report.load, now_s)

    def _end(self, work: Work, now_s: float) -> None:
        instance, engine = self._owners.pop(id(work))
        instance.note_ended(engine, now_s - work.arrived_s, now_s)
        self.result.completed.append(work)

    def _note_spread(self) -> None:
        """Note the ratio of the highest engine load to the mean in each data centre."""
        for data_centre in DATA_CENTRES:
            loads = [engine.load for name, engine in self.engines.items() if data_centre in name]
            if sum(loads):
                self.result.spreads.append(max(loads) / mean(loads))


DEMANDS = (
    Demand("half", 30.0),
    Demand("busy", 50.0),
    Demand("full", 70.0),
    Demand("over", 110.0),
    Demand("busy skewed", 50.0, skew=0.6),
    Demand("busy few prefixes", 50.0, prefixes=6),
)


def main(seed: int = 1, only: str = "") -> None:
    """Print a row for each demand and chooser."""
    for demand in DEMANDS:
        if only and demand.name != only:
            continue
        for name, chooser_class in CHOOSERS.items():
            row = World(chooser_class, demand, seed).run().row(demand.duration_s)
            print(f"{demand.name:20} {name:16} {row}")


if __name__ == "__main__":
    fire.Fire(main)
