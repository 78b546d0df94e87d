"""Keeps the data centre's engines at what the configuration says they should have loaded."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.records import EngineOrdered, RecordId
from ..events import Event, emit
from ..upstreams.orders import EngineControl, EngineError, OrderOutcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..core.config import ConfigState, Upstream
    from ..core.membership import Membership
    from ..core.orders import Order, OrderPlanner
    from ..log.writer import LogWriter


class OrderIssuer:
    """Looks at the engines that this instance orders, and orders what differs.

    Parameters
    ----------
    writer
        Appends to the orders' stream, for the audit trail.
    look_every_s
        Seconds between two looks at an engine.
    """

    def __init__(
        self,
        planner: OrderPlanner,
        control: EngineControl,
        membership: Membership,
        config: Callable[[], ConfigState],
        writer: LogWriter[EngineOrdered],
        clock: Clock,
        poll_interval_s: float,
    ) -> None:
        self._planner = planner
        self._control = control
        self._membership = membership
        self._config = config
        self._writer = writer
        self._clock = clock
        self._poll_interval_s = poll_interval_s
        self._unresponsive_engines: set[str] = set()

    async def run(self) -> None:
        """Look and order, again and again, until cancelled."""
        while True:
            await self.poll_all()
            await self._clock.sleep(self._poll_interval_s)

    async def poll_all(self) -> None:
        """Look once at each engine that this instance orders."""
        state = self._config()
        now_s = self._clock.monotonic_s()
        alive = self._membership.local_alive(now_s)
        engines = self._planner.engines_to_poll(
            state.config, alive, state.config.weight_loads, now_s
        )
        for engine in engines:
            await self._poll(engine)

    async def _poll(self, engine: Upstream) -> None:
        try:
            report = await self._control.poll(engine)
        except EngineError as error:
            if engine.name not in self._unresponsive_engines:
                self._unresponsive_engines.add(engine.name)
                emit(Event.ENGINE_SILENT, upstream=engine.name, error=str(error))
            return
        self._unresponsive_engines.discard(engine.name)
        # Read again: both may have changed while the engine was looked at.
        state, now_s = self._config(), self._clock.monotonic_s()
        known = state.config.upstreams.get(engine.name)
        order = None if known is None else self._planner.decide(known, report, state, now_s)
        if order is not None:
            await self._send(order)

    async def _send(self, order: Order) -> None:
        if not self._planner.may_send(order, self._clock.monotonic_s()):
            return
        outcome = await self._control.order(order)
        self._record(order, outcome)
        if self._planner.is_contested(order.engine.name):
            emit(Event.ENGINE_CONTESTED, upstream=order.engine.name, fencing=order.fencing)

    def _record(self, order: Order, outcome: OrderOutcome) -> None:
        emit(
            Event.ENGINE_ORDERED,
            upstream=order.engine.name,
            fencing=order.fencing,
            setup=str(order.setup),
            outcome=outcome.value,
        )

        def make(record_id: RecordId) -> EngineOrdered:
            return EngineOrdered(
                record_id=record_id,
                engine=order.engine.name,
                fencing=order.fencing,
                setup=str(order.setup),
                outcome=outcome.value,
                time_utc=self._clock.now().isoformat(timespec="seconds"),
            )

        self._writer.submit(make)
