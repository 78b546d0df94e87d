"""Tests of the client for upstreams that send answers nobody waits for."""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest

from ..core.upstreams import RegisteredUpstream
from ..gateway import sockets
from ..gateway.upstream_client import (
    MayHaveRunError,
    MisdirectedError,
    NotRunError,
    OutgoingRequest,
    RefusedByUpstreamError,
    UpstreamClient,
)
from ..platform.headers import PlatformHeaders
from ..testing.budget_fleet import gateway_settings
from ..types import DataCentre

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ..gateway.headers import UpstreamFields

pytestmark = pytest.mark.anyio

#: Requests of a random series, and share of the answers that come after an earlier one.
_SERIES = 60
_REPEATED_SHARE = 0.2

#: Time from a late answer to the one that was expected.
_ANSWER_DELAY_S = 0.05

_FULL = "503 Service Unavailable"
_MISDIRECTED = "421 Misdirected Request"


@pytest.fixture
def anyio_backend() -> str:
    """Return the event loop that the client library needs."""
    return "asyncio"


def _answer(status: str, *fields: str, body: str = "") -> bytes:
    lines = [f"HTTP/1.1 {status}", *fields, f"Content-Length: {len(body)}", "", body]
    return "\r\n".join(lines).encode()


@dataclass(slots=True)
class ScriptedUpstream:
    """Upstream that sends one scripted piece for each request that it reads."""

    answers: list[bytes]
    connections: int = 0
    seen: list[UpstreamFields] = field(default_factory=list)
    targets: list[str] = field(default_factory=list)

    @asynccontextmanager
    async def client(self) -> AsyncIterator[tuple[UpstreamClient, RegisteredUpstream]]:
        """Listen, and return a client."""
        listening = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = listening.sockets[0].getsockname()
        client = UpstreamClient(
            gateway_settings("me", DataCentre("a")),
            PlatformHeaders(),
            on_answer=lambda _, fields: self.seen.append(fields),
        )
        try:
            yield (
                client,
                RegisteredUpstream("i-1", "app", f"{host}:{port}", DataCentre("a"), 8, False),
            )
        finally:
            await client.aclose()
            listening.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while self.answers:
                head = await reader.readuntil(b"\r\n\r\n")
                self.targets.append(head.split(b" ")[1].decode())
                writer.write(self.answers.pop(0))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        writer.close()


@dataclass(slots=True)
class RepeatingUpstream(ScriptedUpstream):
    """Upstream that runs or rejects at random, and sends earlier answers once more.

    Parameters
    ----------
    statuses
        Status of the answer to each request.
    unknown
        Requests of which the client could not tell whether they ran.
    """

    rng: random.Random = field(default_factory=random.Random)
    statuses: dict[str, str] = field(default_factory=dict)
    unknown: int = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        earlier: list[bytes] = []
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                request_id = head.partition("X-Request-Id: ")[2].partition("\r\n")[0]
                if earlier and self.rng.random() < _REPEATED_SHARE:
                    writer.write(self.rng.choice(earlier))
                status = self.rng.choice(["200 OK", "200 OK", _FULL, _MISDIRECTED])
                self.statuses[request_id] = status
                fields = [f"X-Request-Id: {request_id}"]
                if status != "200 OK":
                    fields.append("X-Not-Executed: 1")
                earlier.append(_answer(status, *fields, body=request_id))
                writer.write(earlier[-1])
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


def _request(request_id: str) -> OutgoingRequest:
    return OutgoingRequest("POST", "/", request_id, b"")


