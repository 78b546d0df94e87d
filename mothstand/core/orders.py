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
    loading: bool


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


def wanted_setup(config: FleetConfig, engine: Upstream) -> EngineSetup:
    """Return what an engine should have loaded."""
    models = tuple(config.models[name] for name in sorted(engine.serves))
    return EngineSetup(models, engine.role)


def issuers(alive: Collection[str], data_centre: DataCentre, loads: int) -> list[str]:
    """Return the instances of a data centre that order: no more than may load at once.

    Each of them lets at least one engine load, so more of them would be too many at the store.
    """
    return rank(alive, f"orders/{data_centre}")[: max(1, loads)]


@dataclass(slots=True)
class _Duty:
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

    since_s: float
    backoff: Backoff
    looked_at_s: float = -math.inf
    settled: EngineSetup | None = None
    loading: bool = False
    fencing: int = 0
    again_at_s: float = -math.inf


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

    held_up_s: float = 1.0
    wait_s: float = 5.0
    retry_first_s: float = 5.0
    retry_most_s: float = 320.0


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
    _duties: dict[str, _Duty] = field(default_factory=dict)
    _loads: int = 1

    def engines(
        self, config: FleetConfig, alive: Collection[str], loads: int, now_s: float
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
            # A newer configuration than this instance's is in force.
            return None
        if self._must_wait(engine, duty, state.offset, now_s):
            return None
        self._note_try(duty, state.offset, now_s)
        return Order(engine, wanted, state.offset, now_s)

    def may_send(self, order: Order, now_s: float) -> bool:
        """Return whether an order still counts: asked right before it is sent.

        A process can be stopped between its decision and the send. When it wakes, others may have
        ordered something newer, which an engine that does not check would undo.
        """
        has_duty = order.engine.name in self._duties
        return has_duty and now_s - order.decided_at_s <= self.timing.held_up_s

    def is_contested(self, engine: str) -> bool:
        """Return whether an engine keeps losing what it was ordered."""
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
        # Until the engine is looked at again, it counts as loading.
        duty.loading = True


#: Engines that are looked at in one round.
LOOKS_AT_ONCE = 8

_CONTESTED_TRIES = 3
