"""Tests that crowds of callers that do not behave neither end nor fill an instance.

Each starts real processes on loopback. Nothing here depends on the speed of the machine: an
instance must live, stay below the memory of the smallest machine and below its descriptors, and
answer an ordinary caller.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import httpx
import pytest

from ..testing.crowds import (
    Caller,
    Crowd,
    HeldByProcess,
    chunked_head,
    request_head,
    sized_head,
)
from ..testing.gateway_fleet import PREFIX, GatewayFleet, request_headers
from ..testing.partitioned_gateway import PartitionMode

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator
    from pathlib import Path

    from ..testing.fleet import FleetProcess

#: Memory of the smallest machine.
_MAX_BYTES = 160_000_000

#: Largest body that the configuration allows.
_BODY_BYTES = 4_194_304

#: Limit on the open files of an instance where a test lowers it, and what callers may take of it.
_DESCRIPTORS = 300
_MAX_DESCRIPTORS = 270

#: Descriptors of an instance beyond those before a crowd, once it has given the crowd up.
_SPARE_DESCRIPTORS = 30

#: Time that a crowd gets to send, and time that it stays after that: longer than the deadlines of
#: its requests.
_SEND_S = 20.0
_STAY_S = 6.0

#: Attempts of an ordinary caller; it repeats what is refused as not run.
_ATTEMPTS = 20
_NOT_RUN = (408, 421, 429, 503)

_PIECE = b"x" * 16_384


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[GatewayFleet]:
    """Return a fleet with a configuration and one engine."""
    with GatewayFleet(tmp_path) as fleet:
        fleet.publish(prepaid_tokens=1_000_000_000)
        fleet.start_engine("engine-a")
        yield fleet


async def _whole_body(caller: Caller) -> None:
    await caller.send(sized_head(_BODY_BYTES) + b"x" * _BODY_BYTES)


async def _unfinished_body(caller: Caller) -> None:
    await caller.send(sized_head(_BODY_BYTES) + b"x" * (_BODY_BYTES - 1))


async def _unfinished_body_in_pieces(caller: Caller) -> None:
    await caller.send(sized_head(_BODY_BYTES))
    for _ in range(_BODY_BYTES // len(_PIECE) - 1):
        await caller.send(_PIECE)


async def _unfinished_body_in_chunks(caller: Caller) -> None:
    await caller.send(chunked_head())
    for _ in range(_BODY_BYTES // len(_PIECE) - 1):
        await caller.send(f"{len(_PIECE):x}\r\n".encode() + _PIECE + b"\r\n")


async def _body_in_single_bytes(caller: Caller) -> None:
    await caller.send(chunked_head() + b"1\r\nx\r\n" * 4_000_000)


async def _bodies_behind_a_request(caller: Caller) -> None:
    for _ in range(8):
        await caller.send(sized_head(_BODY_BYTES, PREFIX) + b"x" * _BODY_BYTES)


async def _endless_chunk_extension(caller: Caller) -> None:
    await caller.send(chunked_head() + b"1;")
    for _ in range(4_000):
        await caller.send(_PIECE)


async def _endless_requests(caller: Caller) -> None:
    for _ in range(400):
        await caller.send(b"".join(sized_head(4) + b"body" for _ in range(100)))


async def _head_without_end(caller: Caller) -> None:
    await caller.send(request_head(extra="X-Long: " + "x" * 60_000))


async def _head_of_many_headers(caller: Caller) -> None:
    await caller.send(request_head(extra="".join(f"X-{i}: {'x' * 60_000}\r\n" for i in range(40))))


async def _too_large_head(caller: Caller) -> None:
    await caller.send(request_head(extra=f"X-Long: {'x' * 60_000}\r\nContent-Length: 0\r\n\r\n"))


async def _largest_head(caller: Caller) -> None:
    await caller.send(request_head(extra=f"X-Long: {'x' * 15_500}\r\nContent-Length: 0\r\n\r\n"))


async def _long_request_id(caller: Caller) -> None:
    for i in range(20):
        head = request_head(request_id=f"{id(caller)}-{i}-" + "y" * 15_000)
        await caller.send(head + b"Content-Length: 4\r\n\r\nbody")


async def _largest_running_request(caller: Caller) -> None:
    extra = f"X-Long: {'x' * 15_500}\r\nContent-Length: 4\r\n\r\n"
    await caller.send(request_head(PREFIX, extra=extra) + b"body")


async def _long_parts(caller: Caller) -> None:
    for i in range(90):
        part = f"{id(caller):x}{i:x}{'a' * 15_000}"
        head = request_head(parts=f"{part}:80,bb:20")
        await caller.send(head + b"Content-Length: 4\r\n\r\nbody")


async def _unread_answer(caller: Caller) -> None:
    await caller.send(sized_head(4) + b"body")


async def _unread_stream(caller: Caller) -> None:
    await caller.send(sized_head(4, PREFIX) + b"body")


async def _nothing(_: Caller) -> None:
    return


def _is_served(instance: FleetProcess) -> bool:
    """Return whether an ordinary caller that repeats refused requests gets its answer."""
    for i in range(_ATTEMPTS):
        try:
            headers = request_headers(f"ordinary-{i}")
            answer = httpx.post(instance.url + PREFIX, headers=headers, content=b"body", timeout=10)
        except httpx.HTTPError:
            # A connection that is closed before its request was read may be repeated too.
            time.sleep(0.2)
            continue
        if answer.status_code == httpx.codes.OK:
            return True
        assert answer.status_code in _NOT_RUN, answer.text
        time.sleep(float(answer.headers.get("Retry-After", "0.2")))
    return False


def _check(instance: FleetProcess) -> None:
    assert instance.process.poll() is None, "the process has ended"
    held = HeldByProcess.read(instance)
    assert held.peak_bytes <= _MAX_BYTES, held
    assert _is_served(instance), "an ordinary caller got no answer"


class TestMemory:
    @pytest.mark.parametrize(
        ("script", "count"),
        [
            (_unfinished_body, 48),
            (_unfinished_body_in_pieces, 48),
            (_unfinished_body_in_chunks, 48),
            (_whole_body, 48),
            (_bodies_behind_a_request, 24),
            (_body_in_single_bytes, 60),
            (_endless_requests, 60),
            (_head_without_end, 2_400),
            (_head_of_many_headers, 60),
            (_too_large_head, 2_400),
            (_largest_head, 2_400),
            (_long_request_id, 300),
        ],
    )
    def test_crowd_stays_below_the_memory_of_the_machine(
        self,
        fleet: GatewayFleet,
        script: Callable[[Caller], Awaitable[None]],
        count: int,
    ) -> None:
        # Guards against callers that together make an instance hold more than its machine has.
        instance = fleet.start_instance("sto-a-1")
        with Crowd(instance.address, count, script) as crowd:
            crowd.stay(at_least_s=_STAY_S, at_most_s=_SEND_S)
            _check(instance)
        _check(instance)

    @pytest.mark.parametrize("script", [_unread_answer, _unread_stream])
    def test_unread_answers_stay_below_the_memory_of_the_machine(
        self, fleet: GatewayFleet, script: Callable[[Caller], Awaitable[None]]
    ) -> None:
        # Guards against answers that pile up for callers that read none.
        fleet.engines[0].kill()
        fleet.start_engine("engine-a", event_s=0.0, event_count=10, padding_bytes=95_000)
        instance = fleet.start_instance("sto-a-1")
        with Crowd(instance.address, 200, script) as crowd:
            crowd.stay(at_least_s=_STAY_S, at_most_s=_SEND_S)
            _check(instance)
        _check(instance)

    def test_long_ids_of_parts_stay_below_the_memory_of_the_machine(
        self, fleet: GatewayFleet
    ) -> None:
        # Guards against callers that choose what an instance remembers of each upstream.
        for name in "bcd":
            fleet.start_engine(f"engine-{name}", event_s=0.0)
        instance = fleet.start_instance("sto-a-1")
        with Crowd(instance.address, 100, _long_parts) as crowd:
            crowd.stay(at_least_s=_STAY_S, at_most_s=3 * _SEND_S)
            _check(instance)

    @pytest.mark.parametrize("script", [_unread_stream, _largest_running_request])
    def test_running_requests_stay_below_the_memory_of_the_machine(
        self, fleet: GatewayFleet, script: Callable[[Caller], Awaitable[None]]
    ) -> None:
        # Guards against requests that together take more than their bytes while they run.
        fleet.engines[0].kill()
        fleet.start_engine("engine-a", event_s=0.5)
        instance = fleet.start_instance("sto-a-1")
        with Crowd(instance.address, 2_400, script) as crowd:
            crowd.stay(at_least_s=_STAY_S, at_most_s=_SEND_S)
            _check(instance)
        _check(instance)

    def test_relayed_bodies_stay_below_the_memory_of_the_machine(self, fleet: GatewayFleet) -> None:
        # Guards against bodies that an instance takes from a peer without a bound.
        cut_off = fleet.start_instance("sto-a-1", can_be_partitioned=True)
        relay = fleet.start_instance("sto-a-2")
        fleet.partition(cut_off, PartitionMode.RESET)
        with Crowd(cut_off.address, 48, _whole_body) as crowd:
            crowd.stay(at_least_s=_STAY_S, at_most_s=_SEND_S)
            _check(relay)
            _check(cut_off)

    def test_several_crowds_at_once_stay_below_the_memory_of_the_machine(
        self, fleet: GatewayFleet
    ) -> None:
        # Guards against bounds that hold for each way alone and not for all together.
        instance = fleet.start_instance("sto-a-1")
        with (
            Crowd(instance.address, 24, _unfinished_body) as bodies,
            Crowd(instance.address, 600, _head_without_end),
            Crowd(instance.address, 24, _whole_body),
            Crowd(instance.address, 30, _body_in_single_bytes),
            Crowd(instance.address, 12, _bodies_behind_a_request),
        ):
            bodies.stay(at_least_s=_STAY_S, at_most_s=_SEND_S)
            _check(instance)
        _check(instance)


class TestCalm:
    @pytest.mark.parametrize("is_chunked", [False, True], ids=["sized", "chunked"])
    def test_largest_body_is_served(self, fleet: GatewayFleet, is_chunked: bool) -> None:
        # Guards against bounds that a single request inside the limits meets.
        instance = fleet.start_instance("sto-a-1")
        body = b"x" * _BODY_BYTES
        answer = httpx.post(
            instance.url + PREFIX,
            headers=request_headers("large"),
            content=iter([body]) if is_chunked else body,
            timeout=10,
        )
        assert answer.status_code == httpx.codes.OK
        assert answer.content.count(b"id:") == 5

    def test_slowly_sent_body_is_served(self, fleet: GatewayFleet) -> None:
        # Guards against a least rate that a caller on a thin link cannot keep.
        instance = fleet.start_instance("sto-a-1")

        def pieces() -> Iterator[bytes]:
            for _ in range(15):
                time.sleep(0.2)
                yield b"x"

        answer = httpx.post(
            instance.url + PREFIX, headers=request_headers("slow"), content=pieces(), timeout=10
        )
        assert answer.status_code == httpx.codes.OK


class TestDescriptors:
    def test_connections_without_a_request_leave_descriptors_for_others(
        self, fleet: GatewayFleet
    ) -> None:
        # Guards against idle callers that take every descriptor; none is left for upstreams.
        instance = fleet.start_instance("sto-a-1", max_descriptors=_DESCRIPTORS)
        with Crowd(instance.address, 2 * _DESCRIPTORS, _nothing) as crowd:
            crowd.stay(at_least_s=1.0, at_most_s=_SEND_S)
            held = HeldByProcess.read(instance)
            assert held.descriptors <= _MAX_DESCRIPTORS, held
            _check(instance)
        _check(instance)

    def test_running_requests_leave_descriptors_for_others(self, fleet: GatewayFleet) -> None:
        # Guards against requests whose connections to upstreams take the last descriptors.
        fleet.engines[0].kill()
        fleet.start_engine("engine-a", event_s=0.5)
        instance = fleet.start_instance("sto-a-1", max_descriptors=_DESCRIPTORS)
        with Crowd(instance.address, _DESCRIPTORS, _unread_stream) as crowd:
            crowd.stay(at_least_s=1.0, at_most_s=_SEND_S)
            held = HeldByProcess.read(instance)
            assert held.descriptors <= _MAX_DESCRIPTORS, held
            _check(instance)
        _check(instance)

    @pytest.mark.parametrize("script", [_unfinished_body, _endless_chunk_extension])
    def test_request_without_an_end_is_given_up(
        self, fleet: GatewayFleet, script: Callable[[Caller], Awaitable[None]]
    ) -> None:
        # Guards against connections that stay as long as their callers do not end a request.
        instance = fleet.start_instance("sto-a-1")
        assert _is_served(instance)
        before = HeldByProcess.read(instance).descriptors
        with Crowd(instance.address, 60, script) as crowd:
            # The deadline, and the time in which the rest of a refused body is read.
            crowd.stay(at_least_s=20.0, at_most_s=1.0)
            held = HeldByProcess.read(instance)
            assert held.descriptors <= before + _SPARE_DESCRIPTORS, held
            _check(instance)

    def test_callers_that_read_no_answer_are_given_up(self, fleet: GatewayFleet) -> None:
        # Guards against connections that stay as long as their callers do not read.
        fleet.engines[0].kill()
        fleet.start_engine("engine-a", event_s=0.0, event_count=10, padding_bytes=950_000)
        instance = fleet.start_instance("sto-a-1")
        assert _is_served(instance)
        before = HeldByProcess.read(instance).descriptors
        with Crowd(instance.address, 60, _unread_stream) as crowd:
            crowd.stay(at_least_s=30.0, at_most_s=1.0)
            held = HeldByProcess.read(instance)
            assert held.descriptors <= before + _SPARE_DESCRIPTORS, held
            _check(instance)
