"""Tests of what is known of where streams began, and of what may be assumed."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import anyio
import pytest

from ..core.fleet import FleetView, Member
from ..core.loans import Peer
from ..core.record_holders import RecordHolders
from ..core.routes import Destination, GatewayConfig, RequestKind, RequestLimits, Route
from ..core.stream_origins import (
    OriginPolicy,
    OriginRecord,
    OriginTable,
    RecentVersions,
    RouteChanges,
    StreamKey,
    StreamOrigin,
    only_possible_origin,
    stream_key,
)
from ..core.upstreams import RegisteredUpstream, UpstreamDirectory
from ..gateway.metrics import GatewayMetrics
from ..testing.eligibility import fleet_view, origins_of
from ..testing.fakes import UnreachablePeers
from ..testing.memory_store import MemoryStore, StoreLink
from ..testing.virtual_time import VirtualClock, run_in_virtual_time
from ..types import DataCentre

if TYPE_CHECKING:
    from collections.abc import Sequence

_V1 = StreamOrigin("llm", "v1")
_V2 = StreamOrigin("llm", "v2")
_POLICY = OriginPolicy(retention_s=10.0, max_streams=3)


def _key(text: str) -> StreamKey:
    return stream_key("w", text)


class TestStreamKey:
    def test_ids_of_other_workspaces_and_any_text_have_keys_of_their_own(self) -> None:
        # Guards against a caller that learns of, or takes up, a stream of another workspace.
        ids = ["r", "", "x" * 65_536, "\udce9 \x00", "w"]
        keys = {stream_key(workspace, i) for workspace in ("a", "b", "aw") for i in ids}
        assert len(keys) == 15
        assert {len(key) for key in keys} == {16}


class TestOriginTable:
    def test_origin_is_known_for_the_retention_time_after_the_latest_report(self) -> None:
        table = OriginTable(_POLICY)
        table.add(OriginRecord(_key("r"), _V1), 0.0)
        table.add(OriginRecord(_key("r"), _V1), 5.0)
        assert table.find(_key("r"), 15.0) == _V1
        assert table.find(_key("r"), 15.1) is None
        assert len(table) == 0

    def test_origin_of_an_id_that_two_streams_used_is_unknown(self) -> None:
        # Guards against joined streams of callers that use an id twice.
        table = OriginTable(_POLICY)
        for origin in (_V1, _V2, _V1):
            table.add(OriginRecord(_key("r"), origin), 0.0)
        assert table.find(_key("r"), 0.0) is None
        assert list(table.records(0.0)) == []

    def test_number_of_streams_is_bounded(self) -> None:
        # Guards against callers that fill the memory with ids.
        table = OriginTable(_POLICY)
        for number in range(5):
            table.add(OriginRecord(_key(str(number)), _V1), 0.0)
        assert len(table) == _POLICY.max_streams
        assert table.dropped == 2
        assert table.find(_key("0"), 0.0) is None
        assert table.find(_key("4"), 0.0) == _V1


class TestRecentVersions:
    def test_version_without_upstreams_counts_for_the_retention_time(self) -> None:
        # Guards against the assumption that a stream began at the only version that is left.
        versions = RecentVersions(_POLICY)
        versions.note("llm", "v1", 0.0)
        versions.note("llm", "v2", 8.0)
        versions.note("other", "v3", 8.0)
        assert versions.versions("llm", 10.0) == {"v1", "v2"}
        assert versions.versions("llm", 10.1) == {"v2"}

    @pytest.mark.parametrize(
        ("service", "versions", "expected"),
        [
            ("llm", {"v1"}, _V1),
            ("llm", {"v1", "v2"}, None),
            ("llm", set(), None),
            (None, {"v1"}, None),
        ],
    )
    def test_only_a_single_possible_origin_is_assumed(
        self, service: str | None, versions: set[str], expected: StreamOrigin | None
    ) -> None:
        assert only_possible_origin(service, frozenset(versions)) == expected


def _route(prefix: str, *services: str) -> Route:
    destinations = tuple(Destination(service, 1.0) for service in services)
    return Route("r", "H", prefix, RequestKind.STREAMING, 5, 1, 1, destinations, 2, False, True)


def _config(*routes: Route) -> GatewayConfig:
    return GatewayConfig(1, routes, {}, {}, RequestLimits())


class TestRouteChanges:
    @pytest.mark.parametrize(
        ("before", "after", "is_changed"),
        [
            ([_route("/a/", "x")], [_route("/a/", "x")], False),
            ([_route("/a/", "x")], [_route("/a/", "x"), _route("/b/", "y")], False),
            ([_route("/a/", "x")], [_route("/a/", "y")], True),
            ([_route("/a/", "x")], [_route("/a/", "x", "y")], True),
            ([_route("/", "x")], [_route("/", "x"), _route("/a/", "y")], True),
        ],
        ids=["same", "new route", "moved", "split", "part of a route moved"],
    )
    def test_streams_of_a_route_that_moved_may_have_begun_at_another_service(
        self, before: list[Route], after: list[Route], is_changed: bool
    ) -> None:
        # Guards against streams that go on at the service that a new configuration names.
        changes = RouteChanges(_POLICY)
        assert not changes.apply(_config(*before), 0.0)
        assert changes.apply(_config(*after), 5.0) is is_changed
        assert changes.is_recent(after[-1], 15.0) is is_changed
        assert not changes.is_recent(after[-1], 15.1)

    def test_removed_route_counts_where_its_requests_go_then(self) -> None:
        changes = RouteChanges(_POLICY)
        changes.apply(_config(_route("/", "x"), _route("/a/", "y")), 0.0)
        assert changes.apply(_config(_route("/", "x")), 1.0)
        assert changes.is_recent(_route("/", "x"), 1.0)
        changes.apply(_config(_route("/", "x"), _route("/a/", "z")), 2.0)
        assert changes.is_recent(_route("/a/", "z"), 2.0)


def _upstream(version: str) -> RegisteredUpstream:
    return RegisteredUpstream("u", "llm", "e:1", DataCentre("a"), 8, False, version=version)


def _view(name: str, names: dict[str, str]) -> FleetView:
    members = {n: Member(Peer(n, "1", f"{n}:1"), DataCentre(dc)) for n, dc in names.items()}
    view = FleetView(members[name])
    for member in members.values():
        view.apply_announcement(member, 0.0)
    return view


class TestRecordHolders:
    @pytest.mark.parametrize(("data_centres", "instances"), [(1, 4), (2, 4), (3, 6), (5, 90)])
    def test_who_looks_finds_a_copy_also_in_its_own_data_centre(
        self, data_centres: int, instances: int
    ) -> None:
        # Guards against copies that are all with the writer, or all behind a partition.
        names = {f"i{n}": f"dc{n % data_centres}" for n in range(instances)}
        holders = {name: RecordHolders(_view(name, names)) for name in names}
        for number in range(50):
            key = _key(str(number))
            writer, reader = f"i{number % instances}", f"i{(number + data_centres) % instances}"
            written = {m.peer.instance for m in holders[writer].of(key).to_write}
            asked = {m.peer.instance for m in holders[reader].of(key).to_ask}
            assert writer not in written
            found = written & (asked | {reader})
            assert len(found) >= 2
            assert any(names[name] == names[reader] for name in found)
            assert len(written) <= 4 and len(asked) <= 5

    def test_lone_instance_has_no_holders(self) -> None:
        holders = RecordHolders(_view("a", {"a": "dc"})).of(_key("r"))
        assert holders.to_write == holders.to_ask == ()


class RecordingPeers(UnreachablePeers):
    """Peers that take all copies."""

    def __init__(self) -> None:
        self.kept: defaultdict[str, set[StreamKey]] = defaultdict(set)

    async def keep_origins(self, address: str, records: Sequence[OriginRecord]) -> None:
        self.kept[address] |= {record.key for record in records}


class TestCopies:
    def test_peers_have_copies_before_a_second_version_is_known(self) -> None:
        # Guards against an instance that dies before it has read of a second version.
        fleet, peers = fleet_view("me", 1), RecordingPeers()
        origins = origins_of(fleet, UpstreamDirectory(), peers, VirtualClock(), GatewayMetrics())

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(origins.run)
                await anyio.sleep(0.2)
                origins.note_began(_key("r"), _V1, _route("/", "llm"))
                await anyio.sleep(0.6)
                assert peers.kept["other-0:1"] == {_key("r")}
                origins.note_began(_key("s"), _V1, _route("/", "llm"))
                origins.note_upstream(_upstream("v2"))
                await anyio.sleep(0.1)
                assert peers.kept["other-0:1"] == {_key("r"), _key("s")}
                tasks.cancel_scope.cancel()

        run_in_virtual_time(main)

    def test_stream_is_found_in_the_store_when_all_that_knew_it_have_died(self) -> None:
        # Guards against copies that are lost with their holders.
        store, clock = MemoryStore(), VirtualClock()
        origins = [
            origins_of(
                fleet_view(name),
                UpstreamDirectory(),
                UnreachablePeers(),
                clock,
                GatewayMetrics(),
                StoreLink(store),
            )
            for name in ("dead", "me")
        ]

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                for each in origins:
                    each.note_history_read()
                    tasks.start_soon(each.run)
                await anyio.sleep(0.1)
                origins[0].note_began(_key("r"), _V1, _route("/", "llm"))
                await anyio.sleep(1.1)
                assert (await origins[1].find(_key("r"), "llm")).origin == _V1
                origins[0].note_upstream(_upstream("v2"))
                origins[0].note_began(_key("s"), _V2, _route("/", "llm"))
                await anyio.sleep(0.6)
                assert (await origins[1].find(_key("s"), "llm")).origin == _V2
                assert (await origins[1].find(_key("t"), "llm")).origin is None
                tasks.cancel_scope.cancel()

        run_in_virtual_time(main)

    def test_peer_that_becomes_known_later_gets_copies_of_streams_that_run(self) -> None:
        # Guards against streams that only those peers know which an instance knew when they began.
        fleet, peers = fleet_view("me", 1), RecordingPeers()
        route = Route(
            "r",
            "h",
            "/",
            RequestKind.STREAMING,
            5.0,
            0.5,
            1,
            (Destination("llm", 1), Destination("other", 1)),
            2,
            False,
            True,
        )
        origins = origins_of(fleet, UpstreamDirectory(), peers, VirtualClock(), GatewayMetrics())

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(origins.run)
                origins.note_began(_key("r"), _V1, route)
                await anyio.sleep(0.5)
                assert set(peers.kept) == {"other-0:1"}
                late = Member(Peer("late", "1", "late:1"), DataCentre("sto-b"))
                fleet.apply_announcement(late, 0.5)
                origins.note_fleet()
                await anyio.sleep(0.1)
                assert peers.kept["late:1"] == {_key("r")}
                tasks.cancel_scope.cancel()

        run_in_virtual_time(main)
