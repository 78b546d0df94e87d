"""Tests instances that lose their path to all upstreams, with real processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from ..errors import ErrorKind
from ..events import Event
from ..testing.gateway_fleet import GatewayFleet
from ..testing.partitioned_fleet import STABLE_WINDOW_S, PartitionedFleet, failed
from ..testing.partitioned_gateway import PartitionMode

if TYPE_CHECKING:
    from pathlib import Path

#: Share of the first attempts that may fail at partitioned instances, as the operators state it.
_MAX_FAILED_SHARE = 1 / 50

_FOUR_INSTANCES = {"a1": "sto-a", "a2": "sto-a", "b1": "sto-b", "b2": "sto-b"}

#: Seconds after the end of a partition from which upstreams are reached directly again.
_HEALED_WITHIN_S = 1.0

#: Maximum seconds in which a request is refused that no instance can serve.
_MAX_REFUSAL_S = 0.1


class TestPartition:
    @pytest.mark.parametrize(
        "mode", [PartitionMode.HANG, PartitionMode.RESET, PartitionMode.REFUSE_NEW]
    )
    @pytest.mark.parametrize("partitioned", [["a1"], ["a1", "a2"], ["a1", "a2", "b1"]])
    def test_first_tries_are_served_while_partitioned_from_all_upstreams(
        self, tmp_path: Path, partitioned: list[str], mode: PartitionMode
    ) -> None:
        # Guards against refusals at an instance that cannot reach upstreams which its peers reach.
        with GatewayFleet(tmp_path) as processes:
            fleet = PartitionedFleet(processes, _FOUR_INSTANCES, partitioned)
            fleet.run(mode, before_s=1.0, cut_s=5.5, after_s=2.0)
            assert not fleet.double_runs()
        tries = fleet.first_tries(
            fleet.partition_began_s + STABLE_WINDOW_S, fleet.partition_ended_s, at_partitioned=True
        )
        assert len(failed(tries)) <= len(tries) * _MAX_FAILED_SHARE, failed(tries)[:5]
        healed_s = fleet.partition_ended_s + _HEALED_WITHIN_S
        assert not failed(fleet.first_tries(healed_s, healed_s + 1.0, at_partitioned=True))
        assert not failed(fleet.first_tries(0.0, healed_s + 1.0, at_partitioned=False))

    def test_requests_are_refused_at_once_while_no_instance_reaches_upstreams(
        self, tmp_path: Path
    ) -> None:
        # Guards against requests that wait though no instance of the fleet can serve them.
        with GatewayFleet(tmp_path) as processes:
            fleet = PartitionedFleet(processes, _FOUR_INSTANCES, list(_FOUR_INSTANCES))
            fleet.run(PartitionMode.HANG, before_s=1.0, cut_s=5.5, after_s=2.0)
            refusals = processes.log(processes.processes["a1"])
        tries = fleet.first_tries(
            fleet.partition_began_s + STABLE_WINDOW_S, fleet.partition_ended_s, at_partitioned=True
        )
        assert {outcome.status for outcome in tries} == {503}
        assert sorted(outcome.took_s for outcome in tries)[len(tries) // 2] < _MAX_REFUSAL_S
        assert f'"kind": "{ErrorKind.NO_UPSTREAM.value}"' in refusals
        healed_s = fleet.partition_ended_s + _HEALED_WITHIN_S
        assert not failed(fleet.first_tries(healed_s, healed_s + 1.0, at_partitioned=True))

    def test_upstreams_behind_a_partition_have_not_crashed(self, tmp_path: Path) -> None:
        # Guards against a quarantine of innocent requests whose connections a partition has reset.
        with GatewayFleet(tmp_path) as processes:
            fleet = PartitionedFleet(processes, _FOUR_INSTANCES, ["a1", "a2"], event_s=0.2)
            fleet.run(PartitionMode.RESET, before_s=2.0, cut_s=2.0, after_s=0.0)
            logs = [processes.log(processes.processes[name]) for name in _FOUR_INSTANCES]
        assert Event.ATTEMPT_FAILED.name.lower() in logs[0]
        assert not [log for log in logs if Event.UPSTREAM_ENDED.name.lower() in log]
