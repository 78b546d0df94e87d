"""Tests of writing to and reading from the log."""

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
    """Return a function that makes a record with one bill."""
    line = BillLine(request_id, BudgetName("lund"), 5)
    return lambda record_id: BillsPosted(record_id, (line,))


def make_writer(log: FakeLog, clock: FakeClock, pace: Pace) -> LogWriter[BillsPosted]:
    """Return a writer to the stream."""
    return LogWriter(log, STREAM, author="a", clock=clock, pace=pace)


class BusyLog(FakeLog):
    """Log that refuses appends because of its rate limit."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Raise `LogBusyError`."""
        raise LogBusyError("too many")


async def run_tasks_until_idle() -> None:
    """Run all tasks until they wait."""
    for _ in range(20):
        await anyio.lowlevel.checkpoint()


class TestWriter:
    def test_append_retried_after_lost_answer_keeps_order_and_ids(self) -> None:
        """Guards against a record that is in the log under two ids, or after a later one.

        An append takes effect, its answer is lost, and more records are queued. The retry must
        use the same id and precede the next record.
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
        """Guards against refusing requests for seconds after the end of an outage of the platform.

        The log is down, then up, and nothing is appended to the stream that is read. The first
        read after the outage waited for a record, so its answer was the first sign of recovery.
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
                # Enough for the longest retry delay, but not for a waiting read.
                for _ in range(15):
                    clock.advance(0.1)
                    await run_tasks_until_idle()
                assert health.failing_s() == 0.0
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_answer_to_another_call_ends_the_outage(self) -> None:
        """Guards against promoting a witness or refusing a request while the log answers.

        A read fails and an append is answered: a failure of one stream must not decide alone
        whether the log is reachable.
        """

        async def run() -> None:
            clock = FakeClock()
            log, health = FakeLog(), PlatformHealth(clock)
            monitored = MonitoredLog(log, health)
            log.is_down = True
            with pytest.raises(LogError):
                await monitored.read(STREAM, 1, wait_s=0.0)
            clock.advance(UNREACHABLE_AFTER_S)
            assert health.is_unreachable
            log.is_down = False
            await monitored.append(STREAM, b"x")
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
