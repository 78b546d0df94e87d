"""Tests that the checks of the soak find each broken rule, and nothing else."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ..testing.soak.checks import Violation, violations
from ..testing.soak.records import PROMISES, Attempt, Kind, Run, SoakLog, event

_EVENTS = 3
_WHOLE = b'{"subject": "s1", "fill": "xxx"}'
_OTHER = b'{"subject": "s1", "fill": "yyy"}'
_STREAM = b"".join(event(number, "s1", "v1") for number in (1, 2, 3))
_RUN = Run("u1", "v1", 0.0, 200, "sig-1", _WHOLE)
_STREAM_RUN = replace(_RUN, body=_STREAM)
_ANSWERED = Attempt(
    "s1-0", Kind.ONCE, "s1", "front-0", 0.0, 0, 200, ("s1-0",), "sig-1", _WHOLE, is_complete=True
)
_STREAMED = replace(_ANSWERED, kind=Kind.STREAM, body=_STREAM)
_RESUMABLE = replace(_STREAMED, kind=Kind.RESUMABLE)
#: An answer of the instance itself.
_REFUSED = replace(_ANSWERED, status=503, signature="", body=b"refused")
_FAILED = replace(_REFUSED, status=502)


def _events(*numbers: int, subject: str = "s1", version: str = "v1") -> bytes:
    return b"".join(event(number, subject, version) for number in numbers)


def _judge(attempt: Attempt, *runs: Run) -> list[Violation]:
    log = SoakLog()
    log.attempts[attempt.request_id] = attempt
    if runs:
        log.runs[attempt.request_id] = list(runs)
    return violations(log, _EVENTS, is_undisturbed=False)


class TestRuns:
    @pytest.mark.parametrize("kind", [Kind.ONCE, Kind.STREAM])
    @pytest.mark.parametrize("second_upstream", ["u1", "u2"])
    def test_second_run_of_a_request_that_may_run_once_is_found(
        self, kind: Kind, second_upstream: str
    ) -> None:
        answered = _STREAMED if kind.is_stream else _ANSWERED
        run = _STREAM_RUN if kind.is_stream else _RUN
        second = replace(run, upstream_id=second_upstream, signature="sig-2")
        assert [v.rule for v in _judge(answered, run, second)] == ["TWICE"]

    @pytest.mark.parametrize("status", sorted(PROMISES))
    @pytest.mark.parametrize("kind", [Kind.ONCE, Kind.STREAM])
    def test_request_that_was_refused_and_ran_is_found(self, kind: Kind, status: int) -> None:
        refused = replace(_REFUSED, kind=kind, status=status)
        assert [v.rule for v in _judge(refused, _RUN)] == ["REFUSED"]

    @pytest.mark.parametrize("kind", [Kind.REPEATABLE, Kind.RESUMABLE])
    def test_request_that_may_run_twice_may_be_refused_after_runs(self, kind: Kind) -> None:
        refused = replace(_REFUSED, kind=kind)
        assert _judge(refused, _RUN, replace(_RUN, upstream_id="u2", signature="sig-2")) == []

    @pytest.mark.parametrize("kind", [Kind.REPEATABLE, Kind.RESUMABLE])
    def test_second_run_at_the_same_upstream_is_found(self, kind: Kind) -> None:
        """Guards against an attempt that ran and counted as not sent."""
        refused = replace(_REFUSED, kind=kind)
        assert [v.rule for v in _judge(refused, _RUN, replace(_RUN, signature="sig-2"))] == [
            "TWICE"
        ]

    @pytest.mark.parametrize("kind", list(Kind))
    def test_refusal_without_a_run_is_allowed(self, kind: Kind) -> None:
        assert _judge(replace(_REFUSED, kind=kind)) == []

    @pytest.mark.parametrize("kind", list(Kind))
    def test_failure_after_a_run_is_allowed(self, kind: Kind) -> None:
        assert _judge(replace(_FAILED, kind=kind), _RUN) == []

    def test_run_that_no_caller_sent_is_found(self) -> None:
        log = SoakLog()
        log.runs["s2-0"].append(_RUN)
        assert violations(log, _EVENTS, is_undisturbed=False) == [
            Violation("UNASKED", "s2-0", "no caller sent it")
        ]

    @pytest.mark.parametrize("kind", list(Kind))
    def test_run_with_the_body_of_another_request_is_found(self, kind: Kind) -> None:
        """Guards against a request whose body was exchanged: its answer is that run's, whole."""
        body = _events(1, subject="s2") if kind.is_stream else _WHOLE.replace(b"s1", b"s2")
        run = replace(_RUN, body=body)
        assert [v.rule for v in _judge(replace(_FAILED, kind=kind), run)] == ["UNASKED"]


