"""Registered upstreams over outages of the store, and the share of retries."""

from __future__ import annotations

from ..core.retry_budget import RetryBudget, RetryBudgetSettings
from ..core.upstreams import RegisteredUpstream, UpstreamDirectory
from ..types import DataCentre


def upstream(upstream_id: str = "i-1", *, draining: bool = False) -> RegisteredUpstream:
    return RegisteredUpstream(upstream_id, "llm", "e:1", DataCentre("sto-a"), 8, draining)


class TestUpstreamDirectory:
    def test_a_draining_upstream_gets_nothing_new(self) -> None:
        directory = UpstreamDirectory()
        directory.put(upstream())
        directory.put(upstream(draining=True))
        assert directory.of_service("llm") == []

    def test_a_registration_that_ends_counts_at_once(self) -> None:
        directory = UpstreamDirectory()
        directory.read(0.0)
        directory.put(upstream())
        directory.read(1.0)
        directory.remove("i-1", 1.0)
        assert directory.of_service("llm") == []

    def test_registrations_that_lapsed_in_an_outage(self) -> None:
        """Symptom: after an outage of the store all requests are refused for a second or two.

        Sequence: the store is away, registrations lapse, it returns, upstreams register again.
        Cause: a lapsed registration was taken for an upstream that left.
        """
        directory = UpstreamDirectory()
        directory.read(0.0)
        directory.put(upstream())
        directory.read(6.0)
        directory.remove("i-1", 6.0)
        assert directory.of_service("llm")
        directory.put(upstream())
        assert directory.expire(9.0) == []

    def test_one_that_does_not_come_back_has_gone(self) -> None:
        directory = UpstreamDirectory()
        directory.read(0.0)
        directory.put(upstream())
        directory.read(6.0)
        directory.remove("i-1", 6.0)
        assert directory.expire(8.3) == ["i-1"]
        assert directory.of_service("llm") == []

    def test_engine_that_restarts_while_the_store_is_away(self) -> None:
        """Symptom: requests use up the retry budget and are refused though engines are free.

        Sequence: an instance is cut off from the store; an engine crashes and comes back under a
        new id at its address; each request for the old id is refused as misdirected.
        Cause: the refusal was not remembered, and a late heartbeat would bring the id back.
        """
        directory = UpstreamDirectory()
        directory.put(upstream())
        directory.ended("i-1")
        assert not directory.put(upstream())
        assert directory.of_service("llm") == []


class TestRetryBudget:
    def test_the_shares_of_all_instances_fit_into_the_fleets_budget(self) -> None:
        settings = RetryBudgetSettings(ratio=0.2, burst=52, window_s=10)
        taken = 0
        for _ in range(6):
            budget = RetryBudget(settings)
            for request in range(100):
                budget.request(request / 10)
            taken += sum(budget.take(10.0, sharers=6) for _ in range(1000))
        assert taken <= 0.2 * 600 + 52

    def test_old_requests_and_retries_no_longer_count(self) -> None:
        budget = RetryBudget(RetryBudgetSettings(ratio=0.0, burst=2, window_s=10))
        assert [budget.take(0.0, sharers=1) for _ in range(3)] == [True, True, False]
        assert budget.take(10.1, sharers=1)
