"""Tests of upstreams that deregister while an instance, or all instances, can't read the store.

Guards against requests to an upstream that drained 12 s before, more than 3 s after the sending
instance could reach the store again. The instance mistook its own cut for a store outage, after
which expired registrations stay in use for some 2 s, since live upstreams register again. That
grace began only with the first answer of the store, up to 1.8 s after the end of the cut, and its
end was checked only at the next read, up to 1.2 s later.
"""

from __future__ import annotations

import json
import random
from functools import partial
from typing import TYPE_CHECKING

import anyio

from ..gateway.upstream_feed import UpstreamFeed
from ..log.health import PlatformHealth
from ..platform.records import UPSTREAMS_STREAM, decode_upstream
from ..testing.fakes import NoWitness
from ..testing.memory_store import STORE_CONNECT_TIMEOUT_S, MemoryStore, StoreLink
from ..testing.registrations import registration
from ..testing.virtual_time import VirtualClock, run_in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Callable

#: Maximum seconds from the moment an instance can reach the store again until it acts on all
#: records: the platform's guarantee to upstreams that deregister.
_MAX_REACTION_S = 3.0

#: Maximum seconds from the end of a store outage until live upstreams have registered again.
_MAX_REREGISTRATION_S = 2.0

#: Minimum duration of a cut, during which an upstream deregisters.
_CUT_S = 12.0

#: Seconds by which cuts are longer, so that they end at all phases of a connection attempt.
_PHASES_S = [phase / 10 for phase in range(18)]


class _Instance:
    """The upstream feed of one instance that is cut off from the store for some time."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.link = StoreLink(self.store, read_timeout_s=STORE_CONNECT_TIMEOUT_S)
        clock = VirtualClock()
        self.feed = UpstreamFeed(
            self.link,
            UPSTREAMS_STREAM,
            clock,
            PlatformHealth(clock),
            decode_upstream,
            lambda _: None,
            wait_s=1.0,
            witness=NoWitness(),
        )
        self.used_ids: list[tuple[float, set[str]]] = []

    def register(self, upstream_id: str) -> None:
        """Write the registration of an upstream that accepts requests."""
        entry = json.dumps(registration("llm", f"10.0.0.{len(upstream_id)}:80"))
        self.store.put(UPSTREAMS_STREAM, upstream_id, entry.encode())

    def deregister(self, upstream_id: str) -> None:
        """Delete a registration."""
        self.store.put(UPSTREAMS_STREAM, upstream_id, None)

    async def run_through_cut(self, cut_s: float, steps: dict[float, Callable[[], None]]) -> None:
        """Follow the store for 1 s, then run the steps at their seconds of a cut.

        After the end of the cut, records the ids in use by the seconds since.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.feed.run)
            await anyio.sleep(1.0)
            self.link.is_cut_off = True
            began_s = anyio.current_time()
            for at_s, step in sorted(steps.items()):
                await anyio.sleep(began_s + at_s - anyio.current_time())
                step()
            await anyio.sleep(began_s + cut_s - anyio.current_time())
            self.link.is_cut_off = False
            ended_s = anyio.current_time()
            while anyio.current_time() < ended_s + 2 * _MAX_REACTION_S:
                ids = {u.upstream_id for u in self.feed.directory.accepting_upstreams("llm")}
                self.used_ids.append((anyio.current_time() - ended_s, ids))
                await anyio.sleep(0.02)
            tasks.cancel_scope.cancel()

    def last_used_s(self, upstream_id: str) -> float:
        """Return the seconds from the end of the cut to the last use of an upstream."""
        return max((at_s for at_s, ids in self.used_ids if upstream_id in ids), default=0.0)


def _worst_s(scenario: Callable[[_Instance], dict[float, Callable[[], None]]]) -> float:
    """Return the maximum seconds after a cut for which a deregistered upstream is used.

    Asserts that the other upstream is used throughout, at all phases.
    """
    worst_s = 0.0
    for phase_s in _PHASES_S:
        random.seed(phase_s)
        instance = _Instance()
        instance.register("stays")
        instance.register("leaves")
        steps = scenario(instance)
        run_in_virtual_time(partial(instance.run_through_cut, _CUT_S + phase_s, steps))
        assert all("stays" in ids for _, ids in instance.used_ids)
        worst_s = max(worst_s, instance.last_used_s("leaves"))
    return worst_s


class TestDeregisteredUpstreams:
    def test_deregistered_during_a_cut_is_dropped_in_time(self) -> None:
        """Guards against requests to a deregistered upstream 3 s after a cut (see the module)."""
        worst_s = _worst_s(lambda instance: {3.0: lambda: instance.deregister("leaves")})
        assert worst_s < _MAX_REACTION_S

    def test_deregistered_during_a_cut_with_lost_history_is_dropped_in_time(self) -> None:
        """Guards against late use when the feed's history is lost and a listing replaces it."""

        def scenario(instance: _Instance) -> dict[float, Callable[[], None]]:
            def drop() -> None:
                instance.store.compact(UPSTREAMS_STREAM)

            return {3.0: lambda: instance.deregister("leaves"), 4.0: drop}

        assert _worst_s(scenario) < _MAX_REACTION_S

    def test_registration_expired_in_a_store_outage_stays_in_use(self) -> None:
        """Guards against refusal of all requests for up to 2 s after a store outage.

        Registrations expired in the outage and were dropped at once, before live upstreams had
        registered again.
        """
        for phase_s in _PHASES_S:
            random.seed(phase_s)
            instance = _Instance()
            instance.register("lives")
            run_in_virtual_time(partial(_expire_and_register_again, instance, _CUT_S + phase_s))
            assert all("lives" in ids for _, ids in instance.used_ids)


async def _expire_and_register_again(instance: _Instance, outage_s: float) -> None:
    """Delete a registration in an outage, and write it again at the latest allowed time."""
    steps = {_CUT_S - 1.0: lambda: instance.deregister("lives")}
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(instance.run_through_cut, outage_s, steps)
        await anyio.sleep(1.0 + outage_s + _MAX_REREGISTRATION_S)
        instance.register("lives")
