"""Events on standard output: bounded in volume, and never waited for."""

from __future__ import annotations

import logging as logging_of_python
import os
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING

from absl import flags, logging

from ..events import Event, emit

if TYPE_CHECKING:
    from ..clock import Clock

#: Lines a second that may be written, on average and at once. Four times those of an instance at
#: twice its usual load; a line is about 250 bytes, so 50 kB a second.
_MAX_LINES_PER_S = 200.0
_BURST_LINES = 400.0

#: Seconds after which it is said how many lines were dropped.
_DROPPED_REPORT_INTERVAL_S = 1.0


#: The logger that `emit` writes to.
_EVENT_LOGGER = "absl"

_MAX_MESSAGE_CHARACTERS = 200


@dataclass(slots=True)
class LineTokenBucket:
    """How many lines may be written; a token bucket."""

    available_lines: float = _BURST_LINES
    updated_s: float = 0.0
    dropped_lines: int = 0

    def try_acquire(self, now_s: float) -> bool:
        """Return whether one more line may be written, and count it if so."""
        self.available_lines = min(
            _BURST_LINES, self.available_lines + (now_s - self.updated_s) * _MAX_LINES_PER_S
        )
        self.updated_s = now_s
        if self.available_lines < 1:
            self.dropped_lines += 1
            return False
        self.available_lines -= 1
        return True


class LineRateFilter(logging_of_python.Filter):
    """Drops what is too much; warnings and errors have the same budget.

    Notes
    -----
    Under overload each refusal is a line. Without a bound the lines would take the processor time
    that requests need, and a reader that does not keep up would stop the process.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        # Not the record's time of day: a jump back would take lines out of the budget.
        self._clock = clock
        self._bucket = LineTokenBucket(updated_s=clock.monotonic_s())
        self._last_logged_s = 0.0

    def filter(self, record: logging_of_python.LogRecord) -> bool:
        """Return whether to write a line."""
        now_s = self._clock.monotonic_s()
        is_allowed = self._bucket.try_acquire(now_s)
        if (
            is_allowed
            and self._bucket.dropped_lines
            and now_s - self._last_logged_s > _DROPPED_REPORT_INTERVAL_S
        ):
            dropped, self._bucket.dropped_lines = self._bucket.dropped_lines, 0
            self._last_logged_s = now_s
            emit(Event.LINES_DROPPED, lines=dropped)
        return is_allowed


class LibraryMessageFilter(logging_of_python.Filter):
    """Turns what libraries log into events of one line.

    Notes
    -----
    Some print a traceback of twenty lines for each caller that goes away, past the bound on lines,
    and whoever reads the log finds no number and no field to search for.
    """

    def filter(self, record: logging_of_python.LogRecord) -> bool:
        """Return whether a record is an event already."""
        if record.name == _EVENT_LOGGER:
            return True
        error = record.exc_info[1] if record.exc_info else None
        message = record.getMessage()[:_MAX_MESSAGE_CHARACTERS]
        emit(Event.LIBRARY_MESSAGE, library=record.name, message=message, error=repr(error))
        return False


class _NonBlockingOutput:
    """Standard output; what a full pipe does not take is dropped."""

    def write(self, text: str) -> int:
        try:
            os.write(sys.stdout.fileno(), text.encode())
        except BlockingIOError:
            # The reader is behind; waiting for it would stop all requests.
            return 0
        return len(text)

    def flush(self) -> None:
        """Nothing is kept back."""

    def close(self) -> None:
        """Leave standard output open; the library closes its stream at the process's end."""


def set_up_events(clock: Clock) -> None:
    """Write events to standard output."""
    os.set_blocking(sys.stdout.fileno(), False)
    # Until its flags count as parsed the library writes to standard error, and waits for it.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    handler = logging.get_absl_handler()
    handler.python_handler.stream = _NonBlockingOutput()
    handler.addFilter(LibraryMessageFilter())
    handler.addFilter(LineRateFilter(clock))
    logging_of_python.getLogger("asyncio").setLevel(logging_of_python.WARNING)
