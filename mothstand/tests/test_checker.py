"""The history checker finds each violation that is planted."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ..core.records import BillLine
from ..standins.engine import answer_tokens
from ..testing.checker import JournalLine, RunHistory, find_violations
from ..testing.load import CallOutcome, CallRecord
from ..types import BudgetName

LUND = BudgetName("lund")
ANSWER = "".join(answer_tokens("entry 1", 4))
CALL = CallRecord("entry 1", CallOutcome.COMPLETE, 0.1, 0.0, 4, "lund/1", ANSWER, 6)
REFUSED = CallRecord(
    "entry 2", CallOutcome.REFUSED, 0.1, 0.0, 4, run_state="not run", kind="overloaded"
)
RAN = JournalLine("lund/1/1", "entry 1", 2, 4)
BILL = BillLine("lund/1", LUND, 6)
CLEAN = RunHistory((CALL, REFUSED), (RAN,), (BILL,), 100)


class TestChecker:
    def test_clean_history_has_no_violation(self) -> None:
        assert find_violations(CLEAN) == []

    @pytest.mark.parametrize(
        ("history", "said"),
        [
            (replace(CLEAN, paid_tokens=5), "billed 6 of 5"),
            (replace(CLEAN, bill_lines=(BILL, BILL)), "billed 2 times"),
            (replace(CLEAN, bill_lines=()), "never billed"),
            (replace(CLEAN, bill_lines=(replace(BILL, tokens=7),)), "billed 7"),
            (replace(CLEAN, journal=()), "never ran"),
            (
                replace(CLEAN, journal=(RAN, JournalLine("lund/2/1", "entry 2", 2, 1))),
                "refused as not run and ran",
            ),
            (replace(CLEAN, calls=(replace(CALL, text="w1 "),)), "got 'w1 '"),
            (
                replace(
                    CLEAN, calls=(CALL, replace(CALL, outcome=CallOutcome.BROKEN, text="other"))
                ),
                "another's beginning",
            ),
        ],
    )
    def test_violation_is_found(self, history: RunHistory, said: str) -> None:
        assert any(said in sentence for sentence in find_violations(history))
