"""Tests of where the resumption of a stream may go on."""

from __future__ import annotations

from dataclasses import replace

import anyio
import pytest

from ..core.fleet import Member
from ..core.loans import Peer
from ..core.routes import Destination, GatewayConfig, RequestKind, RequestLimits, Route
from ..core.stream_origins import OriginPolicy, SeenVersion, StreamKey, StreamOrigin
from ..core.upstreams import OUTAGE_AFTER_S, RegisteredUpstream, UpstreamDirectory
from ..errors import ErrorKind, RefusedError, RunState
from ..events import Event
from ..gateway import stream_origins
from ..gateway.call import Call
from ..gateway.headers import CallerFields
from ..gateway.lending import FoundOrigin
from ..gateway.metrics import GatewayMetrics
from ..gateway.process_check import ProcessCheck, ProcessIdentity
from ..gateway.resumptions import Resumptions
from ..gateway.upstream_client import OutgoingRequest
from ..peers.failures import PeerError
from ..testing.eligibility import fleet_view, origins_of
from ..testing.fakes import UnreachablePeers
from ..testing.virtual_time import VirtualClock, run_in_virtual_time
from ..types import DataCentre

_DATA_CENTRE = DataCentre("sto-a")


class FakePeers(UnreachablePeers):
    """One peer, with what it has found; None if it does not answer."""

    def __init__(self, found: FoundOrigin | None) -> None:
        self.found = found
        self.lookups = 0

    async def find_origin(self, address: str, key: StreamKey, service: str) -> FoundOrigin:
        self.lookups += 1
        if self.found is None:
            raise PeerError(address)
        return self.found


class FakeCheck(ProcessCheck):
    """Check with a result that a test sets."""

    result = ProcessIdentity.REGISTERED
    checks = 0

    async def check(self, upstream: RegisteredUpstream) -> ProcessIdentity:
        self.checks += 1
        return self.result


class Harness:
    """An instance with upstreams of some versions."""

    def __init__(
        self, *versions: str, found: FoundOrigin | None = None, has_peer: bool = False
    ) -> None:
        clock = VirtualClock()
        self.directory = UpstreamDirectory()
        self.peers = FakePeers(found)
        fleet = fleet_view("me")
        if has_peer:
            fleet.apply_announcement(Member(Peer("other", "1", "other:1"), _DATA_CENTRE), 0.0)
        self.origins = origins_of(fleet, self.directory, self.peers, clock, GatewayMetrics())
        self.origins.note_history_read()
        self.directory.note_store_read(0.0)
        self.check = FakeCheck()
        self.resumptions = Resumptions(self.origins, self.check, self.directory, clock)
        for number, version in enumerate(versions):
            self.register(f"u{number}", version)

    def register(self, upstream_id: str, version: str) -> RegisteredUpstream:
        upstream = RegisteredUpstream(
            upstream_id, "llm", "e:1", _DATA_CENTRE, 8, False, version=version
        )
        self.directory.apply(upstream)
        return upstream

    async def bind(self, call: Call) -> StreamOrigin | ErrorKind | None:
        """Return where a call is bound to, or the kind of its refusal."""
        config = GatewayConfig(1, (call.route,), {}, {}, RequestLimits())
        try:
            await self.resumptions.bind(call, config)
        except RefusedError as error:
            assert error.refusal.answer.run_state is RunState.NOT_RUN
            assert error.refusal.answer.status == 503
            return error.refusal.kind
        return call.origin


def _call(
    *,
    request_id: str = "r2",
    resumes: str = "r1",
    last_event_id: str = "3",
    services: tuple[str, ...] = ("llm",),
    workspace: str = "w",
    is_resumable: bool = True,
) -> Call:
    route = Route(
        "r",
        "h",
        "/",
        RequestKind.STREAMING,
        5,
        1,
        1,
        tuple(Destination(service, 1.0) for service in services),
        2,
        False,
        is_resumable,
    )
    return Call(
        fields=CallerFields(request_id, "h", "", None, last_event_id, resumes=resumes),
        headers=(),
        route=route,
        service=GatewayConfig(1, (), {}, {}, RequestLimits()).service(services[0]),
        workspace=workspace,
        priority=1,
        request=OutgoingRequest("POST", "/", request_id, b""),
        arrived_s=0.0,
        deadline_s=5.0,
    )


