"""Rollout of a new model version to a data centre's engines: its duration, orders and polls.

Run ``python -m benchmarks.orders``. It runs in fake time; a load takes 30 s and instances poll
every 2 s. In the second half of the rows, the first instance that decides on an order is paused for
a minute before it sends the order.
"""

from __future__ import annotations

from dataclasses import dataclass

import fire

from mothstand.core.config import ConfigState, OrderCheck
from mothstand.core.orders import Order, OrderPlanner, desired_setup
from mothstand.testing.orders import DATA_CENTRE, FakeEngine, engine, state

_LOAD_S = 30.0
_POLL_INTERVAL_S = 2.0
_PAUSE_S = 60.0


@dataclass(frozen=True, slots=True)
class Size:
    """Engines and instances of a data centre, and the limit of concurrent loads."""

    engines: int
    instances: int
    loads: int


@dataclass(slots=True)
class Figures:
    """Duration, orders and polls of one version change."""

    seconds: float = 0.0
    orders: int = 0
    polls: int = 0
    max_loading: int = 0


class VersionChange:
    """Simulates one version change in a data centre."""

    def __init__(self, size: Size, *, pause: bool) -> None:
        kinds = (OrderCheck.FENCED, OrderCheck.UNFENCED)
        self._engines = {
            f"e{n}": FakeEngine(engine(f"e{n}", kinds[n % 2]), load_s=_LOAD_S)
            for n in range(size.engines)
        }
        names = [f"sto-a-{n}" for n in range(size.instances)]
        self._planners = {name: OrderPlanner(name, DATA_CENTRE) for name in names}
        upstreams = [fake.upstream for fake in self._engines.values()]
        self._old_state = state(1, *upstreams, weight_loads=size.loads)
        self._new_state = state(2, *upstreams, weight_loads=size.loads)
        for fake in self._engines.values():
            fake.setup = desired_setup(self._old_state.config, fake.upstream)
        self._size = size
        self._is_pause_pending = pause
        self._delayed_orders: list[Order] = []
        self._paused_instance = ""
        self.figures = Figures()

    def run(self) -> Figures:
        """Run until all engines serve the new version."""
        now_s = 0.0
        while now_s < 60.0:
            self._run_round(self._old_state, now_s)
            now_s += _POLL_INTERVAL_S
        self.figures = Figures()
        changed_s = now_s
        while not self._is_done(now_s):
            if self._paused_instance and now_s - changed_s >= _PAUSE_S:
                self._paused_instance = ""
                self._is_pause_pending = False
                for order in self._delayed_orders:
                    self._engines[order.engine.name].accept(order, now_s)
                self._delayed_orders = []
            self._run_round(self._new_state, now_s)
            now_s += _POLL_INTERVAL_S
        self.figures.seconds = now_s - changed_s
        return self.figures

    def _run_round(self, config: ConfigState, now_s: float) -> None:
        loading = sum(fake.report(now_s).is_loading for fake in self._engines.values())
        self.figures.max_loading = max(self.figures.max_loading, loading)
        alive = [name for name in self._planners if name != self._paused_instance]
        for name in alive:
            self._run_instance(name, alive, config, now_s)

    def _run_instance(self, name: str, alive: list[str], config: ConfigState, now_s: float) -> None:
        planner = self._planners[name]
        for upstream in planner.engines_to_poll(config.config, alive, self._size.loads, now_s):
            fake = self._engines[upstream.name]
            self.figures.polls += 1
            order = planner.decide(upstream, fake.report(now_s), config, now_s)
            if order is None:
                continue
            self.figures.orders += 1
            if self._is_pause_pending and not self._paused_instance:
                # Paused between its check and the send, so the order arrives a minute late.
                self._paused_instance = name
                self._delayed_orders.append(order)
                return
            fake.accept(order, now_s)

    def _is_done(self, now_s: float) -> bool:
        return not self._delayed_orders and all(
            fake.report(now_s).setup == desired_setup(self._new_state.config, fake.upstream)
            and not fake.loads
            for fake in self._engines.values()
        )


SIZES = (Size(3, 2, 1), Size(24, 6, 2), Size(285, 50, 10))


def main() -> None:
    """Print a row for each size, first without and then with a paused instance."""
    for pause in (False, True):
        for size in SIZES:
            figures = VersionChange(size, pause=pause).run()
            min_s = _LOAD_S * size.engines / size.loads
            polls_per_s = figures.polls / figures.seconds / size.instances
            print(
                f"{size.engines:4} engines, {size.instances:2} instances, {size.loads:2} loads"
                f"{', one paused' if pause else '':12}: {figures.seconds:6.0f} s"
                f" (least {min_s:5.0f}), {figures.orders / size.engines:4.2f} orders an engine,"
                f" at most {figures.max_loading} loading,"
                f" {polls_per_s:4.2f} looks/s an instance"
            )


if __name__ == "__main__":
    fire.Fire(main)
