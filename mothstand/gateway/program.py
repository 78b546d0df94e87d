"""Runs one gateway instance from its settings file."""

from __future__ import annotations

from pathlib import Path

import anyio

from ..clock import SystemClock
from ..platform.parts import platform_parts
from ..process_signals import ProcessSignals
from ..process_start import ProcessStart
from ..settings.gateway import read_gateway_settings
from . import allocator
from .instance import GatewayInstance
from .log_output import set_up_events


def run_gateway(path: str, process_start: ProcessStart | None = None) -> None:
    """Run one gateway instance until SIGTERM.

    Parameters
    ----------
    path
        Path of the instance's INI file.
    process_start
        Start time of the process, its signals and its socket for callers; by default the current
        time, the signals from now on, and no socket.

    Raises
    ------
    SettingsError
        If the settings are invalid.
    """
    clock = SystemClock()
    start = process_start or ProcessStart(clock.monotonic_s(), ProcessSignals.receive())
    settings = read_gateway_settings(Path(path))
    set_up_events(clock)
    allocator.set_up()

    async def run() -> None:
        # Connection pools belong to the running loop.
        parts = platform_parts(settings)
        await GatewayInstance(settings, parts, clock, start).run()

    anyio.run(run, backend_options={"use_uvloop": True})
    start.signals.ignore()
