"""Events on standard output: how many, and what is said of those that were dropped."""

from __future__ import annotations

import logging
import os
import subprocess
import sys
from datetime import UTC, datetime

from ..clock import Clock
from ..gateway.log_output import LineRateFilter, LineTokenBucket

_RECORD = logging.LogRecord("absl", logging.INFO, "file", 1, "line", None, None)


class _ManualClock(Clock):
    def __init__(self) -> None:
        self.now_s = 50.0

    def now(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC)

    def monotonic_s(self) -> float:
        return self.now_s

    async def sleep(self, delay_s: float) -> None:
        raise NotImplementedError


_SET_UP = (
    "from mothstand.clock import SystemClock\n"
    "from mothstand.events import Event, emit\n"
    "from mothstand.gateway.log_output import set_up_events\n"
    "set_up_events(SystemClock())\n"
)


class TestLineRateFilter:
    def test_many_events_are_limited_to_line_rate(self) -> None:
        """Symptom: an overloaded instance gets slower still.

        Sequence: thousands of requests a second are refused, each with a line.
        Cause: writing took the processor time that requests need.
        """
        clock = _ManualClock()
        output = LineRateFilter(clock)
        written = 0
        for _ in range(10_000):
            clock.now_s += 1 / 5_000
            written += output.filter(_RECORD)
        # Two seconds of 200 lines, and the burst.
        assert 700 <= written <= 810

    def test_dropped_lines_are_counted(self) -> None:
        clock = _ManualClock()
        budget = LineTokenBucket(available_lines=1.0, updated_s=clock.now_s)
        assert budget.try_acquire(clock.now_s)
        assert not budget.try_acquire(clock.now_s)
        assert budget.dropped_lines == 1
        assert budget.try_acquire(clock.now_s + 1.0)

    def test_full_pipe_does_not_block_the_process(self) -> None:
        """Symptom: an instance serves nothing more, and its processor is idle.

        Sequence: whoever reads the instance's standard output stops reading; the pipe fills up.
        Cause: the next line waits until there is room.
        """
        code = _SET_UP + "for n in range(390): emit(Event.REQUEST_REFUSED, detail='x' * 1000)\n"
        read_end, write_end = os.pipe()
        try:
            done = subprocess.run([sys.executable, "-c", code], stdout=write_end, timeout=20)
        finally:
            os.close(read_end)
            os.close(write_end)
        assert done.returncode == 0

    def test_library_traceback_becomes_one_event(self) -> None:
        """Symptom: a log of tracebacks, of which no line names a request or can be searched for.

        Sequence: callers go away in mid-stream; the HTTP library logs each with its traceback.
        Cause: libraries' records went to the output as they were.
        """
        code = _SET_UP + (
            "import logging\n"
            "try:\n    raise ConnectionError('gone')\n"
            "except ConnectionError:\n"
            "    logging.getLogger('aiohttp.server').exception('Error handling request')\n"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, timeout=20)
        (line,) = done.stdout.decode().splitlines()
        assert "MS9002 library_message" in line
        assert "aiohttp.server" in line and "ConnectionError('gone')" in line
        assert done.stderr == b""

    def test_events_go_to_standard_output(self) -> None:
        """Symptom: who collects standard output gets no events.

        Sequence: an instance starts; its events are read from standard output.
        Cause: the logging library writes to standard error until its flags are parsed.
        """
        code = _SET_UP + "emit(Event.REQUEST_REFUSED, detail='x')\n"
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, timeout=20)
        assert b"MS7001 request_refused" in done.stdout
        assert done.stderr == b""
