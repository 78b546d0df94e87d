"""Tests of the schedule of long prompts."""

from __future__ import annotations

import random
from collections import defaultdict
from itertools import pairwise

import pytest

from ..core.fleet import Capacity, FleetView, Member
from ..core.loans import Peer
from ..core.prefill_schedule import (
    CalendarScheduler,
    PrefillPolicy,
    PrefillRequest,
    scheduler_member,
)
from ..core.prompt import Prompt, PromptPart
from ..core.upstreams import UpstreamKey
from ..types import DataCentre

_ENGINES = tuple(UpstreamKey(f"e-{number}", 1) for number in range(10))
_S_PER_TOKEN = 2.5e-5
_STYLE, _SESSION, _OWN = 2_520, 3_780, 2_890


def prompt(session: int, own: str) -> Prompt:
    parts = (
        PromptPart(f"style-{session % 4}", _STYLE),
        PromptPart(f"session-{session}", _SESSION),
        PromptPart(f"own-{own}", _OWN),
    )
    return Prompt("m", _STYLE + _SESSION + _OWN, 50, parts)


def request(
    name: str,
    session: int = 0,
    *,
    candidates: tuple[UpstreamKey, ...] = _ENGINES,
    max_hold_s: float = 1.0,
) -> PrefillRequest:
    return PrefillRequest("llm", name, prompt(session, name), candidates, max_hold_s)


def scheduler(engines: tuple[UpstreamKey, ...] = _ENGINES) -> CalendarScheduler:
    """Return a scheduler that has measured the speed of its engines."""
    made = CalendarScheduler(PrefillPolicy(initial_s_per_token=_S_PER_TOKEN))
    for engine in engines:
        made.reserve(request("warm", candidates=(engine,)), -100.0)
        made.release("warm", read_s=9_190 * _S_PER_TOKEN, now_s=-99.0)
    return made


def longest_overlaps(starts: dict[str, list[tuple[float, float]]]) -> float:
    """Return the part of the prompts that began while their engine was reading another one."""
    overlapping = total = 0
    for reads in starts.values():
        reads.sort()
        total += len(reads)
        overlapping += sum(later[0] < earlier[0] + earlier[1] for earlier, later in pairwise(reads))
    return overlapping / total


