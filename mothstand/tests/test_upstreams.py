"""Registered upstreams over outages of the store, and the share of retries."""

from __future__ import annotations

from ..core.retry_budget import RetryBudget, RetryBudgetSettings
from ..core.upstreams import RegisteredUpstream, UpstreamDirectory
from ..types import DataCentre


def upstream(
    upstream_id: str = "i-1", *, draining: bool = False, born_ms: int = 0
) -> RegisteredUpstream:
    return RegisteredUpstream(upstream_id, "llm", "e:1", DataCentre("sto-a"), 8, draining, born_ms)


class TestUpstreamDirectory:
    def test_draining_upstream_gets_no_new_requests(self) -> None:
        directory = UpstreamDirectory()
        directory.apply(upstream())
        directory.apply(upstream(draining=True))
        assert directory.accepting_upstreams("llm") == []

    def test_deregistered_upstream_is_dropped_at_once(self) -> None:
        directory = UpstreamDirectory()
        directory.note_store_read(0.0)
        directory.apply(upstream())
        directory.note_store_read(1.0)
        directory.remove("i-1", 1.0)
        assert directory.accepting_upstreams("llm") == []

    def test_registration_expired_in_an_outage_gets_a_grace(self) -> None:
        """Symptom: after an outage of the store all requests are refused for a second or two.

        Sequence: the store is away, registrations lapse, it returns, upstreams register again.
        Cause: a lapsed registration was taken for an upstream that left.
        """
        directory = UpstreamDirectory()
        directory.note_store_read(0.0)
        directory.apply(upstream())
        directory.note_store_read(6.0)
        directory.remove("i-1", 6.0)
        assert directory.accepting_upstreams("llm")
        directory.apply(upstream())
        assert directory.expire(9.0) == []

    def test_upstream_still_missing_after_the_grace_is_dropped(self) -> None:
        directory = UpstreamDirectory()
        directory.note_store_read(0.0)
        directory.apply(upstream())
        directory.note_store_read(6.0)
        directory.remove("i-1", 6.0)
        assert directory.expire(8.3) == ["i-1"]
        assert directory.accepting_upstreams("llm") == []

    def test_ended_process_is_not_registered_again(self) -> None:
        """Symptom: requests use up the retry budget and are refused though engines are free.

        Sequence: an instance is cut off from the store; an engine crashes and comes back under a
        new id at its address; each request for the old id is refused as misdirected.
        Cause: the refusal was not remembered, and a late heartbeat would bring the id back.
        """
        directory = UpstreamDirectory()
        directory.apply(upstream())
        directory.note_process_ended(upstream())
        assert not directory.apply(upstream())
        assert directory.accepting_upstreams("llm") == []

    def test_restarted_engine_with_the_same_id_is_registered(self) -> None:
        """Symptom: an engine that was restarted gets no requests for the rest of the day.

        Sequence: its address refuses a request as misdirected, it starts again under the same id.
        Cause: the id was remembered as ended, and not the start that had ended.
        """
        directory = UpstreamDirectory()
        directory.apply(upstream(born_ms=1_000))
        directory.note_process_ended(upstream(born_ms=1_000))
        assert not directory.apply(upstream(born_ms=1_000))
        assert directory.apply(upstream(born_ms=2_000))
        assert directory.accepting_upstreams("llm") == [upstream(born_ms=2_000)]

    def test_end_of_an_earlier_start_keeps_a_later_one(self) -> None:
        """Symptom: a restarted engine is dropped when an old request of it fails.

        Sequence: a request is sent, the engine starts again and registers, the request's refusal
        comes. Cause: the refusal ended whatever was known under the id.
        """
        directory = UpstreamDirectory()
        directory.apply(upstream(born_ms=2_000))
        directory.note_process_ended(upstream(born_ms=1_000))
        assert directory.accepting_upstreams("llm") == [upstream(born_ms=2_000)]

    def test_second_hand_registration_of_an_earlier_start_is_ignored(self) -> None:
        directory = UpstreamDirectory()
        directory.apply(upstream(born_ms=2_000))
        directory.apply_second_hand(upstream(born_ms=1_000))
        assert directory.accepting_upstreams("llm") == [upstream(born_ms=2_000)]
        directory.apply_second_hand(upstream(born_ms=3_000))
        assert directory.accepting_upstreams("llm") == [upstream(born_ms=3_000)]

    def test_discarded_registration_is_dropped(self) -> None:
        directory = UpstreamDirectory()
        directory.apply(upstream())
        directory.apply(upstream("i-2"))
        directory.discard("i-1")
        assert directory.accepting_upstreams("llm") == [upstream("i-2")]


class TestRetryBudget:
    def test_shares_of_all_instances_fit_the_fleet_budget(self) -> None:
        settings = RetryBudgetSettings(ratio=0.2, burst=52, window_s=10, delivery_s=1)
        granted = 0
        for _ in range(6):
            budget = RetryBudget(settings)
            for request in range(100):
                budget.add_request(request / 10)
            granted += sum(budget.try_acquire(10.0, sharers=6).is_granted for _ in range(1000))
        assert granted <= 0.2 * 600 + 52

    def test_old_requests_and_retries_no_longer_count(self) -> None:
        budget = RetryBudget(RetryBudgetSettings(ratio=0.0, burst=2, window_s=10, delivery_s=0))
        granted = [budget.try_acquire(0.0, sharers=1).is_granted for _ in range(3)]
        assert granted == [True, True, False]
        assert budget.try_acquire(10.1, sharers=1).is_granted

    def test_load_that_moves_to_another_instance_is_counted_once(self) -> None:
        # Guards against instances whose windows together cover more than any window of the fleet.
        settings = RetryBudgetSettings(ratio=0.2, burst=0, window_s=10, delivery_s=1)
        retries_s = []
        for began_s in (0.0, 10.0):
            budget = RetryBudget(settings)
            for request in range(300):
                budget.add_request(began_s + request / 30)
            tried_s = began_s + 9.75
            granted = (budget.try_acquire(tried_s, sharers=1).is_granted for _ in range(100))
            retries_s += [tried_s for is_granted in granted if is_granted]
        in_window = sum(9.75 <= at_s <= 19.75 for at_s in retries_s)
        assert in_window <= 0.2 * 300

    def test_old_requests_are_forgotten_without_retries(self) -> None:
        # Guards against memory that grows with every request while nothing fails.
        settings = RetryBudgetSettings(ratio=0.2, burst=52, window_s=10, delivery_s=1)
        budget = RetryBudget(settings)
        for request in range(10_000):
            budget.add_request(request / 10)
        assert len(budget._requests_s) <= 101
