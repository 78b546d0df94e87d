"""Engines that take orders, in fake time, and random histories of their issuers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..core.config import ConfigState, FleetConfig, Model, OrderCheck, Upstream, UpstreamKind
from ..core.orders import EngineReport, EngineSetup, Order, OrderPlanner
from ..types import DataCentre

if TYPE_CHECKING:
    import random

DATA_CENTRE = DataCentre("sto-a")
ISSUERS = ("sto-a-1", "sto-a-2", "sto-a-3")
EMPTY_SETUP = EngineSetup((), "mixed")


def engine(name: str, orders: OrderCheck = OrderCheck.UNFENCED) -> Upstream:
    """Return an engine that takes orders."""
    return Upstream(
        name,
        UpstreamKind.ENGINE,
        "127.0.0.1:1",
        DATA_CENTRE,
        ("m",),
        8,
        orders=orders,
        role="mixed",
    )


def state(offset: int, *engines: Upstream, weight_loads: int = 1) -> ConfigState:
    """Return a configuration whose model's version is its offset."""
    config = FleetConfig(
        upstreams={e.name: e for e in engines},
        models={"m": Model("m", str(offset))},
        weight_loads=weight_loads,
    )
    return ConfigState(offset=offset, config=config)


@dataclass(slots=True)
class FakeEngine:
    """An engine in fake time."""

    upstream: Upstream
    load_s: float = 3.0
    setup: EngineSetup = EMPTY_SETUP
    fencing: int = 0
    accepted_orders: int = 0
    loads: list[tuple[float, EngineSetup]] = field(default_factory=list)

    def accept(self, order: Order, now_s: float) -> None:
        """Take an order, as its kind does."""
        if self.upstream.orders is OrderCheck.FENCED:
            if order.fencing < self.fencing:
                return
            self.fencing = order.fencing
        self.accepted_orders += 1
        self.loads.append((now_s + self.load_s, order.setup))

    def report(self, now_s: float) -> EngineReport:
        """Return what it says of itself."""
        while self.loads and self.loads[0][0] <= now_s:
            self.setup = self.loads.pop(0)[1]
        return EngineReport(self.setup, self.fencing, bool(self.loads))


class OrderHistory:
    """A random history of three issuers with wrong views, pauses and late orders."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.now_s = 100.0
        kinds = (OrderCheck.FENCED, OrderCheck.UNFENCED)
        self.engines = [FakeEngine(engine(f"e{n}", kinds[n % 2])) for n in range(4)]
        self.states = [self._state(1)]
        self.planners = {name: OrderPlanner(name, DATA_CENTRE) for name in ISSUERS}
        self.read_states = dict.fromkeys(ISSUERS, 0)
        self.delayed_orders: list[Order] = []

    def run(self, steps: int) -> None:
        """Run a history with faults, then end them and let the fleet settle."""
        for _ in range(steps):
            self.now_s += self.rng.choice((0.1, 0.5, 2.0))
            if self.rng.random() < 0.05:
                self.states.append(self._state(self.states[-1].offset + 1))
            name = self.rng.choice(ISSUERS)
            self.read_states[name] = self.rng.randint(self.read_states[name], len(self.states) - 1)
            peers = [other for other in ISSUERS if self.rng.random() < 0.7]
            self._round(name, {name, *peers}, delayed_share=0.2)
            if self.delayed_orders and self.rng.random() < 0.2:
                self._deliver(self.delayed_orders.pop(self.rng.randrange(len(self.delayed_orders))))
        self._settle()

    def _settle(self) -> None:
        """End the faults; the last orders that were held up arrive when all is done."""
        self.read_states = dict.fromkeys(ISSUERS, len(self.states) - 1)
        self._run_rounds(100)
        while self.delayed_orders:
            self._deliver(self.delayed_orders.pop())
        self._run_rounds(1000)

    def _run_rounds(self, count: int) -> None:
        for _ in range(count):
            self.now_s += 1.0
            for name in ISSUERS:
                self._round(name, set(ISSUERS), delayed_share=0.0)

    def _round(self, name: str, alive: set[str], *, delayed_share: float) -> None:
        config = self.states[self.read_states[name]]
        planner = self.planners[name]
        for upstream in planner.engines_to_poll(config.config, alive, 2, self.now_s):
            found = next(e for e in self.engines if e.upstream.name == upstream.name)
            order = planner.decide(upstream, found.report(self.now_s), config, self.now_s)
            if order is None or not planner.may_send(order, self.now_s):
                continue
            if self.rng.random() < delayed_share:
                # The process stops right after the check, or the network holds the order up.
                self.delayed_orders.append(order)
            else:
                self._deliver(order)

    def _deliver(self, order: Order) -> None:
        found = next(e for e in self.engines if e.upstream.name == order.engine.name)
        before = found.fencing
        found.accept(order, self.now_s)
        assert found.fencing >= before

    def _state(self, offset: int) -> ConfigState:
        return state(offset, *(e.upstream for e in self.engines), weight_loads=2)