class TestCalendarScheduler:
    def test_long_prompts_do_not_collide_at_an_engine(self) -> None:
        """Guards against two long prompts that an engine reads in a row."""
        chance = random.Random(1)
        by_home: dict[str, list[tuple[float, float]]] = defaultdict(list)
        by_schedule: dict[str, list[tuple[float, float]]] = defaultdict(list)
        calendar = scheduler()
        now_s = 0.0
        for number in range(400):
            now_s += chance.expovariate(12.0)
            session = chance.randrange(200)
            home = _ENGINES[session % len(_ENGINES)].upstream_id
            by_home[home].append((now_s, 9_190 * _S_PER_TOKEN))
            grant = calendar.reserve(request(f"r-{number}", session), now_s)
            assert grant is not None
            by_schedule[grant.upstream_id].append((now_s + grant.hold_s, grant.read_s))
            calendar.release(f"r-{number - 20}", read_s=0.2, now_s=now_s)
        assert longest_overlaps(by_home) > 0.15
        assert longest_overlaps(by_schedule) < 0.02

    def test_session_stays_where_its_parts_are_cached(self) -> None:
        """Guards against prompts that are read again at an idle engine."""
        calendar = scheduler()
        first = calendar.reserve(request("a"), 0.0)
        calendar.release("a", read_s=0.23, now_s=0.3)
        second = calendar.reserve(request("b"), 1.0)
        assert first is not None
        assert second is not None
        assert second.upstream_id == first.upstream_id
        assert second.read_s == pytest.approx(_OWN * _S_PER_TOKEN, rel=0.1)

    def test_busy_engine_is_left_if_the_wait_is_long(self) -> None:
        calendar = scheduler(_ENGINES[:2])
        grants = [
            calendar.reserve(request(f"r-{n}", candidates=_ENGINES[:2]), 0.0) for n in range(8)
        ]
        assert len({grant.upstream_id for grant in grants if grant is not None}) == 2

    def test_slow_engine_reads_fewer_prompts(self) -> None:
        """Guards against equal shares for engines of unlike speed."""
        calendar = scheduler(())
        counts: dict[str, int] = defaultdict(int)
        now_s = 0.0
        for number in range(200):
            now_s += 0.1
            grant = calendar.reserve(request(f"r-{number}", number, candidates=_ENGINES[:3]), now_s)
            assert grant is not None
            counts[grant.upstream_id] += 1
            slowness = 3.0 if grant.upstream_id == "e-0" else 1.0
            read_s = 9_190 * _S_PER_TOKEN * slowness
            calendar.release(f"r-{number}", read_s=read_s, now_s=now_s + 0.05)
        assert counts["e-0"] < 0.5 * counts["e-1"]

    def test_hold_never_exceeds_what_the_request_can_wait(self) -> None:
        """Guards against requests that are held past their objective by a long calendar."""
        calendar = scheduler(_ENGINES[:1])
        holds = []
        for number in range(50):
            grant = calendar.reserve(
                request(f"r-{number}", number, candidates=_ENGINES[:1], max_hold_s=0.3), 0.0
            )
            assert grant is not None
            holds.append(grant.hold_s)
        assert max(holds) <= 0.3

    def test_reservation_without_release_expires(self) -> None:
        """Guards against an engine that is left alone because an instance died."""
        calendar = scheduler(_ENGINES[:1])
        calendar.reserve(request("lost", candidates=_ENGINES[:1], max_hold_s=9.0), 0.0)
        grant = calendar.reserve(request("next", 1, candidates=_ENGINES[:1]), 2.0)
        assert grant is not None
        assert grant.hold_s == 0.0

    def test_prompt_that_was_not_read_frees_its_engine(self) -> None:
        calendar = scheduler(_ENGINES[:1])
        calendar.reserve(request("failed", candidates=_ENGINES[:1]), 0.0)
        calendar.release("failed", read_s=0.0, now_s=0.01)
        grant = calendar.reserve(request("next", 1, candidates=_ENGINES[:1]), 0.02)
        assert grant is not None
        assert grant.hold_s < 0.1

    def test_engine_that_started_anew_has_nothing_cached(self) -> None:
        """Guards against prompts that follow a cache which ended with its process."""
        calendar = scheduler(_ENGINES[:1])
        calendar.reserve(request("a", candidates=_ENGINES[:1]), 0.0)
        calendar.release("a", read_s=0.23, now_s=0.3)
        restarted = (UpstreamKey("e-0", 2),)
        grant = calendar.reserve(request("b", candidates=restarted), 1.0)
        assert grant is not None
        assert grant.read_s == pytest.approx(9_190 * _S_PER_TOKEN, rel=0.1)

    def test_no_candidates_no_grant(self) -> None:
        assert CalendarScheduler().reserve(request("a", candidates=()), 0.0) is None


def fleet(instances: int, local: int = 0) -> FleetView:
    def member(number: int) -> Member:
        name = f"i-{number}"
        data_centre = DataCentre(f"dc-{number % 3}")
        cores = 2.0 if number < 6 else 0.5
        return Member(Peer(name, "1", f"{name}:1"), data_centre, Capacity(cores))

    view = FleetView(member(local))
    for number in range(instances):
        view.apply_announcement(member(number), 0.0)
    return view


class TestSchedulerMember:
    @pytest.mark.parametrize("instances", [1, 6, 90, 300])
    def test_all_instances_choose_the_same(self, instances: int) -> None:
        """Guards against instances that schedule the same engines without each other's prompts."""
        chosen = set()
        for local in range(instances):
            found = scheduler_member(
                fleet(instances, local), "llm", DataCentre("dc-1"), avoided=frozenset()
            )
            assert found is not None
            chosen.add(found.peer.instance)
        assert len(chosen) == 1

    def test_scheduler_that_does_not_answer_is_replaced(self) -> None:
        view = fleet(90)
        first = scheduler_member(view, "llm", DataCentre("dc-1"), avoided=frozenset())
        assert first is not None
        name = first.peer.instance
        second = scheduler_member(view, "llm", DataCentre("dc-1"), avoided=frozenset({name}))
        assert second is not None
        assert second.peer.instance != name
        assert second.data_centre == "dc-1"
