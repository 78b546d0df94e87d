"""Runs one gateway instance from its settings file."""

from __future__ import annotations

from pathlib import Path

import anyio

from ..clock import SystemClock
from ..platform.parts import platform_parts
from ..process_start import ProcessStart
from ..settings.gateway import read_gateway_settings
from .instance import GatewayInstance
from .log_output import set_up_events


def run_gateway(path: str, process_start: ProcessStart | None = None) -> None:
    """Run one gateway instance until SIGTERM.

    Parameters
    ----------
    path
        Path of the instance's INI file.
    started
        What was done before; nothing, if not given.

    Raises
    ------
    SettingsError
        If the file cannot be used.
    """
    settings = read_gateway_settings(Path(path))
    clock = SystemClock()
    set_up_events(clock)
    start = process_start or ProcessStart(clock.monotonic_s())

    async def run() -> None:
        # Connection pools belong to the running loop.
        parts = platform_parts(settings)
        await GatewayInstance(settings, parts, clock, start).run()

    anyio.run(run, backend_options={"use_uvloop": True})
