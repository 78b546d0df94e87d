"""Tests that crashes of upstreams are distinguished from connections that merely broke."""

from __future__ import annotations

import socket

import anyio

from ..core.suspects import Suspect, SuspectId
from ..core.upstreams import RegisteredUpstream
from ..gateway.quarantine.crash_detector import (
    AttemptSuspect,
    BrokenAttempt,
    CorroboratedCheck,
    CrashDetector,
    Liveness,
    LivenessCheck,
    TcpLivenessCheck,
)
from ..testing.virtual_time import VirtualClock, run_in_virtual_time
from ..types import DataCentre


def upstream(*, draining: bool = False, born_ms: int = 1) -> RegisteredUpstream:
    return RegisteredUpstream("i-1", "llm", "e1:1", DataCentre("sto-a"), 8, draining, born_ms)


def attempt(request_id: str, *, looks_complete: bool = False) -> BrokenAttempt:
    digest = SuspectId(f"digest-{request_id}")
    return BrokenAttempt(request_id, digest, (AttemptSuspect(Suspect(digest)),), looks_complete)


class ScriptedCheck(LivenessCheck):
    def __init__(self, *script: Liveness) -> None:
        self.checks = 0
        self._script = list(script)

    async def check(self, address: str) -> Liveness:
        self.checks += 1
        return self._script.pop(0)


class DetectorHarness:
    def __init__(self, *script: Liveness) -> None:
        self.crashed_request_ids: list[str] = []
        self.check = ScriptedCheck(*script)
        self.detector = CrashDetector(
            self.check,
            VirtualClock(),
            lambda _, attempt: self.crashed_request_ids.append(attempt.request_id),
        )

    def play(self, *steps: object) -> None:
        """Run the detector with steps: seconds to wait, broken attempts, deregistered upstreams."""

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.detector.run)
                for step in steps:
                    if isinstance(step, BrokenAttempt):
                        self.detector.note_broken_attempt(upstream(), step)
                    elif isinstance(step, RegisteredUpstream):
                        self.detector.note_process_ended(step)
                    elif isinstance(step, float):
                        await anyio.sleep(step)
                tasks.cancel_scope.cancel()

        run_in_virtual_time(main)


class TestCrashDetector:
    def test_refused_connection_proves_crash_for_all_broken_requests(self) -> None:
        world = DetectorHarness(Liveness.NOT_LISTENING)
        world.play(attempt("a"), attempt("b"), 0.1, attempt("c"))
        assert world.crashed_request_ids == ["a", "b", "c"]
        assert world.check.checks == 1

    def test_answer_that_looks_complete_is_blamed_for_a_crash_at_its_end(self) -> None:
        # Guards against crashes that end an answer without a length, so that it looks whole.
        world = DetectorHarness(Liveness.NOT_LISTENING)
        world.play(attempt("a", looks_complete=True), 0.1)
        assert world.crashed_request_ids == ["a"]

    def test_complete_answer_is_not_blamed_for_a_later_crash(self) -> None:
        # Guards against blaming all answers without a length that an upstream gave before a crash.
        world = DetectorHarness(Liveness.LISTENING, Liveness.LISTENING)
        world.play(attempt("a", looks_complete=True), 0.5, attempt("b"), 0.5, upstream())
        assert world.crashed_request_ids == ["b"]

    def test_upstream_that_accepts_connections_has_not_crashed(self) -> None:
        # Guards against resets and broken answers of running upstreams that count as crashes.
        world = DetectorHarness(Liveness.LISTENING)
        world.play(attempt("a"), 5.0)
        assert world.crashed_request_ids == []

    def test_upstream_without_answer_is_checked_again(self) -> None:
        world = DetectorHarness(Liveness.UNKNOWN, Liveness.NOT_LISTENING)
        world.play(attempt("a"), 1.0)
        assert world.crashed_request_ids == ["a"]

    def test_deregistration_proves_crash(self) -> None:
        # Guards against a crash that is missed because a restarted process has the address.
        world = DetectorHarness(Liveness.LISTENING)
        world.play(attempt("a"), 4.5, upstream())
        assert world.crashed_request_ids == ["a"]

    def test_deregistration_after_draining_is_no_crash(self) -> None:
        world = DetectorHarness(Liveness.LISTENING)
        world.play(attempt("a"), 1.0, upstream(draining=True))
        assert world.crashed_request_ids == []

    def test_deregistration_long_after_break_is_no_crash(self) -> None:
        world = DetectorHarness(Liveness.UNKNOWN, Liveness.UNKNOWN, Liveness.UNKNOWN)
        world.play(attempt("a"), 11.0, upstream())
        assert world.crashed_request_ids == []


class TestTcpLivenessCheck:
    def test_distinguishes_listener_from_closed_port(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = f"127.0.0.1:{server.getsockname()[1]}"
            assert anyio.run(TcpLivenessCheck(1.0).check, address) is Liveness.LISTENING
        assert anyio.run(TcpLivenessCheck(1.0).check, address) is Liveness.NOT_LISTENING


class TestLaterBreaks:
    def test_break_after_harmless_break_is_checked_again(self) -> None:
        # Guards against a reset that hides a crash of the same upstream some seconds later.
        world = DetectorHarness(Liveness.LISTENING, Liveness.NOT_LISTENING)
        world.play(attempt("a"), 5.0, attempt("b"), 0.1)
        assert "b" in world.crashed_request_ids

    def test_deregistration_soon_after_latest_break_proves_crash(self) -> None:
        world = DetectorHarness(Liveness.LISTENING, Liveness.LISTENING)
        world.play(attempt("a"), 9.0, attempt("b"), 4.5, upstream())
        assert world.crashed_request_ids == ["b"]


class AddressCheck(LivenessCheck):
    """Check whose result depends on the address."""

    def __init__(self, **results: Liveness) -> None:
        self._results = results

    async def check(self, address: str) -> Liveness:
        return self._results[address]


class TestCorroboratedCheck:
    def _check(self, address: str, **results: Liveness) -> Liveness:
        check = CorroboratedCheck(AddressCheck(**results), lambda: list(results))
        return anyio.run(check.check, address)

    def test_refusals_by_all_upstreams_prove_nothing(self) -> None:
        # Guards against crashes that a partition with refused connections seems to show.
        refused = Liveness.NOT_LISTENING
        assert self._check("a", a=refused, b=refused, c=refused) is Liveness.UNKNOWN
        assert self._check("a", a=refused, b=Liveness.UNKNOWN) is Liveness.UNKNOWN

    def test_refusal_beside_an_upstream_that_listens_is_a_proof(self) -> None:
        refused = Liveness.NOT_LISTENING
        assert self._check("a", a=refused, b=Liveness.LISTENING) is refused

    def test_refusal_by_the_only_upstream_is_a_proof(self) -> None:
        assert self._check("a", a=Liveness.NOT_LISTENING) is Liveness.NOT_LISTENING