class TestAnswers:
    @pytest.mark.parametrize("kind", [Kind.ONCE, Kind.REPEATABLE])
    def test_whole_answer_of_its_run_is_allowed(self, kind: Kind) -> None:
        assert _judge(replace(_ANSWERED, kind=kind), _RUN) == []

    def test_answer_of_any_run_of_an_idempotent_request_is_allowed(self) -> None:
        answered = replace(_ANSWERED, kind=Kind.REPEATABLE, signature="sig-2", body=_OTHER)
        assert (
            _judge(answered, _RUN, replace(_RUN, upstream_id="u2", signature="sig-2", body=_OTHER))
            == []
        )

    @pytest.mark.parametrize("status", [500, 504])
    def test_signed_failure_of_its_run_is_allowed(self, status: int) -> None:
        assert _judge(replace(_ANSWERED, status=status), replace(_RUN, status=status)) == []

    @pytest.mark.parametrize(
        "changed",
        [
            replace(_ANSWERED, body=_OTHER),
            replace(_ANSWERED, body=_WHOLE[:-1]),
            replace(_ANSWERED, body=b""),
            replace(_ANSWERED, body=_WHOLE + b"x"),
            replace(_ANSWERED, body=_OTHER[:-1], is_complete=False),
            replace(_ANSWERED, status=500),
            replace(_ANSWERED, status=201),
            replace(_ANSWERED, signature=""),
            replace(_ANSWERED, signature="sig-2"),
            replace(_ANSWERED, request_ids=("s2-0",)),
            replace(_ANSWERED, request_ids=("s1-0", "s2-0")),
            replace(_ANSWERED, request_ids=("s1-0", "s1-0")),
            replace(_ANSWERED, protocol_error="bytes behind the answer: b'HTTP/1.1 503 X'"),
            replace(_FAILED, signature="sig-1", body=_WHOLE),
            replace(_FAILED, request_ids=("s2-0",)),
        ],
        ids=[
            "body of another run",
            "short body that looks complete",
            "empty body that looks complete",
            "bytes behind the body",
            "broken body of another run",
            "failure under the signature of a success",
            "another success than that of the run",
            "success without a signature",
            "signature of no run",
            "id of another request",
            "two ids",
            "its id twice",
            "bytes behind the answer",
            "own failure under the signature of a success",
            "failure with the id of another request",
        ],
    )
    def test_answer_that_is_not_that_of_its_run_is_found(self, changed: Attempt) -> None:
        assert {v.rule for v in _judge(changed, _RUN)} == {"MIXED"}

    def test_success_where_the_run_failed_is_found(self) -> None:
        """Guards against a failure of an upstream that its caller takes for a success."""
        assert [v.rule for v in _judge(_ANSWERED, replace(_RUN, status=500))] == ["MIXED"]

    def test_signed_success_without_any_run_is_found(self) -> None:
        assert [v.rule for v in _judge(_ANSWERED)] == ["MIXED"]

    @pytest.mark.parametrize("length", [0, 1, len(_WHOLE) - 1, len(_WHOLE)])
    @pytest.mark.parametrize("has_left", [True, False])
    def test_answer_that_broke_off_or_was_left_is_allowed(
        self, length: int, *, has_left: bool
    ) -> None:
        broken = replace(_ANSWERED, body=_WHOLE[:length], is_complete=False, has_left=has_left)
        assert _judge(broken, _RUN) == []

    def test_caller_that_left_before_a_head_is_allowed(self) -> None:
        left = Attempt("s1-0", Kind.ONCE, "s1", "front-0", 0.0, has_left=True)
        assert _judge(left, _RUN) == []


