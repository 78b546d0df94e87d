"""Tests of `mothstand explain` on logs of instances."""

from __future__ import annotations

import json

from ..operators.explain import explain, explanation_lines


def log_line(at: str, number: int, name: str, **fields: object) -> str:
    return f"  7.1 front-1 I1203 {at} 1403 events.py:84] MS{number} {name} {json.dumps(fields)}"


def claim_fields(claimed: int, **used: int) -> dict[str, int]:
    return {"claimed": claimed, "spent": 0, "reserved": 0, "given": 0, "received": 0, **used}


def started(at: str, incarnation: str) -> str:
    return log_line(at, 1001, "instance_started", instance="a", incarnation=incarnation)


def written(at: str, incarnation: str, number: int = 4009, **claims: dict[str, int]) -> str:
    return log_line(at, number, "claims", holder=["a", incarnation], claims=claims)


def refused(at: str, detail: str, kind: str = "budget_out_of_reach") -> str:
    return log_line(at, 7001, "request_refused", kind=kind, detail=detail, request="r")


_LOG = [
    started("10:00:00.0", "1"),
    log_line("10:00:01.0", 2001, "config_in_force", prepaid={"lund": 1000}),
    written("10:00:02.0", "1", lund=claim_fields(400, spent=100, reserved=50)),
    log_line("10:00:02.5", 7003, "request_answered", workspace="lund", tokens=100, request="q"),
    started("10:00:09.0", "2"),
    written("10:00:09.5", "1", 4013, lund={"claimed": 250}),
    written("10:00:09.6", "2", lund=claim_fields(600, given=20, received=10)),
    refused("10:00:10.1", "lund: 700 tokens, 590 held here"),
    refused("10:00:10.2", "lund: 500 tokens, 590 held here"),
    refused("10:00:11.2", "lund: 2000 tokens do not fit", "budget_exhausted"),
]


class TestExplain:
    def test_accounts_for_the_tokens_of_a_budget(self) -> None:
        explanation = explain({"a.log": _LOG})
        budget = explanation.budgets["lund"]
        assert (budget.prepaid_tokens, budget.consumed_tokens, budget.free_tokens) == (
            1000,
            100,
            150,
        )
        unused = {holder.incarnation: h.unused_tokens for holder, h in budget.holders.items()}
        assert unused == {"1": 100, "2": 590}
        assert budget.refusals == {
            "too little held here": 1,
            "enough held here": 1,
            "budget_exhausted": 1,
        }

    def test_uncertain_tokens_are_neither_consumed_nor_stranded(self) -> None:
        """Guards against reporting uncertain tokens as stranded.

        Callers disconnect before their answers begin and then the holder of the tokens dies. Claims
        report only confirmed tokens as spent.
        """
        disconnected = log_line(
            "10:00:03.0", 7004, "request_left", workspace="lund", tokens=80, tokens_in_doubt=80
        )
        log = [
            *_LOG[:4],
            disconnected,
            written("10:00:04.0", "1", lund=claim_fields(400, spent=100, in_doubt=80)),
            started("10:00:09.0", "2"),
        ]
        budget = explain({"a.log": log}).budgets["lund"]
        assert (budget.consumed_tokens, budget.uncertain_tokens) == (100, 80)
        assert [h.unused_tokens for h in budget.holders.values()] == [220]

    def test_lines_show_stranded_tokens_and_refusals(self) -> None:
        text = "\n".join(explanation_lines(explain({"a.log": _LOG})))
        assert "100 of lund with a/1: rest given back" in text
        assert "10:00:10  1 too little held here, 1 enough held here" in text

    def test_logs_of_several_instances_are_merged_by_time(self) -> None:
        halves = {"late.log": _LOG[4:], "early.log": _LOG[:4]}
        assert list(explanation_lines(explain(halves))) == list(
            explanation_lines(explain({"a.log": _LOG}))
        )

    def test_events_after_midnight_follow_those_before(self) -> None:
        explanation = explain({"a.log": [started("23:59:59.0", "1"), started("00:00:02.0", "2")]})
        assert explanation.latest_incarnations == {"a": "2"}

    def test_unreadable_lines_are_reported_and_skipped(self) -> None:
        cut_off = _LOG[3][:-20]
        other = log_line(
            "10:00:12.0", 4009, "claims_written", holder=["a", "2"], claims={"lund": [3]}
        )
        explanation = explain(
            {"a.log": [*_LOG, "Traceback (most recent call last):", cut_off, other]}
        )
        assert [fault.partition(" ")[0] for fault in explanation.parse_errors] == [
            "a.log:12:",
            "a.log:",
        ]
        assert explanation.budgets["lund"].consumed_tokens == 100

    def test_lines_show_when_instances_learnt_of_an_evacuation(self) -> None:
        def learnt(at: str) -> str:
            fields = {"data_centre": "sto-c", "offset": 9, "source": "store", "unread_s": 0.4}
            return log_line(at, 6022, "evacuation_began", **fields)

        found = explain({"one": [learnt("10:00:01.0")], "two": [learnt("10:00:03.5")]})
        expected = (
            "evacuation of sto-c began at offset 9: known to 2 instances, 10:00:01 to 10:00:03"
        )
        assert expected in list(explanation_lines(found))
