"""Reads complete streams of the log for operators' commands."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..core.bills import BillFold
from ..core.config import ConfigFold
from ..core.ledger_fold import LedgerFold
from ..core.records import (
    BillsPosted,
    ConfigPublished,
    ConfigSnapshot,
    EngineOrdered,
    LedgerRecord,
    LedgerSnapshot,
    Outcome,
    Record,
    SnapshotRecord,
)
from ..log.codec import decode
from ..settings.folder import validate_sections
from ..streams import BILLS_STREAM, CONFIG_STREAM, ORDERS_STREAM, ledger_stream
from ..types import Shard

if TYPE_CHECKING:
    from ..log.client import LogClient


@dataclass(frozen=True, slots=True)
class LedgerEntry:
    """Ledger record and the decision of the fold on it."""

    shard: Shard
    offset: int
    record: LedgerRecord
    outcome: Outcome


@dataclass(slots=True)
class LogView:
    """Folds of all streams at one point in time."""

    config: ConfigFold = field(default_factory=lambda: ConfigFold(validate_sections))
    ledgers: dict[Shard, LedgerFold] = field(default_factory=dict)
    ledger_entries: list[LedgerEntry] = field(default_factory=list)
    bills: BillFold = field(default_factory=BillFold)
    orders: list[tuple[int, EngineOrdered]] = field(default_factory=list)


async def read_stream(log: LogClient, stream: str) -> list[tuple[int, Record]]:
    """Return all retained records of a stream, with their offsets.

    Raises
    ------
    LogError
        If the log does not answer.
    """
    records: list[tuple[int, Record]] = []
    position = 1
    first_offset: int | None = None
    while True:
        page = await log.read(stream, position, wait_s=0.0)
        if first_offset is None:
            first_offset = page.first_offset
        for offset, payload in page.records:
            try:
                batch = decode(payload.encode())
            except ValueError:
                continue
            records.extend((offset, record) for record in batch)
        if not page.records:
            return _from_snapshot(records, first_offset)
        position = page.next_offset


def _from_snapshot(
    records: list[tuple[int, Record]], first_offset: int
) -> list[tuple[int, Record]]:
    """Return the records, or the first snapshot that covers the trimmed ones and its successors."""
    if first_offset <= 1:
        return records
    for offset, record in records:
        if isinstance(record, SnapshotRecord) and record.at_offset >= first_offset - 1:
            rest = [(o, r) for o, r in records if o > record.at_offset and r is not record]
            return [(offset, record), *rest]
    return records


async def read_config(log: LogClient) -> ConfigFold:
    """Return the fold of the ``config`` stream."""
    fold = ConfigFold(validate_sections)
    for offset, record in await read_stream(log, CONFIG_STREAM):
        if isinstance(record, ConfigSnapshot) and not fold.state.offset:
            fold.load(record)
        elif isinstance(record, ConfigPublished):
            fold.apply(offset, record)
    return fold


async def read_all(log: LogClient, shard_count: int) -> LogView:
    """Return the folds of all streams."""
    view = LogView(config=await read_config(log))
    for number in range(shard_count):
        shard = Shard(number)
        fold = view.ledgers[shard] = LedgerFold(shard)
        for offset, record in await read_stream(log, ledger_stream(shard)):
            if isinstance(record, LedgerSnapshot) and not fold.epochs:
                fold = view.ledgers[shard] = LedgerFold.load(shard, record)
            elif isinstance(record, LedgerRecord):
                outcome = fold.apply(offset, record)
                view.ledger_entries.append(LedgerEntry(shard, offset, record, outcome))
    for offset, record in await read_stream(log, BILLS_STREAM):
        if isinstance(record, BillsPosted):
            view.bills.apply(offset, record)
    for offset, record in await read_stream(log, ORDERS_STREAM):
        if isinstance(record, EngineOrdered):
            view.orders.append((offset, record))
    return view
