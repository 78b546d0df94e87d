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
from mothstand.testing.orders import HERE, FakeEngine, engine, state

_LOAD_S = 30.0
_LOOK_S = 2.0
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
    looks: int = 0
    most_loading: int = 0


class Change:
    """Simulates one version change in a data centre."""

    def __init__(self, size: Size, *, pause: bool) -> None:
        kinds = (OrderCheck.FENCED, OrderCheck.UNFENCED)
        self._engines = {
            f"e{n}": FakeEngine(engine(f"e{n}", kinds[n % 2]), load_s=_LOAD_S)
            for n in range(size.engines)
        }
        names = [f"sto-a-{n}" for n in range(size.instances)]
        self._planners = {name: OrderPlanner(name, HERE) for name in names}
        upstreams = [found.upstream for found in self._engines.values()]
        self._old = state(1, *upstreams, weight_loads=size.loads)
        self._new = state(2, *upstreams, weight_loads=size.loads)
        for found in self._engines.values():
            found.setup = desired_setup(self._old.config, found.upstream)
        self._size = size
        self._pause = pause
        self._held_up: list[Order] = []
        self._paused = ""
        self.figures = Figures()

    def run(self) -> Figures:
        """Run until all engines serve the new version."""
        now_s = 0.0
        while now_s < 60.0:
            self._round(self._old, now_s)
            now_s += _LOOK_S
        self.figures = Figures()
        changed_s = now_s
        while not self._done(now_s):
            if self._paused and now_s - changed_s >= _PAUSE_S:
                self._paused = ""
                self._pause = False
                for order in self._held_up:
                    self._engines[order.engine.name].take(order, now_s)
                self._held_up = []
            self._round(self._new, now_s)
            now_s += _LOOK_S
        self.figures.seconds = now_s - changed_s
        return self.figures

    def _round(self, config: ConfigState, now_s: float) -> None:
        loading = sum(found.report(now_s).is_loading for found in self._engines.values())
        self.figures.most_loading = max(self.figures.most_loading, loading)
        alive = [name for name in self._planners if name != self._paused]
        for name in alive:
            self._act(name, alive, config, now_s)

    def _act(self, name: str, alive: list[str], config: ConfigState, now_s: float) -> None:
        planner = self._planners[name]
        for upstream in planner.engines_to_poll(config.config, alive, self._size.loads, now_s):
            found = self._engines[upstream.name]
            self.figures.looks += 1
            order = planner.decide(upstream, found.report(now_s), config, now_s)
            if order is None:
                continue
            self.figures.orders += 1
            if self._pause and not self._paused:
                # Paused between its check and the send, so the order arrives a minute late.
                self._paused = name
                self._held_up.append(order)
                return
            found.take(order, now_s)

    def _done(self, now_s: float) -> bool:
        return not self._held_up and all(
            found.report(now_s).setup == desired_setup(self._new.config, found.upstream)
            and not found.loads
            for found in self._engines.values()
        )


SIZES = (Size(3, 2, 1), Size(24, 6, 2), Size(285, 50, 10))


def main() -> None:
    """Print a row for each size, first without and then with a paused instance."""
    for pause in (False, True):
        for size in SIZES:
            figures = Change(size, pause=pause).run()
            least_s = _LOAD_S * size.engines / size.loads
            looks = figures.looks / figures.seconds / size.instances
            print(
                f"{size.engines:4} engines, {size.instances:2} instances, {size.loads:2} loads"
                f"{', one paused' if pause else '':12}: {figures.seconds:6.0f} s"
                f" (least {least_s:5.0f}), {figures.orders / size.engines:4.2f} orders an engine,"
                f" at most {figures.most_loading} loading,"
                f" {looks:4.2f} looks/s an instance"
            )


if __name__ == "__main__":
    fire.Fire(main)