class TestAnswersOfOtherRequests:
    @pytest.mark.parametrize("fields", [("X-Request-Id: r1",), ()], ids=["earlier id", "no id"])
    @pytest.mark.parametrize("status", [_FULL, _MISDIRECTED])
    async def test_rejection_of_another_request_proves_nothing(
        self, status: str, fields: tuple[str, ...]
    ) -> None:
        # Guards against a second copy of a rejection that is taken for that of the next request.
        late = _answer(status, *fields, "X-Not-Executed: 1", "Server-Limit: 1")
        own = _answer("200 OK", "X-Request-Id: r2")
        upstream = ScriptedUpstream([_answer("200 OK", "X-Request-Id: r0"), late + own, own])
        async with upstream.client() as (client, registered):
            (await client.send(registered, _request("r0"), ())).close()
            with pytest.raises(MayHaveRunError, match="another request"):
                await client.send(registered, _request("r2"), ())
            assert len(upstream.seen) == 1
            assert (await client.send(registered, _request("r2"), ())).status == 200
        assert upstream.connections == 2

    @pytest.mark.parametrize(
        ("status", "error"), [(_FULL, RefusedByUpstreamError), (_MISDIRECTED, MisdirectedError)]
    )
    async def test_rejection_of_the_request_itself_counts(
        self, status: str, error: type[Exception]
    ) -> None:
        upstream = ScriptedUpstream([_answer(status, "X-Request-Id: r", "X-Not-Executed: 1")])
        async with upstream.client() as (client, registered):
            with pytest.raises(error):
                await client.send(registered, _request("r"), ())

    @pytest.mark.parametrize("status", ["200 OK", _FULL])
    async def test_answer_of_a_request_is_no_report(self, status: str) -> None:
        # Guards against a report that is read from, or left on, a connection with a late answer.
        late, report = _answer(status, "X-Request-Id: r1", body="{}"), _answer("200 OK", body="{}")
        upstream = ScriptedUpstream([late + report, report])
        async with upstream.client() as (client, registered):
            with pytest.raises(MayHaveRunError):
                await client.read(registered, "/report")
            assert await client.read(registered, "/report") == b"{}"
        assert upstream.connections == 2

    @pytest.mark.parametrize("seed", range(8))
    async def test_each_outcome_is_that_of_the_request_itself(self, seed: int) -> None:
        # Guards against conclusions from any answer that was sent for another request.
        upstream = RepeatingUpstream([], rng=random.Random(f"repeated answers {seed}"))
        async with upstream.client() as (client, registered):
            for number in range(_SERIES):
                request_id = f"r{number}"
                try:
                    answer = await client.send(
                        registered, _request(request_id), (("X-Request-Id", request_id),)
                    )
                except RefusedByUpstreamError:
                    assert upstream.statuses[request_id] == _FULL
                except MisdirectedError:
                    assert upstream.statuses[request_id] == _MISDIRECTED
                except MayHaveRunError:
                    upstream.unknown += 1
                else:
                    assert upstream.statuses[request_id] == "200 OK"
                    assert await answer.read_piece() == request_id.encode()
                    answer.close()
        assert 0 < upstream.unknown < _SERIES / 2
        assert {fields.request_id for fields in upstream.seen} <= set(upstream.statuses)


class TestBytesBehindAnswers:
    @pytest.mark.parametrize("behind", [b"garbage", b"\x00\xff"])
    async def test_complete_answer_counts_whatever_bytes_come_with_its_end(
        self, behind: bytes
    ) -> None:
        # Guards against an answer that is lost, 502, since bytes behind it are no head.
        upstream = FollowedUpstream([], behind=behind)
        async with upstream.client() as (client, registered):
            for request_id in ("r1", "r2"):
                answer = await client.send(
                    registered, _request(request_id), (("X-Request-Id", request_id),)
                )
                assert await answer.read_piece() == b"whole"
                answer.close()
        assert upstream.connections == 2


class TestUnsoundHeads:
    @pytest.mark.parametrize(
        ("status", "field"),
        [
            ("000 None", "X-A: 1"),
            ("101 Switching Protocols", "Upgrade: x"),
            ("200 O\x01K", "X-A: 1"),
            ("503 F\x7full", "X-Not-Executed: 1"),
            ("200 OK", "X-A: a\x01b"),
            ("200 OK", "X-A: a\x0bb"),
        ],
    )
    async def test_head_that_callers_cannot_get_is_no_answer(self, status: str, field: str) -> None:
        # Guards against a caller's connection that breaks at, or gets, what is no answer.
        own = _answer("200 OK", "X-Request-Id: r2")
        upstream = ScriptedUpstream([_answer(status, "X-Request-Id: r1", field), own])
        async with upstream.client() as (client, registered):
            with pytest.raises(MayHaveRunError):
                await client.send(registered, _request("r1"), ())
            assert (await client.send(registered, _request("r2"), ())).status == 200
        assert upstream.connections == 2


