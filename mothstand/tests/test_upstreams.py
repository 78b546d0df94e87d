"""Tests of registered upstreams during outages of the store, and of the retry budget."""

from __future__ import annotations

from ..core.retry_budget import RetryBudget, RetryBudgetSettings
from ..core.upstreams import RegisteredUpstream, UpstreamDirectory
from ..types import DataCentre


def upstream(
    upstream_id: str = "i-1", *, draining: bool = False, born_ms: int = 0
) -> RegisteredUpstream:
    return RegisteredUpstream(upstream_id, "llm", "e:1", DataCentre("sto-a"), 8, draining, born_ms)


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
        """After an outage of the store all requests were refused for a second or two.

        Registrations expire in the outage, and upstreams register again after it. An expired
        registration was treated as a deregistered upstream.
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
        """Requests used up the retry budget and were refused though engines were free.

        An instance is cut off from the store while an engine crashes and restarts with a new id at
        the same address, which refuses each request for the old id as misdirected. The refusal was
        not remembered, and a late heartbeat would register the old id again.
        """
        directory = UpstreamDirectory()
        directory.put(upstream())
        directory.ended(upstream())
        assert not directory.put(upstream())
        assert directory.of_service("llm") == []

    def test_engine_that_starts_again_under_its_id(self) -> None:
        """A restarted engine got no requests for the rest of the day.

        Its address refused a request as misdirected, and it restarted with the same id. The id was
        remembered as ended instead of the process.
        """
        directory = UpstreamDirectory()
        directory.put(upstream(born_ms=1_000))
        directory.ended(upstream(born_ms=1_000))
        assert not directory.put(upstream(born_ms=1_000))
        assert directory.put(upstream(born_ms=2_000))
        assert directory.of_service("llm") == [upstream(born_ms=2_000)]

    def test_the_end_of_an_earlier_start_is_not_the_end_of_a_later_one(self) -> None:
        """A restarted engine was dropped when an old request to it failed.

        The refusal of a request arrives after the engine has restarted and registered. It ended any
        process with the same id.
        """
        directory = UpstreamDirectory()
        directory.put(upstream(born_ms=2_000))
        directory.ended(upstream(born_ms=1_000))
        assert directory.of_service("llm") == [upstream(born_ms=2_000)]

    def test_hearsay_of_an_earlier_start(self) -> None:
        directory = UpstreamDirectory()
        directory.put(upstream(born_ms=2_000))
        directory.offer(upstream(born_ms=1_000))
        assert directory.of_service("llm") == [upstream(born_ms=2_000)]
        directory.offer(upstream(born_ms=3_000))
        assert directory.of_service("llm") == [upstream(born_ms=3_000)]

    def test_registration_that_another_writer_replaced(self) -> None:
        directory = UpstreamDirectory()
        directory.put(upstream())
        directory.put(upstream("i-2"))
        directory.discard("i-1")
        assert directory.of_service("llm") == [upstream("i-2")]


class TestRetryBudget:
    def test_the_shares_of_all_instances_fit_into_the_fleets_budget(self) -> None:
        settings = RetryBudgetSettings(ratio=0.2, burst=52, window_s=10, delivery_s=1)
        taken = 0
        for _ in range(6):
            budget = RetryBudget(settings)
            for request in range(100):
                budget.request(request / 10)
            taken += sum(budget.take(10.0, sharers=6).is_granted for _ in range(1000))
        assert taken <= 0.2 * 600 + 52

    def test_old_requests_and_retries_no_longer_count(self) -> None:
        budget = RetryBudget(RetryBudgetSettings(ratio=0.0, burst=2, window_s=10, delivery_s=0))
        granted = [budget.take(0.0, sharers=1).is_granted for _ in range(3)]
        assert granted == [True, True, False]
        assert budget.take(10.1, sharers=1).is_granted

    def test_load_that_moves_to_another_instance_is_counted_once(self) -> None:
        # Guards against windows of the instances that together cover more than a fleet window.
        settings = RetryBudgetSettings(ratio=0.2, burst=0, window_s=10, delivery_s=1)
        retries_s = []
        for began_s in (0.0, 10.0):
            budget = RetryBudget(settings)
            for request in range(300):
                budget.request(began_s + request / 30)
            tried_s = began_s + 9.75
            granted = (budget.take(tried_s, sharers=1).is_granted for _ in range(100))
            retries_s += [tried_s for is_granted in granted if is_granted]
        in_window = sum(9.75 <= at_s <= 19.75 for at_s in retries_s)
        assert in_window <= 0.2 * 300

    def test_requests_of_a_service_that_needs_no_retries_are_forgotten(self) -> None:
        # Guards against memory that grows with every request while nothing fails.
        settings = RetryBudgetSettings(ratio=0.2, burst=52, window_s=10, delivery_s=1)
        budget = RetryBudget(settings)
        for request in range(10_000):
            budget.request(request / 10)
        assert len(budget._requests_s) <= 101
