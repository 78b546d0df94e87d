"""Ways to keep long prompts from holding up short ones at the same engine.

Run ``python -m benchmarks.prefill``. It runs the load of `benchmarks.placement` in fake time on
engines of uneven speed, with a real `Placement` for each instance. The ways: each instance places
its documents itself; a calendar for each engine; a floating pool of engines that documents prefer.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import fire

from mothstand.core.placement import PlacementPolicy
from mothstand.core.prefill_schedule import (
    CalendarScheduler,
    PrefillGrant,
    PrefillRequest,
    PrefillScheduler,
)

from .placement import SITES, Fleet, Outcome, Site

if TYPE_CHECKING:
    from collections.abc import Callable

#: Time over which the demand for the floating pool is measured.
_DEMAND_S = 2.0

#: Part of the time for which an engine of the floating pool reads documents.
_POOL_LOAD = 0.5


@dataclass(slots=True)
class FloatingPoolScheduler(PrefillScheduler):
    """Sends documents to as few engines as their demand needs, in a fixed order.

    Its idea is size-interval assignment: requests of unlike size wait in different queues. The
    boundary follows the load here, and short requests may use all engines.
    """

    read_s: float = 0.2
    _recent: deque[float] = field(default_factory=deque)
    _running: dict[str, str] = field(default_factory=dict)

    def reserve(self, request: PrefillRequest, now_s: float) -> PrefillGrant | None:
        """Return the engine of the pool with the fewest documents that are being read."""
        self._recent.append(now_s)
        while self._recent[0] < now_s - _DEMAND_S:
            self._recent.popleft()
        load = len(self._recent) / _DEMAND_S * self.read_s
        size = min(len(request.candidates), 1 + math.ceil(load / _POOL_LOAD))
        pool = [key.upstream_id for key in sorted(request.candidates)[:size]]
        reading = list(self._running.values())
        chosen = min(pool, key=reading.count)
        self._running[request.request_id] = chosen
        return PrefillGrant(chosen, 0.0, self.read_s)

    def release(self, request_id: str, *, read_s: float, now_s: float) -> None:
        """Note that a document has been read."""
        self._running.pop(request_id, None)


WAYS: dict[str, Callable[[], PrefillScheduler] | None] = {
    "each instance": None,
    "calendar": CalendarScheduler,
    "floating pool": FloatingPoolScheduler,
}

#: Ninety instances before 45 engines; documents and questions a second.
LOADS: dict[str, Site] = {
    "usual": SITES["ninety uneven"],
    "documents x2.4": replace(SITES["ninety uneven"], documents_per_s=125.0),
    "questions x2.5": SITES["ninety uneven busy"],
    "6 instances": replace(SITES["ninety uneven"], instances_each=2),
    "300 instances": SITES["300 uneven"],
    "few engines": replace(SITES["ninety uneven"], engines_each=8),
    "all long": replace(SITES["ninety uneven"], documents_per_s=104.0, questions_per_s=0.5),
    "all short": replace(SITES["ninety uneven"], documents_per_s=0.5, questions_per_s=310.0),
}


def run_way(load: Site, way: str, *, seed: int = 1) -> Outcome:
    """Return the counts of a load that is placed in one way."""
    return Fleet(load, PlacementPolicy(), seed, make_scheduler=WAYS[way]).run()


def main(*, seeds: int = 3, duration_s: float = 15.0) -> None:
    """Print the share of late documents and questions, and the tokens read, by load and way."""
    print(f"{'load':16} {'way':14} {'documents late':>14} {'questions late':>14} {'Mtokens':>8}")
    for name, load in LOADS.items():
        timed = replace(load, duration_s=duration_s)
        for way in WAYS:
            outcomes = [run_way(timed, way, seed=seed) for seed in range(seeds)]
            documents = sum(o.late_share("document") for o in outcomes) / seeds
            questions = sum(o.late_share("question") for o in outcomes) / seeds
            read = sum(o.read_tokens for o in outcomes) / seeds / 1e6
            print(f"{name:16} {way:14} {documents:14.3f} {questions:14.3f} {read:8.2f}")


if __name__ == "__main__":
    fire.Fire(main)
