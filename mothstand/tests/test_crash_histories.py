"""Tests that the fleet quarantines a request that crashes upstreams, and no other request."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from ..testing.crash_faults import InjectedFault
from ..testing.crash_fleet import ALLOWED_ARRIVALS
from ..testing.crash_histories import (
    ALL_CRASH_DISRUPTIONS,
    CrashDisruption,
    CrashHistory,
    CrashResult,
)

_SEEDS = range(4)

#: Allowed random difference between the shares of two kinds of requests.
_CHANCE = 0.05


def play(
    troubles: CrashDisruption,
    plant: InjectedFault = InjectedFault.NONE,
    **options: Any,
) -> list[CrashResult]:
    return [CrashHistory(seed, troubles, plant, **options).run() for seed in _SEEDS]


def worst(results: list[CrashResult]) -> int:
    return max(result.late_arrivals for result in results)


def share(results: list[CrashResult], kind: str, outcome: str) -> float:
    total = sum((result.outcomes[kind] for result in results), Counter[str]())
    return total[outcome] / total.total()


class TestCrashHistories:
    @pytest.mark.parametrize(
        "troubles", [*CrashDisruption, CrashDisruption.NONE, ALL_CRASH_DISRUPTIONS], ids=str
    )
    def test_the_bound_holds_and_others_are_served(self, troubles: CrashDisruption) -> None:
        # Guards against crashes that are forgotten, not reported, or blamed on other requests.
        results = play(troubles)
        assert worst(results) <= ALLOWED_ARRIVALS
        assert share(results, "distinct", "quarantined") == 0.0
        popular = share(results, "popular", "answered")
        assert popular >= share(results, "distinct", "answered") - _CHANCE

    @pytest.mark.parametrize("troubles", [CrashDisruption.NONE, ALL_CRASH_DISRUPTIONS], ids=str)
    def test_the_bound_holds_where_callers_repeat(self, troubles: CrashDisruption) -> None:
        # Guards against quick repeats that each reach two upstreams.
        results = play(troubles, repeats=3)
        assert worst(results) <= ALLOWED_ARRIVALS

    @pytest.mark.parametrize("repeats", [0, 3])
    def test_no_other_request_pays_for_upstreams_that_end_in_series(self, repeats: int) -> None:
        # Guards against refusing requests because upstreams crashed for another cause.
        with_it, without = (
            play(CrashDisruption.ENGINES_CRASH, plant, has_crashing=False, repeats=repeats)
            for plant in (InjectedFault.NONE, InjectedFault.HOLDS_NOTHING)
        )
        for kind in ("popular", "distinct"):
            served = share(without, kind, "answered")
            assert share(with_it, kind, "answered") >= served - _CHANCE

    @pytest.mark.parametrize("order", [14, 18, 63])
    def test_a_popular_request_is_tried_again_where_all_instances_restart(self, order: int) -> None:
        # Guards against probes that no instance sends, and waits that start anew at each restart.
        results = play(ALL_CRASH_DISRUPTIONS, order=order)
        assert worst(results) <= ALLOWED_ARRIVALS
        popular = share(results, "popular", "answered")
        assert popular >= share(results, "distinct", "answered") - _CHANCE

    def test_the_bound_holds_in_a_larger_fleet(self) -> None:
        assert worst(play(ALL_CRASH_DISRUPTIONS, instances=18)) <= ALLOWED_ARRIVALS

    def test_the_bound_holds_where_most_appends_fail(self) -> None:
        # Guards against a crash that is reported only once, in an append that fails.
        results = play(CrashDisruption.STORE_AWAY, instances=18, failing_appends=0.9)
        assert worst(results) <= ALLOWED_ARRIVALS

    def test_broken_connections_of_living_upstreams_are_no_ends(self) -> None:
        results = play(CrashDisruption.RESETS, has_crashing=False, reset_share=0.5)
        assert share(results, "popular", "quarantined") == 0.0

    def test_planted_faults_are_found(self) -> None:
        lonely = play(CrashDisruption.NONE, InjectedFault.KEEPS_TO_ITSELF, instances=18)
        assert worst(lonely) > ALLOWED_ARRIVALS
        forgetful = (
            CrashHistory(
                seed,
                CrashDisruption.STORE_AWAY,
                InjectedFault.TELLS_ONCE,
                instances=18,
                failing_appends=0.9,
            )
            for seed in range(24)
        )
        assert any(history.run().late_arrivals > ALLOWED_ARRIVALS for history in forgetful)
        stubborn = play(CrashDisruption.ENGINES_CRASH, InjectedFault.NEVER_CLEARS)
        served = share(stubborn, "distinct", "answered")
        assert share(stubborn, "popular", "answered") < served - _CHANCE
        credulous = play(
            CrashDisruption.RESETS,
            InjectedFault.TAKES_BREAKS_FOR_ENDS,
            has_crashing=False,
            reset_share=0.5,
        )
        assert share(credulous, "popular", "quarantined") > 0.0
