"""Tests that a stream holds events of one software version only, with real processes."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio
import pytest

from ..testing.gateway_fleet import SERVICE, GatewayFleet
from ..testing.stream_callers import StreamCallers

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.processes

_DATA_CENTRES = {"a1": "sto-a", "a2": "sto-a", "b1": "sto-b", "b2": "sto-b"}
_STREAMS = 48
_INTERVAL_S = 0.03

#: Streams of 2.5 s.
_EVENT_S = 0.1
_EVENT_COUNT = 25

#: Share of the resumed streams that go on while one instance is dead, of that of new streams.
_MIN_CONTINUED_SHARE = 0.9

#: The same as the operators require it, while more than one instance is dead.
_MIN_REQUIRED_SHARE = 0.5


class VersionedFleet:
    """Four instances, and upstreams of two software versions."""

    def __init__(
        self,
        processes: GatewayFleet,
        *,
        split: tuple[str, ...] = (),
        engines: tuple[int, int] = (3, 3),
    ) -> None:
        self.processes = processes
        processes.publish(prepaid_tokens=100_000_000, split=split)
        services = split or (SERVICE, SERVICE)
        for version, service, count in zip(("v1", "v2"), services, engines, strict=True):
            for number in range(count):
                processes.start_engine(
                    f"{version}-{number}",
                    service=service,
                    version=version,
                    event_s=_EVENT_S,
                    event_count=_EVENT_COUNT,
                )
        for name, data_centre in _DATA_CENTRES.items():
            processes.start_instance(name, data_centre=data_centre)
        instances = [processes.processes[name] for name in _DATA_CENTRES]
        self.callers = StreamCallers(instances)

    def run(self, *, killed: tuple[str, ...], store_is_away: bool = False) -> None:
        """Begin streams, and kill instances or upstreams in the middle of them."""

        async def disturb() -> None:
            if store_is_away:
                self.processes.set_store_unreachable(True)
                await anyio.sleep(0.3)
            for name in killed:
                process = self.processes.processes[name]
                if name in _DATA_CENTRES:
                    self.callers.kill(process)
                else:
                    process.kill()

        self.callers.run(_STREAMS, _INTERVAL_S, disturb)

    def run_with_death_of_all(
        self, *, leaving: tuple[str, ...] = (), store_away_s: float = 0.0
    ) -> None:
        """Begin streams, kill all instances in the middle of them, and start these again.

        Parameters
        ----------
        leaving
            Upstreams that leave while all instances are dead.
        store_away_s
            Time from the death on for which the store does not answer.
        """

        async def disturb() -> None:
            for name in _DATA_CENTRES:
                self.callers.kill(self.processes.processes[name])
            for name in leaving:
                self.processes.delete("keyed.servers", name)
                self.processes.processes[name].kill()
            self.processes.set_store_unreachable(store_away_s > 0)
            for name in _DATA_CENTRES:
                self.callers.revive(self.processes.restart_instance(name))
            await anyio.sleep(store_away_s)
            self.processes.set_store_unreachable(False)

        self.callers.run(_STREAMS, _INTERVAL_S, disturb)

    def continued_share(self, version: str) -> float:
        """Return the share of the resumed streams of a version that went on."""
        resumed = [s for s in self.callers.resumed if s.versions[0] == version]
        return sum(stream.has_gone_on for stream in resumed) / len(resumed)

    def replace_unseen(self, name: str, *, version: str) -> None:
        """Restart an upstream under its id with other software, which the store does not show."""
        self.processes.set_store_unreachable(True)
        address = self.processes.processes[name].address
        self.processes.processes[name].kill()
        self.processes.start_engine(
            name,
            version=version,
            address=address,
            event_s=_EVENT_S,
            event_count=_EVENT_COUNT,
            born_ms=1_796_000_009_000,
            is_registered=False,
        )
        # Until the registrations count as old.
        time.sleep(2.5)


class TestJoinedStreams:
    def test_stream_continues_at_its_version_when_its_upstream_is_killed(
        self, tmp_path: Path
    ) -> None:
        # Guards against answers that go on at another version within one try.
        with GatewayFleet(tmp_path) as processes:
            fleet = VersionedFleet(processes)
            fleet.run(killed=("v1-0",))
        assert not fleet.callers.joined
        assert all(stream.is_complete for stream in fleet.callers.streams)

    @pytest.mark.parametrize("store_is_away", [False, True])
    def test_resumed_stream_continues_at_its_version_when_its_instance_is_killed(
        self, tmp_path: Path, store_is_away: bool
    ) -> None:
        # Guards against resumptions at an instance that does not know where the stream began.
        with GatewayFleet(tmp_path) as processes:
            fleet = VersionedFleet(processes)
            fleet.run(killed=("a1",), store_is_away=store_is_away)
        assert not fleet.callers.joined
        assert len(fleet.callers.resumed) >= _STREAMS / 8
        assert fleet.callers.continued_share >= _MIN_CONTINUED_SHARE

    @pytest.mark.parametrize("killed", [("a1", "a2"), ("a1", "b1")])
    def test_resumed_streams_continue_at_their_version_when_two_instances_are_killed(
        self, tmp_path: Path, killed: tuple[str, ...]
    ) -> None:
        # Guards against knowledge of a stream's version that dies with the instance or its peer.
        with GatewayFleet(tmp_path) as processes:
            fleet = VersionedFleet(processes)
            fleet.run(killed=killed)
        assert not fleet.callers.joined
        assert fleet.callers.continued_share >= _MIN_REQUIRED_SHARE

    def test_stream_without_an_upstream_of_its_version_is_not_continued(
        self, tmp_path: Path
    ) -> None:
        # Guards against streams that go on elsewhere once their version has no upstream left.
        with GatewayFleet(tmp_path) as processes:
            fleet = VersionedFleet(processes)
            fleet.run(killed=("v1-0", "v1-1", "v1-2"))
        assert not fleet.callers.joined
        assert all(s.is_complete for s in fleet.callers.streams if set(s.versions) == {"v2"})

    def test_stream_does_not_continue_at_a_replaced_process_with_an_old_registration(
        self, tmp_path: Path
    ) -> None:
        # Guards against other software under an upstream's id while registrations are not read.
        with GatewayFleet(tmp_path) as processes:
            fleet = VersionedFleet(processes)
            fleet.replace_unseen("v1-0", version="v3")
            fleet.run(killed=("v1-1", "a1"))
        assert not fleet.callers.joined
        assert fleet.callers.continued_share >= _MIN_REQUIRED_SHARE

    def test_resumed_stream_of_a_split_route_stays_at_its_service(self, tmp_path: Path) -> None:
        # Guards against a service chosen by the id of the resumption, which the first try had not.
        with GatewayFleet(tmp_path) as processes:
            fleet = VersionedFleet(processes, split=("old", "new"))
            fleet.run(killed=("a1", "b1"))
        assert not fleet.callers.joined
        assert fleet.callers.continued_share >= _MIN_REQUIRED_SHARE


class TestDeathOfAll:
    def test_streams_are_not_continued_at_the_only_version_that_is_left(
        self, tmp_path: Path
    ) -> None:
        # Guards against instances that take the versions at their start for all that there were.
        with GatewayFleet(tmp_path) as processes:
            fleet = VersionedFleet(processes)
            fleet.run_with_death_of_all(leaving=("v1-0", "v1-1", "v1-2"))
        assert not fleet.callers.joined
        assert not fleet.continued_share("v1")
        assert fleet.continued_share("v2") >= _MIN_REQUIRED_SHARE

    def test_no_stream_is_joined_when_the_store_comes_back_after_the_start(
        self, tmp_path: Path
    ) -> None:
        # Guards against conclusions before the history of the time before the start is read.
        with GatewayFleet(tmp_path) as processes:
            fleet = VersionedFleet(processes)
            fleet.run_with_death_of_all(leaving=("v1-0", "v1-1", "v1-2"), store_away_s=2.5)
        assert fleet.callers.resumed
        assert not fleet.callers.joined
        assert not fleet.continued_share("v1")

    def test_streams_of_both_versions_go_on_while_both_serve(self, tmp_path: Path) -> None:
        # Guards against origins of streams that die with all instances.
        with GatewayFleet(tmp_path) as processes:
            fleet = VersionedFleet(processes, engines=(1, 3))
            fleet.run_with_death_of_all()
        assert not fleet.callers.joined
        assert fleet.continued_share("v1") >= _MIN_REQUIRED_SHARE
        assert fleet.continued_share("v2") >= _MIN_REQUIRED_SHARE

    def test_streams_go_on_after_the_death_of_all_with_a_single_version(
        self, tmp_path: Path
    ) -> None:
        # Guards against instances that refuse all resumptions for a while after their start.
        with GatewayFleet(tmp_path) as processes:
            fleet = VersionedFleet(processes, engines=(3, 0))
            fleet.run_with_death_of_all()
        assert fleet.continued_share("v1") >= _MIN_CONTINUED_SHARE
