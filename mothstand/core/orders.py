"""Orders to model engines: what each should have loaded, who orders it, and when.

The configuration says what an engine should have loaded, and its offset in the log is the order's
fencing number: no two orders of one number differ. An engine that checks refuses an older
one. For one that does not, one instance orders at a time, and a new one waits until the earlier
one's orders are too old to be sent. What the engine says it has is read again and again: an order
that slipped through is put right.
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
    """What an engine has, or should have: `models` in order of their names."""

    models: tuple[Model, ...]
    role: str

    def __str__(self) -> str:
        models = " ".join(f"{model.name}@{model.version}" for model in self.models)
        return f"{self.role}: {models or 'nothing'}"


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself.

    Parameters
    ----------
    fencing
        The highest number it has taken an order under; 0 from engines that do not check.
    loading
        Whether it is carrying out an order.
    """

    setup: EngineSetup
    fencing: int
    is_loading: bool


@dataclass(frozen=True, slots=True)
class Order:
    """An order to one engine: the whole setup, so that taking it twice changes nothing.

    Parameters
    ----------
    decided_at_s
        Monotonic time of the decision; an order that was held up must not be sent.
    """

    engine: Upstream
    setup: EngineSetup
    fencing: int
    decided_at_s: float


def desired_setup(config: FleetConfig, engine: Upstream) -> EngineSetup:
    """Return what an engine should have loaded."""
    models = tuple(config.models[name] for name in sorted(engine.serves))
    return EngineSetup(models, engine.role)


def order_issuers(alive: Collection[str], data_centre: DataCentre, max_loading: int) -> list[str]:
    """Return the instances of a data centre that order: no more than may load at once.

    Each of them lets at least one engine load, so more of them would be too many at the store.
    """
    return rank(alive, f"orders/{data_centre}")[: max(1, max_loading)]


@dataclass(slots=True)
class _EngineAssignment:
    """A duty to order one engine.

    Parameters
    ----------
    since_s
        Since when the instance has had it without a break.
    backoff
        Counts the orders of one number that were sent.
    settled
        What the engine had when it was last looked at, if that was what it should have.
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
    """When orders may be sent.

    Parameters
    ----------
    held_up_s
        An order older than this is not sent.
    wait_s
        A new issuer waits as long before it orders an engine that does not check: longer than it
        takes to suspect the earlier one, and than that one's orders count.
    retry_first_s, retry_most_s
        Before the same order is sent again; doubles.
    """

    max_order_age_s: float = 1.0
    takeover_wait_s: float = 5.0
    retry_first_s: float = 5.0
    retry_max_s: float = 320.0


@dataclass(slots=True)
class OrderPlanner:
    """Decides on orders for one instance.

    Parameters
    ----------
    name
        The instance's name.
    """

    name: str
    data_centre: DataCentre
    timing: OrderTiming = field(default_factory=OrderTiming)
    _assignments: dict[str, _EngineAssignment] = field(default_factory=dict)
    _max_loading: int = 1

    def engines_to_poll(
        self, config: FleetConfig, alive: Collection[str], max_loading: int, now_s: float
    ) -> list[Upstream]:
        """Return the engines that this instance looks at now: not all, lest looking costs too much.

        Those that are not known to have what they should come first, then the ones that were
        looked at longest ago.

        Parameters
        ----------
        alive
            Names of the data centre's live instances.
        loads
            How many engines of the data centre may load at once: they share the weight store.
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
            name: duty for name, duty in self._assignments.items() if name in names
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
            # A newer configuration than this instance's is in force.
            return None
        if self._must_wait(engine, assignment, state.offset, now_s):
            return None
        self._note_attempt(assignment, state.offset, now_s)
        return Order(engine, desired, state.offset, now_s)

    def may_send(self, order: Order, now_s: float) -> bool:
        """Return whether an order still counts: asked right before it is sent.

        A process can be stopped between its decision and the send. When it wakes, others may have
        ordered something newer, which an engine that does not check would undo.
        """
        is_assigned = order.engine.name in self._assignments
        return is_assigned and now_s - order.decided_at_s <= self.timing.max_order_age_s

    def is_contested(self, engine: str) -> bool:
        """Return whether an engine keeps losing what it was ordered."""
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
        # Until the engine is looked at again, it counts as loading.
        assignment.is_loading = True


#: Engines that are looked at in one round.
POLLS_PER_ROUND = 8

_CONTESTED_ATTEMPTS = 3
