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
    is_loading: bool


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


def desired_setup(config: FleetConfig, engine: Upstream) -> EngineSetup:
    """Return the setup that the configuration declares for an engine."""
    models = tuple(config.models[name] for name in sorted(engine.serves))
    return EngineSetup(models, engine.role)


def order_issuers(alive: Collection[str], data_centre: DataCentre, max_loading: int) -> list[str]:
    """Return the instances of a data centre that issue orders, at most `max_loading` of them.

    Each of them lets at least one engine load, so more issuers would overload the weight store.
    """
    return rank(alive, f"orders/{data_centre}")[: max(1, max_loading)]


@dataclass(slots=True)
class _EngineAssignment:
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

    assigned_at_s: float
    backoff: Backoff
    polled_s: float = -math.inf
    confirmed_setup: EngineSetup | None = None
    is_loading: bool = False
    fencing: int = 0
    retry_at_s: float = -math.inf


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

    max_order_age_s: float = 1.0
    takeover_wait_s: float = 5.0
    retry_first_s: float = 5.0
    retry_max_s: float = 320.0


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
    _assignments: dict[str, _EngineAssignment] = field(default_factory=dict)
    _max_loading: int = 1

    def engines_to_poll(
        self, config: FleetConfig, alive: Collection[str], max_loading: int, now_s: float
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
        issuers = order_issuers(alive, self.data_centre, max_loading)
        self._max_loading = max(1, max_loading // max(1, len(issuers)))
        assigned = [
            engine
            for engine in config.upstreams.values()
            if engine.orders is not OrderCheck.NONE
            and engine.data_centre == self.data_centre
            and rank(issuers, engine.name)[:1] == [self.name]
        ]
        names = {engine.name for engine in assigned}
        self._assignments = {
            name: assignment for name, assignment in self._assignments.items() if name in names
        }
        for name in names - self._assignments.keys():
            backoff = Backoff(self.timing.retry_first_s, self.timing.retry_max_s)
            self._assignments[name] = _EngineAssignment(now_s, backoff)
        return sorted(assigned, key=lambda engine: self._poll_order(config, engine))[
            :POLLS_PER_ROUND
        ]

    def decide(
        self, engine: Upstream, report: EngineReport, state: ConfigState, now_s: float
    ) -> Order | None:
        """Return the order that an engine needs now, or None."""
        assignment = self._assignments.get(engine.name)
        if assignment is None:
            return None
        assignment.polled_s = now_s
        assignment.is_loading = report.is_loading
        assignment.confirmed_setup = None
        if report.is_loading:
            return None
        desired = desired_setup(state.config, engine)
        if report.setup == desired:
            assignment.confirmed_setup = desired
            return None
        if report.fencing > state.offset:
            # The engine was ordered under a newer configuration than this instance has.
            return None
        if self._must_wait(engine, assignment, state.offset, now_s):
            return None
        self._note_attempt(assignment, state.offset, now_s)
        return Order(engine, desired, state.offset, now_s)

    def may_send(self, order: Order, now_s: float) -> bool:
        """Return whether an order is still valid; call it right before sending.

        A process can be suspended between decision and send. When it resumes, another instance may
        have sent a newer order, which an unfenced engine would undo.
        """
        is_assigned = order.engine.name in self._assignments
        return is_assigned and now_s - order.decided_at_s <= self.timing.max_order_age_s

    def is_contested(self, engine: str) -> bool:
        """Return whether an engine repeatedly does not have the setup it was ordered to load."""
        assignment = self._assignments.get(engine)
        return assignment is not None and assignment.backoff.attempts > _CONTESTED_ATTEMPTS

    def _poll_order(self, config: FleetConfig, engine: Upstream) -> tuple[bool, float]:
        assignment = self._assignments[engine.name]
        return assignment.confirmed_setup == desired_setup(config, engine), assignment.polled_s

    def _must_wait(
        self, engine: Upstream, assignment: _EngineAssignment, offset: int, now_s: float
    ) -> bool:
        is_unfenced = engine.orders is OrderCheck.UNFENCED
        if is_unfenced and now_s - assignment.assigned_at_s < self.timing.takeover_wait_s:
            return True
        if assignment.fencing == offset and now_s < assignment.retry_at_s:
            return True
        return sum(other.is_loading for other in self._assignments.values()) >= self._max_loading

    def _note_attempt(self, assignment: _EngineAssignment, offset: int, now_s: float) -> None:
        if assignment.fencing != offset:
            assignment.backoff.reset()
        assignment.fencing = offset
        assignment.retry_at_s = now_s + assignment.backoff.next_s()
        # The engine counts as loading until it is polled again.
        assignment.is_loading = True


#: Maximum number of engines that are polled in one round.
POLLS_PER_ROUND = 8

_CONTESTED_ATTEMPTS = 3
