"""Tests of one relayed attempt: a client, a relaying peer and an upstream on loopback."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import pytest
from aiohttp import web

from ..clock import SystemClock
from ..core.evacuation import Evacuations, EvacuationState
from ..core.fleet import Capacity, Member
from ..core.loans import Peer
from ..core.reachability import Reachability
from ..core.relaying import RelayOffer, RelayPeer, RelayPolicy
from ..core.shutdown import Shutdown
from ..core.suspects import SuspectId
from ..core.upstreams import RegisteredUpstream, UpstreamDirectory
from ..gateway.answer_bodies import AnswerBodies
from ..gateway.metrics import GatewayMetrics
from ..gateway.quarantine.crash_detector import CrashDetector, TcpLivenessCheck
from ..gateway.reachability_probes import ReachabilityProbes
from ..gateway.relay_client import (
    RelayClient,
    RelayConnectionBrokenError,
    RelayNotConnectedError,
    RelayUnavailableError,
)
from ..gateway.relay_protocol import RelayedAttempt, RelayOutcome, read_outcome, with_outcome
from ..gateway.relay_server import RelayServer
from ..gateway.upstream_client import (
    MisdirectedError,
    OutgoingRequest,
    RefusedByUpstreamError,
    UpstreamClient,
)
from ..platform.headers import PlatformHeaders
from ..platform.records import decode_config
from ..testing.budget_fleet import gateway_settings
from ..testing.eligibility import caller_memory, unrestricted_eligibility
from ..testing.fleet import free_port
from ..types import DataCentre

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from ..gateway.headers import RawHeaders

    Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

pytestmark = pytest.mark.anyio

_DATA_CENTRE = DataCentre("sto-a")
_ONE_CORE = Capacity()
_HEADERS: RawHeaders = (
    ("Host", "api.example"),
    ("X-Request-Id", "r"),
    ("X-Deadline-Milliseconds", "4000"),
    ("X-Expected-Instance", "i-1"),
)
_ANSWER_HEADERS = {"X-Request-Id": "r", "X-Server-Signature": "signed"}


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Relay:
    """A relaying peer in front of one upstream, and a client that uses it."""

    def __init__(self, upstream_address: str, capacity: Capacity) -> None:
        relay_address = f"127.0.0.1:{free_port()}"
        settings = gateway_settings("peer", _DATA_CENTRE, relay=relay_address)
        clock, metrics = SystemClock(), GatewayMetrics()
        self.upstream = RegisteredUpstream(
            "i-1", "llm", upstream_address, _DATA_CENTRE, 8, False, version="v1"
        )
        self.directory = UpstreamDirectory()
        self.directory.apply(self.upstream)
        self.evacuations = Evacuations()
        check = TcpLivenessCheck(0.2)
        self.probes = ReachabilityProbes(Reachability(), self.directory, check, clock, metrics)
        self.crash_detector = CrashDetector(check, clock, lambda *_: None)
        self.address = relay_address
        self.shutdown = Shutdown(8.0)
        translator = PlatformHeaders()
        self.upstream_client = UpstreamClient(settings, translator)
        self.client = RelayClient(settings, translator)
        config = decode_config(json.dumps({"version": 1, "routes": [], "services": []}).encode())
        self.server = RelayServer(
            settings,
            lambda: config,
            capacity,
            self.upstream_client,
            translator,
            unrestricted_eligibility(self.directory, evacuations=self.evacuations),
            self.probes,
            self.crash_detector,
            self.shutdown,
            caller_memory(clock),
            clock,
            metrics,
        )
        peer = Peer("peer", "inc", "127.0.0.1:1")
        member = Member(peer, _DATA_CENTRE, capacity)
        self.peer = RelayPeer(member, RelayOffer(relay_address, {"llm": 0.0}), 0.0)

    async def send(self, body: bytes = b"body", *, version: str | None = None) -> bytes:
        """Send a request and return the body of its answer."""
        attempt = RelayedAttempt(self.upstream.key, "me", SuspectId("d"), 0, version)
        request = OutgoingRequest("POST", "/ask/?q=%20x", "r", body)
        answer = await self.client.send(self.peer, attempt, request, _HEADERS)
        try:
            self.answer = answer
            async with AnswerBodies(caller_memory(SystemClock())).read(answer) as body:
                return body
        finally:
            answer.close()


@asynccontextmanager
async def _served(handler: Handler, address: str) -> AsyncIterator[None]:
    runner = web.ServerRunner(web.Server(handler, handler_cancellation=True), shutdown_timeout=0.1)
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    try:
        yield
    finally:
        await runner.cleanup()


@asynccontextmanager
async def _relay(handler: Handler | None, capacity: Capacity = _ONE_CORE) -> AsyncIterator[Relay]:
    """Return a relay in front of an upstream; None for an upstream that is down."""
    upstream_address = f"127.0.0.1:{free_port()}"
    relay = Relay(upstream_address, capacity)
    async with _served_relay(relay):
        if handler is None:
            yield relay
        else:
            async with _served(handler, upstream_address):
                yield relay


@asynccontextmanager
async def _served_relay(relay: Relay) -> AsyncIterator[None]:
    runner = web.ServerRunner(relay.server.make_server(), shutdown_timeout=0.1)
    await runner.setup()
    host, _, port = relay.address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    try:
        yield
    finally:
        await relay.client.aclose()
        await relay.upstream_client.aclose()
        await runner.cleanup()


async def _answer(request: web.BaseRequest) -> web.Response:
    body = await request.read()
    return web.Response(body=request.raw_path.encode() + b" " + body, headers=_ANSWER_HEADERS)


class TestAnswer:
    async def test_request_and_answer_are_passed_on_unchanged(self) -> None:
        seen: list[web.BaseRequest] = []

        async def handler(request: web.BaseRequest) -> web.Response:
            seen.append(request)
            return await _answer(request)

        async with _relay(handler) as relay:
            assert await relay.send(b"x" * 200_000) == b"/ask/?q=%20x " + b"x" * 200_000
            assert ("X-Server-Signature", "signed") in relay.answer.headers
            assert not any("Relay" in name for name, _ in relay.answer.headers)
        headers = seen[0].headers
        assert headers["Host"] == "api.example" and headers["X-Expected-Instance"] == "i-1"
        assert 3000 < int(headers["X-Deadline-Milliseconds"]) <= 4000
        assert not any(name.startswith("Mothstand") for name in headers)

    async def test_attempt_for_another_version_of_the_upstream_is_rejected(self) -> None:
        # Guards against a stream that a peer continues at another version, in place of an upstream.
        async with _relay(_answer) as relay:
            assert await relay.send(version="v1")
            with pytest.raises(RelayUnavailableError):
                await relay.send(version="v2 \N{SNOWMAN}")

    async def test_events_are_passed_on_as_they_come(self) -> None:
        async def handler(request: web.BaseRequest) -> web.StreamResponse:
            response = web.StreamResponse(headers=_ANSWER_HEADERS)
            await response.prepare(request)
            await response.write(b"id: 1\n\n")
            await anyio.sleep_forever()
            return response

        async with _relay(handler) as relay:
            attempt = RelayedAttempt(relay.upstream.key, "me", SuspectId("d"), 0)
            request = OutgoingRequest("POST", "/ask/", "r", b"")
            with anyio.fail_after(2.0):
                answer = await relay.client.send(relay.peer, attempt, request, _HEADERS)
                assert await answer.read_piece() == b"id: 1\n\n"
            answer.close()

    async def test_answer_that_breaks_off_does_not_look_complete(self) -> None:
        # Guards against a truncated answer that reaches its caller as a whole one.
        async def handler(request: web.BaseRequest) -> web.StreamResponse:
            response = web.StreamResponse(headers=_ANSWER_HEADERS)
            await response.prepare(request)
            await response.write(b"id: 1\n\n")
            assert request.transport is not None
            request.transport.abort()
            return response

        async with _relay(handler) as relay:
            with pytest.raises(RelayConnectionBrokenError):
                await relay.send()

    async def test_upstream_stops_when_the_caller_leaves(self) -> None:
        # Guards against work for a caller that has disconnected from the other instance.
        started, cancelled = anyio.Event(), anyio.Event()

        async def handler(request: web.BaseRequest) -> web.Response:
            started.set()
            try:
                await anyio.sleep_forever()
            finally:
                cancelled.set()
            return web.Response()

        async with _relay(handler) as relay, anyio.create_task_group() as tasks:
            tasks.start_soon(relay.send)
            with anyio.fail_after(2.0):
                await started.wait()
                tasks.cancel_scope.cancel()
                with anyio.CancelScope(shield=True):
                    await cancelled.wait()


class TestOutcome:
    async def test_upstream_that_is_down_is_not_connected(self) -> None:
        async with _relay(None) as relay:
            relay.directory.apply(
                RegisteredUpstream("i-2", "llm", "127.0.0.1:1", _DATA_CENTRE, 8, False)
            )
            with pytest.raises(RelayNotConnectedError):
                await relay.send()

    async def test_peer_that_reaches_no_upstream_either_is_unavailable(self) -> None:
        # Guards against the next request being sent through a peer that is partitioned too.
        async with _relay(None) as relay:
            with pytest.raises(RelayUnavailableError):
                await relay.send()
            assert relay.server.offer().reached_ages_s == {}

    async def test_refusals_of_the_upstream_stay_refusals(self) -> None:
        async def refuse(request: web.BaseRequest) -> web.Response:
            await request.read()
            return web.Response(status=503, headers={**_ANSWER_HEADERS, "X-Not-Executed": "1"})

        async def misdirected(request: web.BaseRequest) -> web.Response:
            await request.read()
            return web.Response(status=421, headers=_ANSWER_HEADERS)

        async with _relay(refuse) as relay:
            with pytest.raises(RefusedByUpstreamError):
                await relay.send()
        async with _relay(misdirected) as relay:
            with pytest.raises(MisdirectedError):
                await relay.send()

    async def test_upstream_that_ends_the_connection_may_have_run(self) -> None:
        async def close(request: web.BaseRequest) -> web.Response:
            assert request.transport is not None
            request.transport.abort()
            return web.Response()

        async with _relay(close) as relay:
            with pytest.raises(RelayConnectionBrokenError):
                await relay.send()

    async def test_upstreams_that_the_peer_would_not_use_are_rejected(self) -> None:
        # Guards against requests to upstreams of which only the peer knows that they left.
        async with _relay(_answer) as relay:
            relay.evacuations.apply(EvacuationState(_DATA_CENTRE, True, 1), 0.0)
            with pytest.raises(RelayUnavailableError):
                await relay.send()
            relay.evacuations.apply(EvacuationState(_DATA_CENTRE, False, 2), 0.0)
            assert await relay.send()
            relay.directory.upstreams.clear()
            with pytest.raises(RelayUnavailableError):
                await relay.send()

    async def test_stopping_peer_takes_no_request(self) -> None:
        async with _relay(_answer) as relay:
            relay.shutdown.began_s = 0.0
            with pytest.raises(RelayUnavailableError):
                await relay.send()
            assert relay.server.offer() == RelayOffer("", {})

    async def test_requests_above_the_limit_are_rejected(self) -> None:
        # Guards against an instance that is overloaded by the load of its peers.
        limit = RelayPolicy().max_relayed(Capacity(0.01))
        release = anyio.Event()

        async def wait(request: web.BaseRequest) -> web.Response:
            await request.read()
            await release.wait()
            return web.Response(headers=_ANSWER_HEADERS)

        async with _relay(wait, Capacity(0.01)) as relay, anyio.create_task_group() as tasks:
            for _ in range(limit):
                tasks.start_soon(relay.send)
            with anyio.fail_after(5.0):
                while relay.server.running_requests < limit:
                    await anyio.sleep(0.01)
                with pytest.raises(RelayUnavailableError):
                    await relay.send()
            release.set()

    async def test_peer_that_is_gone_is_unavailable(self) -> None:
        async with _relay(_answer) as relay:
            relay.peer.offer = RelayOffer("127.0.0.1:1", {"llm": 0.0})
            with pytest.raises(RelayUnavailableError):
                await relay.send()

    def test_outcome_that_an_upstream_sends_is_replaced(self) -> None:
        # Guards against an upstream that declares a request not run which it has run.
        forged = with_outcome((), RelayOutcome.REJECTED)
        assert read_outcome(with_outcome(forged, RelayOutcome.ANSWERED)) is RelayOutcome.ANSWERED
        assert read_outcome(()) is RelayOutcome.UNKNOWN
