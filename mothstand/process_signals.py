"""Signals of a process, received from its first statements to its end.

An event loop that stops watching a signal restores the default action, which ends the process.
These handlers stay, so a signal ends nothing that the process does not end itself.

Until `ProcessSignals.receive` a signal ends the process, so only the standard library is imported.
"""

from __future__ import annotations

import signal
from functools import partial
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

#: Signals that ask the process to stop.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

#: All signals that are received; SIGHUP reports a change of the settings file.
RECEIVED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


class ProcessSignals:
    """Received signals that wait to be handled; several of one kind count as one."""

    def __init__(self) -> None:
        self._pending: dict[signal.Signals, None] = {}
        self._wake: Callable[[], object] = lambda: None

    @classmethod
    def receive(cls, numbers: Iterable[signal.Signals] = RECEIVED_SIGNALS) -> ProcessSignals:
        """Install the handlers, which stay until `ignore`; call it in the main thread."""
        signals = cls()
        for number in numbers:
            signal.signal(number, signals._note)
        return signals

    def _note(self, number: int, _: object) -> None:
        self._pending[signal.Signals(number)] = None
        self._wake()

    async def next(self) -> signal.Signals:
        """Wait for the next signal; one task at a time may wait."""
        import asyncio

        loop = asyncio.get_running_loop()
        while not self._pending:
            received = asyncio.Event()
            self._wake = partial(loop.call_soon_threadsafe, received.set)
            try:
                # A signal may have arrived before the wake-up call was in place.
                if not self._pending:
                    await received.wait()
            finally:
                # The loop may be closed when the next signal arrives.
                self._wake = lambda: None
        number = next(iter(self._pending))
        del self._pending[number]
        return number

    async def stop_requested(self) -> None:
        """Wait for a signal that asks the process to stop."""
        while await self.next() not in STOP_SIGNALS:
            pass

    @staticmethod
    def ignore(numbers: Iterable[signal.Signals] = RECEIVED_SIGNALS) -> None:
        """Ignore signals from now on: the interpreter's end would restore the default actions."""
        for number in numbers:
            signal.signal(number, signal.SIG_IGN)
