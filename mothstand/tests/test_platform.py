"""Writing to and reading from the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..core.records import BillLine, BillsPosted, Record, RecordId
from ..log.client import LogBusyError, LogError
from ..log.codec import decode, encode
from ..log.health import UNREACHABLE_AFTER_S, PlatformHealth
from ..log.monitored import MonitoredLog
from ..log.reader import LogReader
from ..log.writer import LogWriter, Pace
from ..testing.fakes import FakeClock, FakeLog
from ..types import BudgetName

if TYPE_CHECKING:
    from collections.abc import Callable

STREAM = "bills"


def bill_maker(request_id: str) -> Callable[[RecordId], BillsPosted]:
    """Return the maker of a record with one bill."""
    line = BillLine(request_id, BudgetName("lund"), 5)
    return lambda record_id: BillsPosted(record_id, (line,))


def make_writer(log: FakeLog, clock: FakeClock, pace: Pace) -> LogWriter[BillsPosted]:
    """Return a writer to the stream."""
    return LogWriter(log, STREAM, author="a", clock=clock, pace=pace)


class BusyLog(FakeLog):
    """A log that is above its rate limit."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Refuse."""
        raise LogBusyError("too many")


async def run_tasks_until_idle() -> None:
    """Let all tasks run until they wait."""
    for _ in range(20):
        await anyio.lowlevel.checkpoint()


class TestWriter:
    def test_append_retried_after_lost_answer_keeps_order_and_ids(self) -> None:
        """Symptom: a record stands in the log twice under two ids, or after a later one.

        Sequence: an append takes effect and its answer is lost; more records are queued.
        Cause it guards against: a new id for the second try; sending the next record first.
        """

        async def run() -> None:
            log, clock = FakeLog(), FakeClock()
            log.answers_to_lose = 1
            writer = make_writer(log, clock, Pace(0.0))
            writer.submit(bill_maker("r1"))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(writer.flush)
                await run_tasks_until_idle()
                writer.submit(bill_maker("r2"))
                clock.advance(1.0)
                await run_tasks_until_idle()
            sequences = [
                [r.record_id.sequence for r in decode(t.encode())] for t in log.records[STREAM]
            ]
            assert sequences == [[1], [1], [2]]
            assert writer.pending == 0

        anyio.run(run)

    def test_bills_within_linger_share_an_append(self) -> None:
        async def run() -> None:
            log, clock = FakeLog(), FakeClock()
            writer = make_writer(log, clock, Pace(0.1, linger_s=60.0, full_batch_records=3))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(writer.run)
                writer.submit(bill_maker("r1"))
                await run_tasks_until_idle()
                assert STREAM not in log.records
                clock.advance(61.0)
                await run_tasks_until_idle()
                assert len(log.records[STREAM]) == 1
                clock.advance(1.0)
                await run_tasks_until_idle()
                for number in range(3):
                    writer.submit(bill_maker(f"s{number}"))
                await run_tasks_until_idle()
                assert len(log.records[STREAM]) == 2
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_disable_linger_appends_at_once(self) -> None:
        async def run() -> None:
            log, clock = FakeLog(), FakeClock()
            writer = make_writer(log, clock, Pace(0.1, linger_s=60.0, full_batch_records=100))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(writer.run)
                writer.submit(bill_maker("r1"))
                await run_tasks_until_idle()
                writer.disable_linger()
                await run_tasks_until_idle()
                assert writer.pending == 0
                tasks.cancel_scope.cancel()

        anyio.run(run)


class TestReader:
    def test_records_are_applied_once_and_damaged_ones_skipped(self) -> None:
        async def run() -> None:
            log = FakeLog()
            seen: list[int] = []

            def apply(offset: int, _record: Record) -> None:
                seen.append(offset)

            reader = LogReader(log, STREAM, apply, clock=FakeClock())
            await log.append(STREAM, encode((bill_maker("r1")(RecordId("a", 1)),)))
            await log.append(STREAM, b"damaged")
            await log.append(STREAM, encode((bill_maker("r2")(RecordId("a", 2)),)))
            for _ in range(2):
                await reader.read_once(wait_s=0.0)
            assert seen == [1, 3]
            assert reader.is_caught_up

        anyio.run(run)


class TestHealth:
    def test_end_of_outage_is_detected_on_quiet_stream(self) -> None:
        """Symptom: requests are refused, "the platform is out", for seconds after it came back.

        Sequence: the log is down, then up; nobody appends to the stream that is read.
        Cause: the first read after the outage waited for a record, and only its answer told.
        """

        async def run() -> None:
            clock = FakeClock()
            log, health = FakeLog(clock), PlatformHealth(clock)
            reader = LogReader(MonitoredLog(log, health), STREAM, lambda *_: None, clock=clock)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(reader.run)
                await run_tasks_until_idle()
                log.is_down = True
                for _ in range(100):
                    clock.advance(0.1)
                    await run_tasks_until_idle()
                assert health.is_unreachable
                log.is_down = False
                # The longest pause between two tries, and no waiting read.
                for _ in range(15):
                    clock.advance(0.1)
                    await run_tasks_until_idle()
                assert health.failing_s() == 0.0
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_answer_to_another_call_ends_the_outage(self) -> None:
        """Symptom: a witness promotes itself, or a request is refused, while the log answers.

        Sequence: a read fails, an append is answered.
        Cause it guards against: one stream's reader speaking for the log.
        """

        async def run() -> None:
            clock = FakeClock()
            log, health = FakeLog(), PlatformHealth(clock)
            watched = MonitoredLog(log, health)
            log.is_down = True
            with pytest.raises(LogError):
                await watched.read(STREAM, 1, wait_s=0.0)
            clock.advance(UNREACHABLE_AFTER_S)
            assert health.is_unreachable
            log.is_down = False
            await watched.append(STREAM, b"x")
            assert not health.is_unreachable

        anyio.run(run)

    def test_rate_limited_log_is_reachable(self) -> None:
        async def run() -> None:
            health = PlatformHealth(FakeClock())
            with pytest.raises(LogBusyError):
                await MonitoredLog(BusyLog(), health).append(STREAM, b"x")
            assert health.failing_s() == 0.0

        anyio.run(run)


class TestCodec:
    @given(st.binary())
    def test_any_payload_is_decoded_or_raises_value_error(self, payload: bytes) -> None:
        try:
            decode(payload)
        except ValueError:
            return

    def test_records_round_trip(self) -> None:
        records = (bill_maker("r")(RecordId("a", 1)),)
        assert decode(encode(records)) == records

    def test_unknown_record_kind_is_rejected(self) -> None:
        with pytest.raises(ValueError, match="not records"):
            decode(b'[{"kind": "other"}]')
