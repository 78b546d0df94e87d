"""Which upstream gets a request."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from datetime import UTC, datetime, timedelta

import pytest
from returns.result import Failure, Success

from ..core.config import FleetConfig, PlannedStop, Upstream, UpstreamKind
from ..core.load_report import read_load
from ..core.routing import RouteCall, Router
from ..errors import ErrorKind
from ..types import DataCentre

LOCAL, REMOTE = DataCentre("sto-a"), DataCentre("sto-b")
NOW = datetime(2026, 12, 2, 12, tzinfo=UTC)


def upstream(name: str, data_centre: DataCentre = LOCAL, slots: int = 8) -> Upstream:
    """Return an engine."""
    return Upstream(name, UpstreamKind.ENGINE, "127.0.0.1:1", data_centre, ("m",), slots)


CONFIG = FleetConfig(upstreams={n: upstream(n) for n in ("a", "b", "c")})
CALL = RouteCall(serves="m", prefix="p", priority=1)


def choose(
    router: Router,
    config: FleetConfig = CONFIG,
    call: RouteCall = CALL,
    now_s: float = 0.0,
    sharers: int = 1,
) -> str:
    """Return the chosen upstream's name, or the kind of the refusal."""
    match router.choose(call, config, sharers=sharers, now_utc=NOW, now_s=now_s):
        case Success(chosen):
            return str(chosen.name)
        case Failure(refusal):
            return str(refusal.kind.value)
    raise AssertionError


class TestAffinity:
    def test_same_prefix_goes_to_the_same_upstream(self) -> None:
        router = Router(LOCAL)
        assert len({choose(router) for _ in range(10)}) == 1

    def test_affinity_is_bounded_by_load(self) -> None:
        """Symptom: one engine is full while others idle.

        Sequence: all callers share one prompt prefix.
        Cause it guards against: affinity without regard to load.
        """
        router = Router(LOCAL)
        loads: Counter[str] = Counter()
        for _ in range(18):
            name = choose(router)
            router.note_started(name)
            loads[name] += 1
        assert max(loads.values()) <= 8
        assert len(loads) == 3

    def test_request_is_refused_when_all_upstreams_are_full(self) -> None:
        router = Router(LOCAL)
        for _ in range(48):
            router.note_started(choose(router))
        assert choose(router) == ErrorKind.OVERLOADED.value

    def test_low_priority_is_shed_first(self) -> None:
        router = Router(LOCAL)
        low = replace(CALL, priority=0)
        while choose(router, call=low) in CONFIG.upstreams:
            router.note_started(choose(router, call=low))
        assert choose(router, call=low) == ErrorKind.OVERLOADED.value
        assert choose(router) in CONFIG.upstreams

    def test_low_priority_does_not_queue_in_the_engine(self) -> None:
        """Symptom: first tokens of high priority come late under overload.

        Sequence: low priority fills an engine's slots and its queue, then high priority comes.
        Cause it guards against: a limit for low priority above the engine's slots.
        """
        config = FleetConfig(upstreams={"a": upstream("a", slots=10)})
        router = Router(LOCAL)
        low = replace(CALL, priority=0)
        sent = 0
        while choose(router, config, low) == "a":
            router.note_started("a")
            sent += 1
        assert sent == 10
        assert choose(router, config) == "a"

    def test_high_priority_queue_follows_request_duration(self) -> None:
        """Symptom: high priority is refused though a slot comes free every few milliseconds.

        Sequence: low priority fills the slots of an engine whose requests are short.
        Cause: the queue was sized by the number of slots, not by how soon they come free.
        """
        config = FleetConfig(upstreams={"a": upstream("a", slots=10)})
        router = Router(LOCAL)
        for _ in range(200):
            router.note_started("a")
            router.note_ended("a", failed=False, elapsed_s=0.1, now_s=0.0)
        router.note_load_report("a", 10, 0.0)
        low = replace(CALL, priority=0)
        assert choose(router, config, low) == ErrorKind.OVERLOADED.value
        waiting = 0
        while choose(router, config) == "a":
            router.note_started("a")
            waiting += 1
        # One comes free every 10 ms, and a request may wait 200 ms.
        assert waiting == 20


class TestDraining:
    def test_planned_stop_excludes_the_upstream(self) -> None:
        stops = {"a": PlannedStop("a", NOW), "b": PlannedStop("b", NOW + timedelta(seconds=1))}
        config = replace(CONFIG, stops=stops)
        router = Router(LOCAL)
        names = {choose(router, config, replace(CALL, prefix=str(i))) for i in range(50)}
        assert names == {"b", "c"}

    def test_draining_upstreams_are_excluded(self) -> None:
        router = Router(LOCAL, draining=frozenset({"a", "b"}))
        assert choose(router) == "c"