def _begin(harness: Harness, request_id: str, upstream: RegisteredUpstream) -> None:
    call = _call(request_id=request_id, resumes="", last_event_id="")
    harness.resumptions.note_first_event(call, upstream)


class TestResumptions:
    def test_stream_is_bound_to_the_version_that_began_it(self) -> None:
        async def main() -> None:
            harness = Harness("v1", "v2")
            _begin(harness, "r1", harness.directory.upstreams["u1"])
            assert await harness.bind(_call()) == StreamOrigin("llm", "v2")

        run_in_virtual_time(main)

    def test_caller_may_name_each_request_that_brought_events(self) -> None:
        # Guards against refusals of the third try, which names the first or the second one.
        async def main() -> None:
            harness = Harness("v1", "v2")
            _begin(harness, "r1", harness.directory.upstreams["u1"])
            second = _call()
            await harness.bind(second)
            harness.resumptions.note_first_event(second, harness.directory.upstreams["u1"])
            for resumes in ("r1", "r2"):
                third = _call(request_id="r3", resumes=resumes)
                assert await harness.bind(third) == StreamOrigin("llm", "v2")

        run_in_virtual_time(main)

    @pytest.mark.parametrize("resumes", ["", "unknown", "x" * 60_000, "\udce9"])
    def test_unknown_stream_is_refused_at_once_if_several_versions_may_have_begun_it(
        self, resumes: str
    ) -> None:
        # Guards against a guess, and against what callers may send as an id.
        async def main() -> None:
            harness = Harness("v1", "v2")
            _begin(harness, "r1", harness.directory.upstreams["u1"])
            kind = await harness.bind(_call(resumes=resumes))
            assert kind is ErrorKind.RESUMPTION_UNKNOWN
            assert anyio.current_time() == 0.0

        run_in_virtual_time(main)

    def test_stream_of_another_workspace_is_like_one_that_does_not_exist(self) -> None:
        async def main() -> None:
            harness = Harness("v1", "v2")
            _begin(harness, "r1", harness.directory.upstreams["u1"])
            kinds = [
                await harness.bind(_call(workspace="x", resumes=resumes)) for resumes in ("r1", "r")
            ]
            assert kinds == [ErrorKind.RESUMPTION_UNKNOWN] * 2

        run_in_virtual_time(main)

    def test_unknown_stream_goes_on_at_the_only_version(self) -> None:
        async def main() -> None:
            assert await Harness("v1", "v1").bind(_call()) == StreamOrigin("llm", "v1")
            assert await Harness("v1").bind(_call(last_event_id="")) is None
            assert await Harness("v1", "v2").bind(_call(is_resumable=False)) is None

        run_in_virtual_time(main)

    def test_version_that_a_peer_has_seen_may_have_begun_an_unknown_stream(self) -> None:
        # Guards against an instance that started after the last upstream of a version had left.
        async def main() -> None:
            found = FoundOrigin(None, (SeenVersion("llm", "v1", 5.0),))
            harness = Harness("v2", found=found, has_peer=True)
            assert await harness.bind(_call()) is ErrorKind.RESUMPTION_UNKNOWN
            found = FoundOrigin(StreamOrigin("llm", "v1"), found.versions)
            harness = Harness("v2", found=found, has_peer=True)
            assert await harness.bind(_call()) == StreamOrigin("llm", "v1")

        run_in_virtual_time(main)

    def test_old_registrations_are_no_proof_of_the_only_version(self) -> None:
        # Guards against joined streams at an instance that cannot read of a release.
        async def main() -> None:
            harness = Harness("v1", has_peer=True)
            assert await harness.bind(_call()) == StreamOrigin("llm", "v1")
            await anyio.sleep(OUTAGE_AFTER_S + 0.1)
            assert await harness.bind(_call()) is ErrorKind.RESUMPTION_UNKNOWN
            harness.peers.found = FoundOrigin(None)
            assert await harness.bind(_call()) is ErrorKind.RESUMPTION_UNKNOWN
            harness.peers.found = FoundOrigin(None, knows_all_versions=True)
            assert await harness.bind(_call()) == StreamOrigin("llm", "v1")

        run_in_virtual_time(main)

    def test_instance_without_the_history_does_not_assume_the_only_version(self) -> None:
        # Guards against joined streams after the death of all instances and of a version.
        async def main() -> None:
            harness = Harness("v2")
            harness.origins.versions.coverage.note_gap(0.0)
            assert await harness.bind(_call()) is ErrorKind.RESUMPTION_UNKNOWN
            await anyio.sleep(OriginPolicy().retention_s)
            harness.directory.note_store_read(anyio.current_time())
            harness.origins.observe()
            assert await harness.bind(_call()) == StreamOrigin("llm", "v2")
            harness.origins.routes.coverage.note_gap(anyio.current_time())
            assert await harness.bind(_call()) is ErrorKind.RESUMPTION_UNKNOWN

        run_in_virtual_time(main)

    def test_unknown_stream_of_a_split_route_is_refused(self) -> None:
        async def main() -> None:
            kind = await Harness("v1").bind(_call(services=("llm", "other")))
            assert kind is ErrorKind.RESUMPTION_UNKNOWN

        run_in_virtual_time(main)

    def test_stream_is_refused_if_its_route_no_longer_leads_to_its_service(self) -> None:
        # Guards against requests that run at a service that the configuration has taken away.
        async def main() -> None:
            harness = Harness("v1")
            _begin(harness, "r1", harness.directory.upstreams["u0"])
            kind = await harness.bind(_call(services=("other",)))
            assert kind is ErrorKind.NO_UPSTREAM

        run_in_virtual_time(main)

    @pytest.mark.parametrize(
        ("is_resumed", "is_current", "result", "expected"),
        [
            (False, True, ProcessIdentity.REPLACED, True),
            (False, False, ProcessIdentity.REPLACED, False),
            (False, False, ProcessIdentity.UNKNOWN, True),
            (True, True, ProcessIdentity.REPLACED, False),
            (True, True, ProcessIdentity.UNKNOWN, True),
            (True, False, ProcessIdentity.UNKNOWN, False),
            (True, False, ProcessIdentity.REGISTERED, True),
        ],
    )
    def test_stream_goes_on_only_at_a_process_whose_version_is_known(
        self, is_resumed: bool, is_current: bool, result: ProcessIdentity, expected: bool
    ) -> None:
        # Guards against other software under an upstream's id.
        async def main() -> None:
            harness = Harness("v1")
            harness.check.result = result
            upstream = replace(harness.directory.upstreams["u0"], born_ms=5)
            call = _call(last_event_id="3" if is_resumed else "")
            await harness.bind(call)
            if not is_current:
                await anyio.sleep(OUTAGE_AFTER_S + 0.1)
            assert await harness.resumptions.may_send(call, upstream) is expected
            assert harness.check.checks == (is_resumed or not is_current)

        run_in_virtual_time(main)

    def test_bound_on_remembered_streams_is_logged_when_reached(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        logged: list[Event] = []
        monkeypatch.setattr(stream_origins, "emit", lambda event, **_: logged.append(event))

        async def main() -> None:
            harness = Harness("v1")
            for number in range(OriginPolicy().max_streams + 1):
                _begin(harness, f"r{number}", harness.directory.upstreams["u0"])
            with anyio.move_on_after(3.0):
                await harness.origins.run()

        run_in_virtual_time(main)
        assert logged.count(Event.ORIGINS_FORGOTTEN) == 1

    def test_questions_to_peers_are_bounded(self) -> None:
        # Guards against callers that make each of their tries cost messages.
        async def main() -> None:
            harness = Harness("v1", "v2", found=FoundOrigin(None), has_peer=True)
            for number in range(500):
                kind = await harness.bind(_call(resumes=f"junk {number}"))
                assert kind is ErrorKind.RESUMPTION_UNKNOWN
            assert harness.peers.lookups == 200

        run_in_virtual_time(main)
