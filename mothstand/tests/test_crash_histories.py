"""A request that ends upstreams is stopped in the whole fleet, and no other one for it."""

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

#: Part of the requests of one kind that may fare worse than those of the other by chance.
_TOLERANCE = 0.05


def play(
    disruptions: CrashDisruption,
    fault: InjectedFault = InjectedFault.NONE,
    **options: Any,
) -> list[CrashResult]:
    return [CrashHistory(seed, disruptions, fault, **options).run() for seed in _SEEDS]


def max_late_arrivals(results: list[CrashResult]) -> int:
    return max(result.late_arrivals for result in results)


def outcome_share(results: list[CrashResult], kind: str, outcome: str) -> float:
    total = sum((result.outcomes[kind] for result in results), Counter[str]())
    return total[outcome] / total.total()


class TestCrashHistories:
    @pytest.mark.parametrize(
        "troubles", [*CrashDisruption, CrashDisruption.NONE, ALL_CRASH_DISRUPTIONS], ids=str
    )
    def test_arrivals_stay_bounded_and_other_requests_are_served(
        self, troubles: CrashDisruption
    ) -> None:
        # Guards against ends that an instance forgets, keeps to itself, or blames on others.
        results = play(troubles)
        assert max_late_arrivals(results) <= ALLOWED_ARRIVALS
        assert outcome_share(results, "distinct", "quarantined") == 0.0
        popular = outcome_share(results, "popular", "answered")
        assert popular >= outcome_share(results, "distinct", "answered") - _TOLERANCE

    @pytest.mark.parametrize("troubles", [CrashDisruption.NONE, ALL_CRASH_DISRUPTIONS], ids=str)
    def test_arrivals_stay_bounded_when_callers_repeat(self, troubles: CrashDisruption) -> None:
        # Guards against callers that reach two upstreams with each of several quick repeats.
        results = play(troubles, repeats=3)
        assert max_late_arrivals(results) <= ALLOWED_ARRIVALS

    @pytest.mark.parametrize("repeats", [0, 3])
    def test_unrelated_crashes_cause_no_refusals(self, repeats: int) -> None:
        # Guards against requests that are refused because upstreams ended for another cause.
        with_quarantine, without_quarantine = (
            play(CrashDisruption.ENGINES_CRASH, plant, has_crashing=False, repeats=repeats)
            for plant in (InjectedFault.NONE, InjectedFault.QUARANTINES_NOTHING)
        )
        for kind in ("popular", "distinct"):
            served = outcome_share(without_quarantine, kind, "answered")
            assert outcome_share(with_quarantine, kind, "answered") >= served - _TOLERANCE

    @pytest.mark.parametrize("order", [14, 18, 63])
    def test_popular_request_is_probed_when_all_instances_restart(self, order: int) -> None:
        # Guards against trials that nobody makes, and pauses that each start begins anew.
        results = play(ALL_CRASH_DISRUPTIONS, order=order)
        assert max_late_arrivals(results) <= ALLOWED_ARRIVALS
        popular = outcome_share(results, "popular", "answered")
        assert popular >= outcome_share(results, "distinct", "answered") - _TOLERANCE

    def test_arrivals_stay_bounded_in_a_larger_fleet(self) -> None:
        assert max_late_arrivals(play(ALL_CRASH_DISRUPTIONS, instances=18)) <= ALLOWED_ARRIVALS

    def test_arrivals_stay_bounded_when_most_appends_fail(self) -> None:
        # Guards against an end that is told once, and lost with a failed append.
        results = play(CrashDisruption.STORE_AWAY, instances=18, failing_appends=0.9)
        assert max_late_arrivals(results) <= ALLOWED_ARRIVALS

    def test_broken_connections_to_live_upstreams_are_not_crashes(self) -> None:
        results = play(CrashDisruption.RESETS, has_crashing=False, reset_share=0.5)
        assert outcome_share(results, "popular", "quarantined") == 0.0

    def test_injected_faults_are_found(self) -> None:
        isolated = play(CrashDisruption.NONE, InjectedFault.IGNORES_PEERS, instances=18)
        assert max_late_arrivals(isolated) > ALLOWED_ARRIVALS
        forgetful = (
            CrashHistory(
                seed,
                CrashDisruption.STORE_AWAY,
                InjectedFault.REPORTS_ONCE,
                instances=18,
                failing_appends=0.9,
            )
            for seed in range(24)
        )
        assert any(history.run().late_arrivals > ALLOWED_ARRIVALS for history in forgetful)
        never_clearing = play(CrashDisruption.ENGINES_CRASH, InjectedFault.NEVER_CLEARS)
        served = outcome_share(never_clearing, "distinct", "answered")
        assert outcome_share(never_clearing, "popular", "answered") < served - _TOLERANCE
        counting_breaks = play(
            CrashDisruption.RESETS,
            InjectedFault.COUNTS_BREAKS_AS_CRASHES,
            has_crashing=False,
            reset_share=0.5,
        )
        assert outcome_share(counting_breaks, "popular", "quarantined") > 0.0
