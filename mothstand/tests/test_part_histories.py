"""Tests that the fleet quarantines prompt parts that crash upstreams, and no other part."""

from __future__ import annotations

from typing import Any

import pytest

from ..testing.crash_faults import InjectedFault
from ..testing.crash_fleet import ALLOWED_ARRIVALS, CrashCause
from ..testing.crash_histories import ALL_CRASH_DISRUPTIONS, CrashDisruption
from .test_crash_histories import max_late_arrivals, outcome_share, run_histories

#: Least share of the requests answered without a crashing part that must be answered beside one.
_SERVED_RATIO = 0.95

_SOUND_KINDS = ("popular", "distinct")


def run_part_histories(disruptions: CrashDisruption, **options: Any) -> list[Any]:
    return run_histories(disruptions, cause=CrashCause.PROMPT_PART, **options)


class TestPartHistories:
    @pytest.mark.parametrize(
        "disruptions", [*CrashDisruption, CrashDisruption.NONE, ALL_CRASH_DISRUPTIONS], ids=str
    )
    def test_arrivals_of_a_crashing_part_stay_bounded(self, disruptions: CrashDisruption) -> None:
        # Guards against distinct requests that share a crashing part and reach upstream after
        # upstream.
        assert max_late_arrivals(run_part_histories(disruptions)) <= ALLOWED_ARRIVALS

    @pytest.mark.parametrize("companion_share", [0.5, 0.9])
    def test_sound_requests_are_served_beside_a_crashing_part(self, companion_share: float) -> None:
        # Guards against blaming parts that are sound, also a rare one that often comes with it.
        beside = run_part_histories(CrashDisruption.NONE, companion_share=companion_share)
        assert max_late_arrivals(beside) <= ALLOWED_ARRIVALS
        for kind in (*_SOUND_KINDS, "companion"):
            assert outcome_share(beside, kind, "answered") >= _SERVED_RATIO

    @pytest.mark.parametrize("repeats", [0, 3])
    def test_other_crashes_block_no_sound_part(self, repeats: int) -> None:
        # Guards against blocking parts because upstreams crashed for another cause.
        options: dict[str, Any] = {
            "has_crashing": False,
            "cause": CrashCause.PROMPT_PART,
            "repeats": repeats,
        }
        quarantining, idle = (
            run_histories(CrashDisruption.ENGINES_CRASH, fault, **options)
            for fault in (InjectedFault.NONE, InjectedFault.QUARANTINES_NOTHING)
        )
        for kind in _SOUND_KINDS:
            served = outcome_share(idle, kind, "answered")
            assert outcome_share(quarantining, kind, "answered") >= served * _SERVED_RATIO

    @pytest.mark.parametrize("instances", [18, 71])
    def test_arrivals_stay_bounded_in_larger_fleets(self, instances: int) -> None:
        results = run_part_histories(ALL_CRASH_DISRUPTIONS, instances=instances, engine_count=24)
        assert max_late_arrivals(results) <= ALLOWED_ARRIVALS

    @pytest.mark.parametrize("disruptions", [CrashDisruption.NONE, ALL_CRASH_DISRUPTIONS], ids=str)
    def test_arrivals_of_two_crashing_parts_stay_bounded(
        self, disruptions: CrashDisruption
    ) -> None:
        # Guards against a part that hides behind the crashes of another one.
        results = run_part_histories(disruptions, part_count=2)
        assert max_late_arrivals(results) <= ALLOWED_ARRIVALS

    def test_part_among_many_others_is_found(self) -> None:
        # Guards against records of parts that a caller makes up and that push the cause out.
        results = run_part_histories(CrashDisruption.NONE, junk_parts=25)
        assert max_late_arrivals(results) <= ALLOWED_ARRIVALS
        for kind in _SOUND_KINDS:
            assert outcome_share(results, kind, "answered") >= _SERVED_RATIO

    def test_crashing_body_blocks_no_part_of_its_prompt(self) -> None:
        # Guards against blocking the session of a single request that crashes upstreams.
        results = run_histories(CrashDisruption.NONE, has_prompts=True)
        assert max_late_arrivals(results) <= ALLOWED_ARRIVALS
        for kind in _SOUND_KINDS:
            assert outcome_share(results, kind, "answered") >= _SERVED_RATIO