class TestStreams:
    @pytest.mark.parametrize("streamed", [_STREAMED, _RESUMABLE], ids=lambda a: a.kind.name)
    def test_whole_stream_is_allowed(self, streamed: Attempt) -> None:
        assert _judge(streamed, _STREAM_RUN) == []

    @pytest.mark.parametrize("events", range(_EVENTS + 1))
    @pytest.mark.parametrize("streamed", [_STREAMED, _RESUMABLE], ids=lambda a: a.kind.name)
    def test_broken_stream_that_is_a_prefix_is_allowed(
        self, streamed: Attempt, events: int
    ) -> None:
        body = _events(*range(1, events + 1))
        assert _judge(replace(streamed, body=body, is_complete=False), _STREAM_RUN) == []

    def test_stream_from_two_runs_of_one_version_is_allowed_where_it_may_resume(self) -> None:
        first = replace(_RUN, body=_events(1))
        second = replace(_RUN, upstream_id="u2", signature="sig-2", body=_events(2, 3))
        assert _judge(_RESUMABLE, first, second) == []

    @pytest.mark.parametrize("events", [(3,), ()])
    def test_stream_that_its_caller_resumed_is_allowed(self, events: tuple[int, ...]) -> None:
        resumed = replace(_RESUMABLE, after_event=_EVENTS - len(events), body=_events(*events))
        assert _judge(resumed, replace(_RUN, body=_events(*events))) == []

    @pytest.mark.parametrize("streamed", [_STREAMED, _RESUMABLE], ids=lambda a: a.kind.name)
    @pytest.mark.parametrize("is_complete", [True, False])
    @pytest.mark.parametrize(
        "body",
        [
            _events(1, 3),
            _events(2, 3),
            _events(1, 2, 2, 3),
            _events(1, 2, 1, 2, 3),
            _events(1, 2, 3, 1),
            _events(1) + _events(2, subject="s2") + _events(3),
            _events(1) + _events(2, 3, version="v2"),
            _events(1, 2, 3) + b"HTTP/1.1 503 X\r\n\r\n",
            _events(1) + b"\n" + _events(2, 3),
            _events(1, 2) + b"id: 3\ndata: {}\n\n",
        ],
        ids=[
            "gap",
            "first event missing",
            "event twice",
            "begun anew",
            "number that goes back at the end",
            "event of another stream",
            "two versions",
            "bytes behind the events",
            "bytes between two events",
            "event without the data of an upstream",
        ],
    )
    def test_stream_out_of_order_is_found(
        self, streamed: Attempt, body: bytes, *, is_complete: bool
    ) -> None:
        found = _judge(replace(streamed, body=body, is_complete=is_complete), _STREAM_RUN)
        assert {v.rule for v in found} == {"ORDER"}

    @pytest.mark.parametrize("events", range(_EVENTS))
    @pytest.mark.parametrize("streamed", [_STREAMED, _RESUMABLE], ids=lambda a: a.kind.name)
    def test_stream_that_is_complete_before_its_last_event_is_found(
        self, streamed: Attempt, events: int
    ) -> None:
        body = _events(*range(1, events + 1))
        found = _judge(replace(streamed, body=body), replace(_RUN, body=body))
        assert [v.rule for v in found] == ["ORDER"]

    def test_resumption_that_repeats_an_event_is_found(self) -> None:
        resumed = replace(_RESUMABLE, after_event=2, body=_events(2, 3))
        assert [v.rule for v in _judge(resumed, _STREAM_RUN)] == ["ORDER"]

    def test_stream_that_may_not_resume_joined_from_two_runs_is_found(self) -> None:
        runs = replace(_RUN, body=_events(1)), replace(_RUN, body=_events(2, 3))
        assert {v.rule for v in _judge(_STREAMED, *runs)} == {"TWICE", "ORDER"}

    @pytest.mark.parametrize("streamed", [_STREAMED, _RESUMABLE], ids=lambda a: a.kind.name)
    def test_versions_that_are_joined_within_an_answer_are_found(self, streamed: Attempt) -> None:
        body = _events(1) + _events(2, 3, version="v2")
        found = _judge(replace(streamed, body=body), replace(_RUN, body=body))
        assert [v.rule for v in found] == ["ORDER"]

    def test_versions_that_are_joined_over_tries_are_found(self) -> None:
        log = SoakLog()
        log.versions["s1"] = ["v1", "v1", "v2"]
        assert [(v.rule, v.request_id) for v in violations(log, _EVENTS, is_undisturbed=False)] == [
            ("ORDER", "s1")
        ]

    def test_tries_of_one_version_are_allowed(self) -> None:
        log = SoakLog()
        log.versions["s1"] = ["v1", "v1"]
        assert violations(log, _EVENTS, is_undisturbed=False) == []
