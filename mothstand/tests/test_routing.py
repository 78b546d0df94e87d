"""Which upstream gets a request."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from datetime import UTC, datetime, timedelta

from returns.result import Failure, Success

from ..core.config import FleetConfig, PlannedStop, Upstream, UpstreamKind
from ..core.routing import RouteCall, Router
from ..errors import ErrorKind
from ..types import DataCentre

HERE, THERE = DataCentre("sto-a"), DataCentre("sto-b")
NOW = datetime(2026, 12, 2, 12, tzinfo=UTC)


def upstream(name: str, place: DataCentre = HERE, slots: int = 8) -> Upstream:
    """Return an engine."""
    return Upstream(name, UpstreamKind.ENGINE, "127.0.0.1:1", place, ("m",), slots)


CONFIG = FleetConfig(upstreams={n: upstream(n) for n in ("a", "b", "c")})
CALL = RouteCall(serves="m", prefix="p", priority=1)


def choose(
    router: Router, config: FleetConfig = CONFIG, call: RouteCall = CALL, now_s: float = 0.0
) -> str:
    """Return the chosen upstream's name, or the kind of the refusal."""
    match router.choose(call, config, sharers=1, now_utc=NOW, now_s=now_s):
        case Success(chosen):
            return str(chosen.name)
        case Failure(refusal):
            return str(refusal.kind.value)
    raise AssertionError


class TestAffinity:
    def test_same_prefix_same_upstream(self) -> None:
        router = Router(HERE)
        assert len({choose(router) for _ in range(10)}) == 1

    def test_bounded_load(self) -> None:
        """Symptom: one engine is full while others idle.

        Sequence: all callers share one prompt prefix.
        Cause it guards against: affinity without regard to load.
        """
        router = Router(HERE)
        loads: Counter[str] = Counter()
        for _ in range(18):
            name = choose(router)
            router.started(name)
            loads[name] += 1
        assert max(loads.values()) <= 8
        assert len(loads) == 3

    def test_full_is_refused_at_once(self) -> None:
        router = Router(HERE)
        for _ in range(48):
            router.started(choose(router))
        assert choose(router) == ErrorKind.OVERLOADED.value

    def test_low_priority_is_shed_first(self) -> None:
        router = Router(HERE)
        low = replace(CALL, priority=0)
        while choose(router, call=low) in CONFIG.upstreams:
            router.started(choose(router, call=low))
        assert choose(router, call=low) == ErrorKind.OVERLOADED.value
        assert choose(router) in CONFIG.upstreams

    def test_low_priority_does_not_queue_in_the_engine(self) -> None:
        """Symptom: first tokens of high priority come late under overload.

        Sequence: low priority fills an engine's slots and its queue, then high priority comes.
        Cause it guards against: a limit for low priority above the engine's slots.
        """
        config = FleetConfig(upstreams={"a": upstream("a", slots=10)})
        router = Router(HERE)
        low = replace(CALL, priority=0)
        sent = 0
        while choose(router, config, low) == "a":
            router.started("a")
            sent += 1
        assert sent == 10
        assert choose(router, config) == "a"


class TestLeaving:
    def test_planned_stop(self) -> None:
        stops = {"a": PlannedStop("a", NOW), "b": PlannedStop("b", NOW + timedelta(seconds=1))}
        config = replace(CONFIG, stops=stops)
        router = Router(HERE)
        names = {choose(router, config, replace(CALL, prefix=str(i))) for i in range(50)}
        assert names == {"b", "c"}

    def test_lagging_list(self) -> None:
        router = Router(HERE, leaving=frozenset({"a", "b"}))
        assert choose(router) == "c"


class TestFailures:
    def test_circuit_opens_and_lets_one_try(self) -> None:
        router = Router(HERE)
        config = FleetConfig(upstreams={"a": upstream("a")})
        for _ in range(3):
            router.started("a")
            router.ended("a", failed=True, now_s=0.0)
        assert choose(router, config, now_s=1.0) == ErrorKind.NO_UPSTREAM.value
        assert choose(router, config, now_s=3.0) == "a"
        router.started("a")
        assert choose(router, config, now_s=3.0) == ErrorKind.NO_UPSTREAM.value
        router.ended("a", failed=False, now_s=3.0)
        assert choose(router, config, now_s=3.0) == "a"

    def test_other_data_centre_only_without_one_here(self) -> None:
        config = FleetConfig(upstreams={"a": upstream("a"), "z": upstream("z", THERE)})
        assert choose(Router(HERE), config) == "a"
        assert choose(Router(HERE, leaving=frozenset({"a"})), config) == "z"

    def test_tried_ones_are_left_out(self) -> None:
        call = replace(CALL, tried=frozenset({"a", "b", "c"}))
        assert choose(Router(HERE), call=call) == ErrorKind.NO_UPSTREAM.value
