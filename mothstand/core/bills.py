"""Fold of the ``bills`` stream: totals billed to each budget, with each request counted once."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..types import BudgetName
    from .records import BillLine, BillsPosted


@dataclass(slots=True)
class BilledTotals:
    """Totals billed to one budget."""

    tokens: int = 0
    requests: int = 0
    estimated_requests: int = 0


class BillFold:
    """Applies the first bill of each request and drops later ones.

    The instance that ran a request posts its bill or, if that instance died, the leaseholder or
    its witness does. They cannot coordinate, so duplicates are detected by request id.
    """

    def __init__(self) -> None:
        self.lines: dict[str, BillLine] = {}
        self.billed: dict[BudgetName, BilledTotals] = {}
        self.duplicate_lines = 0

    def apply(self, _offset: int, record: BillsPosted) -> None:
        """Add the lines of a record to the totals."""
        for line in record.lines:
            if line.request_id in self.lines:
                self.duplicate_lines += 1
                continue
            self.lines[line.request_id] = line
            billed = self.billed.setdefault(line.budget, BilledTotals())
            billed.tokens += line.tokens
            billed.requests += 1
            billed.estimated_requests += line.estimated
