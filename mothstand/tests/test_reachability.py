"""Tests of what an instance knows of the upstreams that it can connect to."""

from __future__ import annotations

from ..core.reachability import Reachability, ReachabilityPolicy
from ..core.upstreams import RegisteredUpstream
from ..types import DataCentre

_POLICY = ReachabilityPolicy()


def _upstream(number: int, service: str = "llm") -> RegisteredUpstream:
    address = f"10.0.0.{number}:80"
    return RegisteredUpstream(f"i-{number}", service, address, DataCentre("sto-a"), 8, False)


_UPSTREAMS = [_upstream(number) for number in range(6)]


def _partitioned(count: int = 6) -> Reachability:
    """Return the state after connections to some upstreams failed at second 1."""
    reachability = Reachability()
    for upstream in _UPSTREAMS[:count]:
        reachability.note_unreachable(upstream, 1.0)
    return reachability


class TestOutage:
    def test_upstream_is_unreachable_until_a_probe_succeeds(self) -> None:
        reachability = _partitioned(1)
        reachability.note_reached(_UPSTREAMS[0], 2.0)
        assert reachability.reachable(_UPSTREAMS) == _UPSTREAMS[1:]
        assert reachability.note_probe_succeeded(_UPSTREAMS[0], 3.0) == 2.0
        assert reachability.reachable(_UPSTREAMS) == _UPSTREAMS

    def test_pause_between_probes_doubles_up_to_its_maximum(self) -> None:
        reachability = _partitioned(1)
        now_s, pauses_s = 1.0, []
        for _ in range(6):
            last_s = now_s
            while not reachability.take_due_probes(_UPSTREAMS, now_s):
                now_s += 0.125
            pauses_s.append(now_s - last_s)
            reachability.note_probe_failed(_UPSTREAMS[0], now_s)
        assert pauses_s == [0.5, 0.5, 1.0, 2.0, 4.0, 4.0]

    def test_probe_is_not_due_again_before_its_result(self) -> None:
        reachability = _partitioned(1)
        assert reachability.take_due_probes(_UPSTREAMS, 1.5) == _UPSTREAMS[:1]
        assert not reachability.take_due_probes(_UPSTREAMS, 1.6)

    def test_upstream_whose_connection_broke_is_probed_at_once(self) -> None:
        reachability = Reachability()
        reachability.note_broken(_UPSTREAMS[0])
        assert reachability.is_reachable(_UPSTREAMS[0])
        assert reachability.take_due_probes(_UPSTREAMS, 1.0) == _UPSTREAMS[:1]

    def test_deregistered_upstream_is_forgotten(self) -> None:
        reachability = _partitioned(1)
        reachability.forget(_UPSTREAMS[0])
        assert reachability.is_idle
        assert not reachability.unreachable_count


class TestPartition:
    def test_partition_is_suspected_when_several_are_lost_and_none_is_reached(self) -> None:
        assert not _partitioned(1).is_partition_suspected
        assert _partitioned(2).is_partition_suspected

    def test_answer_to_a_later_attempt_ends_the_suspicion(self) -> None:
        reachability = _partitioned(2)
        reachability.note_reached(_UPSTREAMS[5], 0.5)
        assert reachability.is_partition_suspected
        reachability.note_reached(_UPSTREAMS[5], 1.5)
        assert not reachability.is_partition_suspected

    def test_partition_from_one_service_is_suspected_while_others_are_reached(self) -> None:
        # Guards against upstreams that are probed too seldom because another service answers.
        reachability = _partitioned(2)
        reachability.note_reached(_upstream(9, "forms"), 2.0)
        assert reachability.is_partition_suspected

    def test_others_are_probed_once_when_a_partition_is_first_suspected(self) -> None:
        reachability = _partitioned(2)
        assert reachability.take_due_probes(_UPSTREAMS, 1.0) == _UPSTREAMS[2:]
        assert not reachability.take_due_probes(_UPSTREAMS, 1.05)

    def test_sweep_is_limited(self) -> None:
        reachability = _partitioned(2)
        many = [_upstream(number) for number in range(2, 100)]
        assert len(reachability.take_due_probes(many, 1.0)) == _POLICY.max_sweep

    def test_one_upstream_is_probed_in_each_interval_of_a_partition(self) -> None:
        # Guards against refusals for seconds after a partition has ended.
        reachability = _partitioned()
        now_s, probes = 1.0, 0
        while now_s < 21.0:
            for upstream in reachability.take_due_probes([], now_s):
                reachability.note_probe_failed(upstream, now_s)
                probes += 1
            now_s += 0.05
        assert 20 / _POLICY.partition_probe_s * 0.7 <= probes <= 20 / _POLICY.partition_probe_s * 2

    def test_all_are_probed_when_one_is_reached_again(self) -> None:
        reachability = _partitioned()
        for upstream in reachability.take_due_probes([], 1.6):
            reachability.note_probe_failed(upstream, 1.6)
        reachability.note_probe_succeeded(_UPSTREAMS[0], 1.7)
        assert reachability.take_due_probes([], 1.7) == _UPSTREAMS[1:]

    def test_only_recent_probes_confirm_that_upstreams_are_unreachable(self) -> None:
        reachability = _partitioned(2)
        assert not reachability.is_confirmed("llm", 1.0)
        reachability.note_probe_failed(_UPSTREAMS[0], 1.25)
        assert reachability.is_confirmed("llm", 1.25 + _POLICY.confirmed_s)
        assert not reachability.is_confirmed("llm", 1.5 + _POLICY.confirmed_s)