class TestTargets:
    @pytest.mark.parametrize(
        "target",
        ["/a?", "/a#b", "/a?#", "/a?b?c#d", "/a/../b?", "//a/b", "/a%zz", "/[a]|\\", "/%2F"],
    )
    async def test_target_reaches_the_upstream_unchanged(self, target: str) -> None:
        # Guards against an upstream that runs another path or query than the caller's.
        upstream = ScriptedUpstream([_answer("200 OK", "X-Request-Id: r")])
        async with upstream.client() as (client, registered):
            await client.send(registered, OutgoingRequest("POST", target, "r", b""), ())
        assert upstream.targets == [target]


#: An answer of another request as it may be sent once more, in part: its id stands last.
_OTHER_FIELDS = (
    "X-Not-Executed: 1",
    "Server-Limit: 1",
    "X-Server-Signature: s",
    "X-Request-Id: r0",
)


class TestPartsOfOtherAnswers:
    @pytest.mark.parametrize("status", [_FULL, _MISDIRECTED, "200 OK", "500 Failed"])
    async def test_part_of_an_answer_before_the_own_one_proves_nothing(self, status: str) -> None:
        # Guards against one head read from the parts of two, which names this request's id.
        other = _answer(status, *_OTHER_FIELDS)
        own = _answer("200 OK", "X-Request-Id: r", "X-Server-Signature: own", body="whole")
        for length in range(1, len(other) + 1):
            upstream = ScriptedUpstream([other[:length] + own])
            async with upstream.client() as (client, registered):
                try:
                    answer = await client.send(registered, _request("r"), ())
                except MayHaveRunError:
                    continue
                finally:
                    assert all(fields.rate_limit_per_s is None for fields in upstream.seen)
                pytest.fail(f"{other[:length]!r}, then the answer: read as {answer.status}")

    async def test_next_request_does_not_use_the_connection_of_a_foreign_rejection(self) -> None:
        # Guards against each request on a connection getting the answer of the one before it.
        upstream = DelayedUpstream([_answer(_FULL, "X-Request-Id: r0", "X-Not-Executed: 1")])
        async with upstream.client() as (client, registered):
            with pytest.raises(MayHaveRunError):
                await client.send(registered, _request("r1"), (("X-Request-Id", "r1"),))
            answer = await client.send(registered, _request("r2"), (("X-Request-Id", "r2"),))
            assert answer.fields.request_id == "r2"
        assert upstream.connections == 2

    async def test_connection_of_a_misdirected_request_is_closed(self) -> None:
        # Guards against a copy of a 421 where the process at that address answers the same request.
        upstream = ScriptedUpstream([_answer(_MISDIRECTED, "X-Request-Id: r")] * 2)
        async with upstream.client() as (client, registered):
            for _ in range(2):
                with pytest.raises(MisdirectedError):
                    await client.send(registered, _request("r"), ())
        assert upstream.connections == 2

    @pytest.mark.parametrize("status", [_FULL, "500 Failed"])
    async def test_answer_with_an_id_that_its_connection_carried_before_proves_nothing(
        self, status: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against the answer to an earlier attempt of a request, sent once more.
        monkeypatch.setattr(sockets, "_MAX_REMEMBERED_ANSWERS", 0)
        first = _answer(status, "X-Request-Id: r", "X-Not-Executed: 1")
        own = _answer("200 OK", "X-Request-Id: r")
        upstream = ScriptedUpstream([first, _answer("200 OK", "X-Request-Id: r1"), first + own])
        async with upstream.client() as (client, registered):
            with pytest.raises(NotRunError):
                await client.send(registered, _request("r"), ())
            (await client.send(registered, _request("r1"), ())).close()
            with pytest.raises(MayHaveRunError):
                await client.send(registered, _request("r"), ())
        assert upstream.connections == 1

    @pytest.mark.parametrize("status", [_FULL, "500 Failed"])
    async def test_repeated_request_does_not_use_the_connection_of_its_first_answer(
        self, status: str
    ) -> None:
        # Guards against a repetition that gets the answer to the first attempt once more.
        upstream = RejectingUpstream([_answer(status, "X-Request-Id: r", "X-Not-Executed: 1")])
        fields = (("X-Request-Id", "r"),)
        async with upstream.client() as (client, registered):
            with pytest.raises(NotRunError):
                await client.send(registered, _request("r"), fields)
            assert (await client.send(registered, _request("r"), fields)).status == 200
        assert upstream.connections == 2

    @pytest.mark.parametrize("request_id", ["", "kept"], ids=["no id", "one id"])
    async def test_requests_without_ids_or_with_one_id_are_all_answered(
        self, request_id: str
    ) -> None:
        # Guards against each second answer on a connection being taken for an earlier one.
        fields = (("X-Request-Id", request_id),) if request_id else ()
        own = _answer("200 OK", *(f"{name}: {value}" for name, value in fields))
        upstream = ScriptedUpstream([own] * 6)
        async with upstream.client() as (client, registered):
            for _ in range(6):
                answer = await client.send(registered, _request(request_id), fields)
                assert answer.status == 200
                answer.close()

    @pytest.mark.parametrize("pause_s", [0.0, 0.02], ids=["glued", "later"])
    async def test_connection_with_bytes_behind_an_answer_is_not_used_again(
        self, pause_s: float
    ) -> None:
        # Guards against a request that is sent where earlier bytes stand before its answer.
        other = _answer(_FULL, *_OTHER_FIELDS)
        for length in range(1, len(other) + 1):
            upstream = FollowedUpstream([], behind=other[:length], pause_s=pause_s)
            async with upstream.client() as (client, registered):
                for request_id in ("r1", "r2"):
                    answer = await client.send(
                        registered, _request(request_id), (("X-Request-Id", request_id),)
                    )
                    assert await answer.read_piece() == b"whole"
                    answer.close()
                    await asyncio.sleep(2 * pause_s)
            assert upstream.connections == 2, other[:length]


@dataclass(slots=True)
class DelayedUpstream(ScriptedUpstream):
    """Upstream that sends its scripted pieces where answers are expected, and these later."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                request_id = head.partition("X-Request-Id: ")[2].partition("\r\n")[0]
                if self.answers:
                    writer.write(self.answers.pop(0))
                    await asyncio.sleep(_ANSWER_DELAY_S)
                writer.write(_answer("200 OK", f"X-Request-Id: {request_id}"))
        except (asyncio.IncompleteReadError, OSError):
            pass
        writer.close()


@dataclass(slots=True)
class RejectingUpstream(ScriptedUpstream):
    """Upstream that rejects one request, and sends that again before the next answer there."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        rejection = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                request_id = head.partition("X-Request-Id: ")[2].partition("\r\n")[0]
                if self.answers:
                    rejection = self.answers.pop()
                    writer.write(rejection)
                else:
                    writer.write(rejection + _answer("200 OK", f"X-Request-Id: {request_id}"))
        except (asyncio.IncompleteReadError, OSError):
            pass
        writer.close()


@dataclass(slots=True)
class FollowedUpstream(ScriptedUpstream):
    """Upstream that sends further bytes behind each answer.

    Parameters
    ----------
    pause_s
        Time between an answer and these bytes; 0 for one packet.
    """

    behind: bytes = b""
    pause_s: float = 0.0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                request_id = head.partition("X-Request-Id: ")[2].partition("\r\n")[0]
                answer = _answer("200 OK", f"X-Request-Id: {request_id}", body="whole")
                if self.pause_s:
                    writer.write(answer)
                    await asyncio.sleep(self.pause_s)
                writer.write(self.behind if self.pause_s else answer + self.behind)
        except (asyncio.IncompleteReadError, OSError):
            pass
        writer.close()
