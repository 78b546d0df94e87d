"""Non-blocking output of log events to standard output, with a limit on lines per second."""

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

#: Maximum lines per second on average, and maximum lines at once. The rate is four times that of
#: an instance at twice its usual load; at about 250 bytes per line it is 50 kB a second.
_MAX_LINES_PER_S = 200.0
_BURST_LINES = 400.0

#: Minimum seconds between two reports of the number of dropped lines.
_DROPPED_REPORT_INTERVAL_S = 1.0

#: The logger that `emit` writes to.
_EVENT_LOGGER = "absl"

_MAX_MESSAGE_CHARACTERS = 200


@dataclass(slots=True)
class LineTokenBucket:
    """Token bucket that limits the rate of lines."""

    available_lines: float = _BURST_LINES
    updated_s: float = 0.0
    dropped_lines: int = 0

    def try_acquire(self, now_s: float) -> bool:
        """Take one line from the bucket if available, else count a dropped line."""
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
    """Drops lines above the rate limit, which all severities share.

    Notes
    -----
    Under overload each refusal is a line. Without a limit the lines would take the processor time
    that requests need, and a slow reader would block the process.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        # Not the record's time of day: a clock that is set back would remove lines from the bucket.
        self._clock = clock
        self._bucket = LineTokenBucket(updated_s=clock.monotonic_s())
        self._last_logged_s = 0.0

    def filter(self, record: logging_of_python.LogRecord) -> bool:
        """Return whether to write a line; also log how many lines were dropped."""
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
    """Converts log messages of libraries into events of one line.

    Notes
    -----
    Some libraries log a traceback of twenty lines for each caller that disconnects. These lines
    bypass the rate limit and have no event number or fields to search for.
    """

    def filter(self, record: logging_of_python.LogRecord) -> bool:
        """Return whether a record is an event; emit an event for any other record."""
        if record.name == _EVENT_LOGGER:
            return True
        error = record.exc_info[1] if record.exc_info else None
        message = record.getMessage()[:_MAX_MESSAGE_CHARACTERS]
        emit(Event.LIBRARY_MESSAGE, library=record.name, message=message, error=repr(error))
        return False


class _NonBlockingOutput:
    """Standard output that drops text when the pipe is full."""

    def write(self, text: str) -> int:
        try:
            os.write(sys.stdout.fileno(), text.encode())
        except BlockingIOError:
            # Waiting for a slow reader would block all requests.
            return 0
        return len(text)

    def flush(self) -> None:
        """Do nothing, since writes are not buffered."""

    def close(self) -> None:
        """Do nothing: the library closes its stream at exit, and standard output stays open."""


def set_up_events(clock: Clock) -> None:
    """Configure logging so that events go to standard output."""
    os.set_blocking(sys.stdout.fileno(), False)
    # Until its flags are marked as parsed, the library writes to standard error and blocks.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    handler = logging.get_absl_handler()
    handler.python_handler.stream = _NonBlockingOutput()
    handler.addFilter(LibraryMessageFilter())
    handler.addFilter(LineRateFilter(clock))
    logging_of_python.getLogger("asyncio").setLevel(logging_of_python.WARNING)
