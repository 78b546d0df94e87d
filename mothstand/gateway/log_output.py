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
_LINES_PER_S = 200.0
_BURST_LINES = 400.0

#: Seconds after which it is said how many lines were dropped.
_TELL_AFTER_S = 1.0


#: The logger that `emit` writes to.
_EVENT_LOGGER = "absl"

_MOST_MESSAGE_CHARACTERS = 200


@dataclass(slots=True)
class LineBudget:
    """How many lines may be written; a token bucket."""

    left: float = _BURST_LINES
    at_s: float = 0.0
    dropped: int = 0

    def take(self, now_s: float) -> bool:
        """Return whether one more line may be written, and count it if so."""
        self.left = min(_BURST_LINES, self.left + (now_s - self.at_s) * _LINES_PER_S)
        self.at_s = now_s
        if self.left < 1:
            self.dropped += 1
            return False
        self.left -= 1
        return True


class BoundedOutput(logging_of_python.Filter):
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
        self._budget = LineBudget(at_s=clock.monotonic_s())
        self._told_s = 0.0

    def filter(self, record: logging_of_python.LogRecord) -> bool:
        """Return whether to write a line."""
        now_s = self._clock.monotonic_s()
        taken = self._budget.take(now_s)
        if taken and self._budget.dropped and now_s - self._told_s > _TELL_AFTER_S:
            dropped, self._budget.dropped = self._budget.dropped, 0
            self._told_s = now_s
            emit(Event.LINES_DROPPED, lines=dropped)
        return taken


class LibraryLines(logging_of_python.Filter):
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
        message = record.getMessage()[:_MOST_MESSAGE_CHARACTERS]
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
    handler.addFilter(LibraryLines())
    handler.addFilter(BoundedOutput(clock))
    logging_of_python.getLogger("asyncio").setLevel(logging_of_python.WARNING)
