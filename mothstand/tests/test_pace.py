"""Tests of the measured paces of upstreams, and of the homes of long prompts."""

from __future__ import annotations

import pytest

from ..core.pace import StreamGaps, UpstreamPaces
from ..core.placement import Placement, session_key
from ..core.prompt import Prompt, PromptPart
from ..core.upstreams import RegisteredUpstream
from ..types import DataCentre

_LOCAL = DataCentre("sto-a")
_UPSTREAMS = [RegisteredUpstream(f"u{n}", "llm", f"e{n}:1", _LOCAL, 32, False) for n in range(6)]


def measured(gaps_s: dict[int, float]) -> UpstreamPaces:
    paces = UpstreamPaces()
    for number, gap_s in gaps_s.items():
        paces.record(_UPSTREAMS[number], gap_s)
    return paces


class TestStreamGaps:
    def test_typical_gap_ignores_the_pauses_of_other_prompts(self) -> None:
        gaps = StreamGaps()
        now_s = 0.0
        for number in range(20):
            now_s += 0.25 if number % 5 == 4 else 0.03
            gaps.note_events(1, now_s)
        assert gaps.typical_s == pytest.approx(0.03)
        assert gaps.longest_s == pytest.approx(0.25)

    def test_events_that_arrive_together_share_their_gap(self) -> None:
        gaps = StreamGaps()
        for number in range(10):
            gaps.note_events(2, number * 0.08)
        assert gaps.typical_s == pytest.approx(0.04)

    def test_few_events_show_no_pace(self) -> None:
        gaps = StreamGaps()
        for number in range(5):
            gaps.note_events(1, number * 0.03)
        assert gaps.typical_s is None


class TestUpstreamPaces:
    def test_slower_upstream_is_found(self) -> None:
        paces = measured({0: 0.033, 1: 0.034, 2: 0.045, 3: 0.032})
        assert paces.slow_upstreams(_UPSTREAMS, 0.0) == {"u2"}
        assert paces.own_slow_ids == ("u2",)

    def test_equal_upstreams_are_not_slow(self) -> None:
        # Guards against sessions that move because of the length of an upstream's requests.
        assert not measured({0: 0.033, 1: 0.034, 2: 0.036}).slow_upstreams(_UPSTREAMS, 0.0)

    def test_reports_of_two_instances_are_believed_for_a_while(self) -> None:
        paces = UpstreamPaces()
        paces.apply_report("one", ["u2"], 0.0)
        assert not paces.slow_upstreams(_UPSTREAMS, 1.0)
        paces.apply_report("two", ["u2", "u4"], 1.0)
        assert paces.slow_upstreams(_UPSTREAMS, 2.0) == {"u2"}
        assert not paces.slow_upstreams(_UPSTREAMS, 60.0)

    def test_own_measurement_goes_before_reports(self) -> None:
        paces = measured({0: 0.033, 1: 0.034, 2: 0.032})
        for instance in ("one", "two"):
            paces.apply_report(instance, ["u2", "u5"], 0.0)
        assert paces.slow_upstreams(_UPSTREAMS, 1.0) == {"u5"}

    def test_paces_of_a_deregistered_upstream_are_dropped(self) -> None:
        paces = measured({0: 0.033, 1: 0.034, 2: 0.045})
        paces.forget(_UPSTREAMS[2])
        assert paces.own_slow_ids == ()


class TestHomes:
    def test_long_prompts_have_no_home_at_a_slow_upstream(self) -> None:
        # Guards against a slow upstream whose streams pause while it reads long prompts.
        placement = Placement(_LOCAL, paces=measured({0: 0.033, 1: 0.034, 2: 0.045, 3: 0.032}))
        chosen: dict[int, set[str]] = {500: set(), 9_000: set()}
        for number in range(200):
            tokens = 9_000 if number % 4 == 0 else 500
            parts = (PromptPart(f"s{number}", tokens - 100), PromptPart(f"r{number}", 100))
            prompt = Prompt("m", tokens, 50, parts)
            upstream = placement.choose(
                _UPSTREAMS,
                prompt,
                session_key(prompt, ""),
                tried_upstreams=frozenset(),
                now_s=float(number),
            )
            assert upstream is not None
            placement.note_ended(placement.note_started(upstream, prompt, float(number)))
            chosen[tokens].add(upstream.upstream_id)
        assert "u2" not in chosen[9_000]
        assert "u2" in chosen[500]