class TestFailures:
    def test_open_circuit_admits_one_request_after_a_pause(self) -> None:
        router = Router(LOCAL)
        config = FleetConfig(upstreams={"a": upstream("a")})
        for _ in range(3):
            router.note_started("a")
            router.note_ended("a", failed=True, elapsed_s=0.1, now_s=0.0)
        assert choose(router, config, now_s=1.0) == ErrorKind.NO_UPSTREAM.value
        assert choose(router, config, now_s=3.0) == "a"
        router.note_started("a")
        assert choose(router, config, now_s=3.0) == ErrorKind.NO_UPSTREAM.value
        router.note_ended("a", failed=False, elapsed_s=0.1, now_s=3.0)
        assert choose(router, config, now_s=3.0) == "a"

    def test_remote_upstream_is_used_only_without_a_local_one(self) -> None:
        config = FleetConfig(upstreams={"a": upstream("a"), "z": upstream("z", REMOTE)})
        assert choose(Router(LOCAL), config) == "a"
        assert choose(Router(LOCAL, draining=frozenset({"a"})), config) == "z"

    def test_tried_upstreams_are_excluded(self) -> None:
        call = replace(CALL, tried_upstreams=frozenset({"a", "b", "c"}))
        assert choose(Router(LOCAL), call=call) == ErrorKind.NO_UPSTREAM.value


class TestLoadReports:
    def test_load_of_other_instances_counts(self) -> None:
        """Symptom: first tokens come late at one engine while the next idles.

        Sequence: another instance fills an engine, this one has sent it nothing.
        Cause it guards against: own counts taken for the engine's load.
        """
        router = Router(LOCAL)
        first = choose(router)
        router.note_load_report(first, 8, 0.0)
        assert choose(router) != first

    def test_expired_report_is_ignored(self) -> None:
        router = Router(LOCAL)
        config = FleetConfig(upstreams={"a": upstream("a")})
        router.note_load_report("a", 100, 0.0)
        assert choose(router, config, now_s=1.0) == ErrorKind.OVERLOADED.value
        assert choose(router, config, now_s=10.0) == "a"

    def test_sharers_do_not_fill_the_same_slots_twice(self) -> None:
        """Symptom: queues at engines after each load report.

        Sequence: an engine reports 4 free slots, each of 4 instances sends it 4 requests.
        Cause: each counted only its own requests against the room that all of them saw.
        """
        config = FleetConfig(upstreams={"a": upstream("a", slots=8)})
        sent = 0
        for _ in range(4):
            router = Router(LOCAL)
            router.note_load_report("a", 4, 0.0)
            while choose(router, config, sharers=4) == "a":
                router.note_started("a")
                sent += 1
        # Room for 4, and one that may wait; each instance rounds up.
        assert sent <= 8

    def test_affinity_does_not_queue_beside_a_free_slot(self) -> None:
        """Symptom: first tokens come late at a load that the engines could carry.

        Sequence: an engine's slots are taken by requests of its prefixes, others have room.
        Cause: the bound on affinity followed the mean load and not the slots.
        """
        config = FleetConfig(upstreams={n: upstream(n, slots=8) for n in ("a", "b", "c")})
        router = Router(LOCAL)
        first = choose(router, config)
        for name in config.upstreams:
            router.note_load_report(name, 8 if name == first else 7, 0.0)
        assert choose(router, config) != first


class TestOverflow:
    CONFIG = FleetConfig(upstreams={"a": upstream("a"), "z": upstream("z", REMOTE)})

    def test_remote_upstream_is_used_when_local_ones_are_full(self) -> None:
        """Symptom: refusals in one data centre while the next has slots free.

        Sequence: the upstreams here are full; the other data centre's say that they are not.
        Cause: upstreams elsewhere were used only when there was none here.
        """
        router = Router(LOCAL)
        router.note_load_report("a", 100, 0.0)
        router.note_load_report("z", 2, 0.0)
        assert choose(router, self.CONFIG) == "z"

    def test_no_request_queues_at_a_remote_upstream(self) -> None:
        router = Router(LOCAL)
        router.note_load_report("a", 100, 0.0)
        router.note_load_report("z", 8, 0.0)
        assert choose(router, self.CONFIG) == ErrorKind.OVERLOADED.value

    def test_one_request_probes_a_remote_upstream_without_a_report(self) -> None:
        """Symptom: a data centre's upstreams are flooded by another's overload.

        Sequence: those here are full, nothing is known of those elsewhere.
        Cause it guards against: no word on the load taken for no load.
        """
        router = Router(LOCAL)
        router.note_load_report("a", 100, 0.0)
        assert choose(router, self.CONFIG) == "z"
        router.note_started("z")
        assert choose(router, self.CONFIG) == ErrorKind.OVERLOADED.value


class TestHeader:
    @pytest.mark.parametrize(
        ("header", "load"),
        [
            (
                'JSON {"named_metrics": {"num_requests_running": 3, "num_requests_waiting": 1}}',
                4,
            ),
            ('JSON {"named_metrics": {"num_requests_running": 3}}', None),
            (
                'JSON {"named_metrics": {"num_requests_running": -3, "num_requests_waiting": 1}}',
                None,
            ),
            ("TEXT named_metrics.num_requests_running=3", None),
            ("JSON {", None),
            ("", None),
        ],
    )
    def test_read_load(self, header: str, load: int | None) -> None:
        assert read_load(header) == load
