"""mothstand: a router fleet for prepaid token budgets."""

from __future__ import annotations

__version__ = "0.1.0"
