"""Tests that crashes of upstreams are distinguished from connections that merely broke."""

from __future__ import annotations

import socket

import anyio

from ..core.request_digest import RequestDigest
from ..core.upstreams import RegisteredUpstream
from ..gateway.end_watch import BrokenAttempt, EndWatch, Liveness, LivenessCheck, TcpLivenessCheck
from ..testing.virtual_time import VirtualClock, run_in_virtual_time
from ..types import DataCentre


def upstream(*, draining: bool = False, born_ms: int = 1) -> RegisteredUpstream:
    return RegisteredUpstream("i-1", "llm", "e1:1", DataCentre("sto-a"), 8, draining, born_ms)


def attempt(request_id: str) -> BrokenAttempt:
    return BrokenAttempt(request_id, RequestDigest(f"digest-{request_id}"))


class ScriptedCheck(LivenessCheck):
    def __init__(self, *script: Liveness) -> None:
        self.checked = 0
        self._script = list(script)

    async def check(self, address: str) -> Liveness:
        self.checked += 1
        return self._script.pop(0)


class World:
    def __init__(self, *script: Liveness) -> None:
        self.ended: list[str] = []
        self.check = ScriptedCheck(*script)
        self.watch = EndWatch(
            self.check, VirtualClock(), lambda _, attempt: self.ended.append(attempt.request_id)
        )

    def play(self, *steps: object) -> None:
        """Run the detector with steps: seconds to wait, broken attempts, deregistered upstreams."""

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.watch.run)
                for step in steps:
                    if isinstance(step, BrokenAttempt):
                        self.watch.broke(upstream(), step)
                    elif isinstance(step, RegisteredUpstream):
                        self.watch.gone(step)
                    elif isinstance(step, float):
                        await anyio.sleep(step)
                tasks.cancel_scope.cancel()

        run_in_virtual_time(main)


class TestEndWatch:
    def test_a_refused_connection_proves_the_end_for_all_that_broke(self) -> None:
        world = World(Liveness.ENDED)
        world.play(attempt("a"), attempt("b"), 0.1, attempt("c"))
        assert world.ended == ["a", "b", "c"]
        assert world.check.checked == 1

    def test_an_upstream_that_takes_connections_has_not_ended(self) -> None:
        # Guards against resets and broken answers of running upstreams that count as crashes.
        world = World(Liveness.LIVES)
        world.play(attempt("a"), 5.0)
        assert world.ended == []

    def test_a_dark_upstream_is_checked_again(self) -> None:
        world = World(Liveness.UNKNOWN, Liveness.ENDED)
        world.play(attempt("a"), 1.0)
        assert world.ended == ["a"]

    def test_a_registration_that_ends_proves_it_too(self) -> None:
        # Guards against a crash that is missed because a restarted process has the address.
        world = World(Liveness.LIVES)
        world.play(attempt("a"), 4.5, upstream())
        assert world.ended == ["a"]

    def test_an_upstream_that_drained_has_not_ended_under_a_request(self) -> None:
        world = World(Liveness.LIVES)
        world.play(attempt("a"), 1.0, upstream(draining=True))
        assert world.ended == []

    def test_an_end_long_after_is_no_proof(self) -> None:
        world = World(Liveness.UNKNOWN, Liveness.UNKNOWN, Liveness.UNKNOWN)
        world.play(attempt("a"), 11.0, upstream())
        assert world.ended == []


class TestTcpLivenessCheck:
    def test_tells_a_listener_from_a_closed_port(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = f"127.0.0.1:{server.getsockname()[1]}"
            assert anyio.run(TcpLivenessCheck(1.0).check, address) is Liveness.LIVES
        assert anyio.run(TcpLivenessCheck(1.0).check, address) is Liveness.ENDED


class TestLaterBreaks:
    def test_an_end_after_a_harmless_break_is_checked_again(self) -> None:
        # Guards against a reset that hides a crash of the same upstream some seconds later.
        world = World(Liveness.LIVES, Liveness.ENDED)
        world.play(attempt("a"), 5.0, attempt("b"), 0.1)
        assert "b" in world.ended

    def test_a_registration_that_ends_soon_after_the_latest_break_proves_it(self) -> None:
        world = World(Liveness.LIVES, Liveness.LIVES)
        world.play(attempt("a"), 9.0, attempt("b"), 4.5, upstream())
        assert world.ended == ["b"]
