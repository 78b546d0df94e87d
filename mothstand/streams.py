"""Names of the log's streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .types import Shard

CONFIG_STREAM = "config"
BILLS_STREAM = "bills"
INTENTS_STREAM = "intents"
ORDERS_STREAM = "orders"


def ledger_stream(shard: Shard) -> str:
    """Return the name of a ledger shard's stream."""
    return f"ledger-{shard}"
