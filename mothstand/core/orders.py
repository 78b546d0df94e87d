"""Planning of orders to model engines: which models each should load, and who orders it when.

The configuration declares what an engine should load, and its offset in the log is the fencing
number of the order, so orders with the same number are equal. A fenced engine refuses an older
number. An unfenced engine is ordered by one instance at a time, and a new issuer waits until orders
of the earlier one are too old to be sent. Engines are polled for what they have loaded, which
corrects the effect of an outdated order that was sent all the same.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .backoff import Backoff
from .config import OrderCheck
from .membership import rank

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..types import DataCentre
    from .config import ConfigState, FleetConfig, Model, Upstream


@dataclass(frozen=True, slots=True)
class EngineSetup:
    """The models that an engine has loaded or should load, sorted by name, and its role."""

    models: tuple[Model, ...]
    role: str

    def __str__(self) -> str:
        models = " ".join(f"{model.name}@{model.version}" for model in self.models)
        return f"{self.role}: {models or 'nothing'}"


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State that an engine reports of itself.

    Parameters
    ----------
    fencing
        Highest fencing number of an order it accepted; 0 from unfenced engines.
    is_loading
        Whether it is carrying out an order.
    """

    setup: EngineSetup
    fencing: int
    loading: bool


@dataclass(frozen=True, slots=True)
class Order:
    """An order to one engine. It holds the entire setup, so applying it twice changes nothing.

    Parameters
    ----------
    decided_at_s
        Monotonic time of the decision; an order that is too old must not be sent.
    """

    engine: Upstream
    setup: EngineSetup
    fencing: int
    decided_at_s: float


def wanted_setup(config: FleetConfig, engine: Upstream) -> EngineSetup:
    """Return the setup that the configuration declares for an engine."""
    models = tuple(config.models[name] for name in sorted(engine.serves))
    return EngineSetup(models, engine.role)


def issuers(alive: Collection[str], data_centre: DataCentre, loads: int) -> list[str]:
    """Return the instances of a data centre that issue orders, at most `max_loading` of them.

    Each of them lets at least one engine load, so more issuers would overload the weight store.
    """
    return rank(alive, f"orders/{data_centre}")[: max(1, loads)]


@dataclass(slots=True)
class _Duty:
    """Assignment of one engine to this instance, which polls and orders it.

    Parameters
    ----------
    assigned_at_s
        Time since which the engine has been assigned without interruption.
    backoff
        Pauses between the orders with the same fencing number, which it also counts.
    confirmed_setup
        Setup of the engine when it was last polled, if it was the desired one.
    """

    since_s: float
    backoff: Backoff
    looked_at_s: float = -math.inf
    settled: EngineSetup | None = None
    loading: bool = False
    fencing: int = 0
    again_at_s: float = -math.inf


@dataclass(frozen=True, slots=True)
class OrderTiming:
    """Timing of orders.

    Parameters
    ----------
    max_order_age_s
        An order older than this is not sent.
    takeover_wait_s
        Wait of a new issuer before it orders an unfenced engine: longer than the earlier issuer
        takes to be suspected, and longer than `max_order_age_s`.
    retry_first_s, retry_max_s
        First and longest pause before the same order is sent again; each pause doubles.
    """

    held_up_s: float = 1.0
    wait_s: float = 5.0
    retry_first_s: float = 5.0
    retry_most_s: float = 320.0


@dataclass(slots=True)
class OrderPlanner:
    """Decides which orders one instance sends.

    Parameters
    ----------
    name
        Name of the instance.
    """

    name: str
    data_centre: DataCentre
    timing: OrderTiming = field(default_factory=OrderTiming)
    _duties: dict[str, _Duty] = field(default_factory=dict)
    _loads: int = 1

    def engines(
        self, config: FleetConfig, alive: Collection[str], loads: int, now_s: float
    ) -> list[Upstream]:
        """Return the engines that this instance polls now, a limited number to bound the cost.

        Engines without a confirmed setup come first, then those that were polled longest ago.

        Parameters
        ----------
        alive
            Names of the live instances of the data centre.
        max_loading
            Number of engines of the data centre that may load at once: they share the weight store.
        """
        chosen = issuers(alive, self.data_centre, loads)
        self._loads = max(1, loads // max(1, len(chosen)))
        mine = [
            engine
            for engine in config.upstreams.values()
            if engine.orders is not OrderCheck.NONE
            and engine.data_centre == self.data_centre
            and rank(chosen, engine.name)[:1] == [self.name]
        ]
        names = {engine.name for engine in mine}
        self._duties = {name: duty for name, duty in self._duties.items() if name in names}
        for name in names - self._duties.keys():
            backoff = Backoff(self.timing.retry_first_s, self.timing.retry_most_s)
            self._duties[name] = _Duty(now_s, backoff)
        return sorted(mine, key=lambda engine: self._urgency(config, engine))[:LOOKS_AT_ONCE]

    def decide(
        self, engine: Upstream, report: EngineReport, state: ConfigState, now_s: float
    ) -> Order | None:
        """Return the order that an engine needs now, or None."""
        duty = self._duties.get(engine.name)
        if duty is None:
            return None
        duty.looked_at_s = now_s
        duty.loading = report.loading
        duty.settled = None
        if report.loading:
            return None
        wanted = wanted_setup(state.config, engine)
        if report.setup == wanted:
            duty.settled = wanted
            return None
        if report.fencing > state.offset:
            # The engine was ordered under a newer configuration than this instance has.
            return None
        if self._must_wait(engine, duty, state.offset, now_s):
            return None
        self._note_try(duty, state.offset, now_s)
        return Order(engine, wanted, state.offset, now_s)

    def may_send(self, order: Order, now_s: float) -> bool:
        """Return whether an order is still valid; call it right before sending.

        A process can be suspended between decision and send. When it resumes, another instance may
        have sent a newer order, which an unfenced engine would undo.
        """
        has_duty = order.engine.name in self._duties
        return has_duty and now_s - order.decided_at_s <= self.timing.held_up_s

    def is_contested(self, engine: str) -> bool:
        """Return whether an engine repeatedly does not have the setup it was ordered to load."""
        duty = self._duties.get(engine)
        return duty is not None and duty.backoff.tries > _CONTESTED_TRIES

    def _urgency(self, config: FleetConfig, engine: Upstream) -> tuple[bool, float]:
        duty = self._duties[engine.name]
        return duty.settled == wanted_setup(config, engine), duty.looked_at_s

    def _must_wait(self, engine: Upstream, duty: _Duty, offset: int, now_s: float) -> bool:
        unchecked = engine.orders is OrderCheck.UNFENCED
        if unchecked and now_s - duty.since_s < self.timing.wait_s:
            return True
        if duty.fencing == offset and now_s < duty.again_at_s:
            return True
        return sum(other.loading for other in self._duties.values()) >= self._loads

    def _note_try(self, duty: _Duty, offset: int, now_s: float) -> None:
        if duty.fencing != offset:
            duty.backoff.reset()
        duty.fencing = offset
        duty.again_at_s = now_s + duty.backoff.next_s()
        # The engine counts as loading until it is polled again.
        duty.loading = True


#: Maximum number of engines that are polled in one round.
LOOKS_AT_ONCE = 8

_CONTESTED_TRIES = 3
