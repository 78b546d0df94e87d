"""Tests of the rate limit on cold upstreams, and of choosing among cold and warm ones."""

from __future__ import annotations

import pytest

from ..core.eligibility import Exclusion
from ..core.evacuation import Evacuations, EvacuationState
from ..core.placement import Placement, session_key
from ..core.prompt import Prompt, PromptPart
from ..core.routes import GatewayService
from ..core.upstreams import RegisteredUpstream, UpstreamDirectory
from ..core.warmup import Warmup, WarmupSettings, cold_quota
from ..testing.eligibility import fleet_view, unrestricted_eligibility
from ..types import DataCentre

_LOCAL = DataCentre("sto-a")
_SERVICE = GatewayService("llm", cold_start_s=3.0, cold_per_s=8.9)
_SETTINGS = WarmupSettings(overshoot=1.5, slack=5.0)


def make_upstream(number: int) -> RegisteredUpstream:
    return RegisteredUpstream(f"u{number}", "llm", f"e{number}:1", _LOCAL, 8, False)


def count_sent(warmup: Warmup, upstream: RegisteredUpstream, duration_s: float) -> int:
    """Send as often as permitted, and return how often that is."""
    sent = 0
    for step in range(int(duration_s * 100)):
        now_s = step / 100
        if warmup.may_send(upstream, _SERVICE.cold_per_s, now_s):
            warmup.note_sent(upstream, _SERVICE.cold_per_s, now_s)
            sent += 1
    return sent


class TestColdQuota:
    @pytest.mark.parametrize("max_arrivals", [0.5, 1.9, 2.0, 3.0, 5.5, 18.35, 100.0])
    def test_two_sets_of_senders_stay_within_the_limit(self, max_arrivals: float) -> None:
        quota = cold_quota(max_arrivals)
        assert 2 * quota.senders * (1 + quota.rate_per_s) <= max_arrivals
        assert quota.rate_per_s >= 0
        assert (quota.senders > 0) == (max_arrivals >= 2)


class TestWarmup:
    def test_same_few_instances_are_senders_at_any_size_of_the_fleet(self) -> None:
        names = [f"other-{number}" for number in range(90)]
        senders = 0
        for name in names:
            view = fleet_view(name, 90)
            senders += view.is_designated("u1", 4)
        assert senders == 4

    def test_sender_keeps_to_its_rate(self) -> None:
        upstream = make_upstream(1)
        warmup = Warmup(_SETTINGS, fleet_view("me"))
        warmup.note_cold(upstream, 3.0, 0.0)
        quota = cold_quota(_SETTINGS.max_arrivals(_SERVICE.cold_per_s))
        assert 0 < count_sent(warmup, upstream, 3.0) <= 1 + 3 * quota.rate_per_s

    def test_instance_with_an_old_view_of_the_fleet_sends_nothing(self) -> None:
        # Guards against the former senders of a fleet that has grown meanwhile.
        upstream = make_upstream(1)
        warmup = Warmup(_SETTINGS, fleet_view("me"))
        warmup.note_cold(upstream, 100.0, 0.0)
        assert warmup.may_send(upstream, _SERVICE.cold_per_s, 1.0)
        assert not warmup.may_send(upstream, _SERVICE.cold_per_s, 30.0)

    def test_upstream_is_warm_after_its_time_or_when_it_says_so(self) -> None:
        upstream = make_upstream(1)
        warmup = Warmup(_SETTINGS, fleet_view("me"))
        warmup.note_cold(upstream, 3.0, 10.0)
        assert warmup.is_cold(upstream, 12.9)
        assert not warmup.is_cold(upstream, 13.0)
        warmup.note_cold(upstream, 3.0, 20.0)
        warmup.note_cold(upstream, 0.0, 21.0)
        assert not warmup.is_cold(upstream, 21.0)


class TestEligibility:
    def test_cold_upstream_is_used_only_without_a_warm_one(self) -> None:
        # Guards against prompt caches that draw requests to an upstream which they overload.
        directory = UpstreamDirectory()
        for number in range(6):
            directory.apply(make_upstream(number))
        warmup = Warmup(_SETTINGS, fleet_view("me"))
        eligibility = unrestricted_eligibility(directory, warmup=warmup)
        placement = Placement(_LOCAL)
        for number in range(5):
            warmup.note_cold(make_upstream(number), 3.0, 0.0)
        for number in range(50):
            eligible = eligibility.eligible(_SERVICE, None, 0.0)
            parts = (PromptPart(f"s{number}", 5_000), PromptPart(f"r{number}", 10))
            prompt = Prompt("m", 5_010, 10, parts)
            chosen = placement.choose(
                eligible.upstreams,
                prompt,
                session_key(prompt, ""),
                tried_upstreams=frozenset(),
                cold_upstreams=frozenset(eligible.cold_ids),
                now_s=0.0,
            )
            assert chosen is not None
            assert chosen.upstream_id == "u5"
            placement.note_started(chosen, prompt, 0.0)

    def test_upstreams_count_as_cold_after_an_evacuation(self) -> None:
        # Guards against a burst to upstreams that turned cold before their next heartbeat.
        directory = UpstreamDirectory()
        directory.apply(make_upstream(1))
        evacuations = Evacuations()
        eligibility = unrestricted_eligibility(
            directory,
            evacuations=evacuations,
            warmup=Warmup(_SETTINGS, fleet_view("me", read_s=9.0)),
        )
        evacuations.apply(EvacuationState(_LOCAL, True, 1), 0.0)
        excluded = eligibility.eligible(_SERVICE, None, 1.0)
        assert excluded.upstreams == []
        assert excluded.exclusions == {Exclusion.EVACUATED: 1}
        evacuations.apply(EvacuationState(_LOCAL, False, 2), 8.0)
        assert eligibility.eligible(_SERVICE, None, 10.9).cold_ids == {"u1"}
        assert eligibility.eligible(_SERVICE, None, 11.0).cold_ids == set()
