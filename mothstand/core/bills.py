"""The fold of the ``bills`` stream: what each budget was billed, each request once."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..types import BudgetName
    from .records import BillLine, BillsPosted


@dataclass(slots=True)
class BilledTotals:
    """Sums of one budget."""

    tokens: int = 0
    requests: int = 0
    estimated_requests: int = 0


class BillFold:
    """First bill of a request wins.

    A bill is posted by the instance that ran the request and, when that died, by the leaseholder
    or its witness; the three cannot agree who does, so the request's id decides.
    """

    def __init__(self) -> None:
        self.lines: dict[str, BillLine] = {}
        self.billed: dict[BudgetName, BilledTotals] = {}
        self.duplicate_lines = 0

    def apply(self, _offset: int, record: BillsPosted) -> None:
        """Apply the record."""
        for line in record.lines:
            if line.request_id in self.lines:
                self.duplicate_lines += 1
                continue
            self.lines[line.request_id] = line
            billed = self.billed.setdefault(line.budget, BilledTotals())
            billed.tokens += line.tokens
            billed.requests += 1
            billed.estimated_requests += line.estimated
