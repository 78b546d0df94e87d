"""Runs one gateway instance from its settings file."""

from __future__ import annotations

from pathlib import Path

import anyio

from ..clock import SystemClock
from ..platform.parts import platform_parts
from ..settings.gateway import read_gateway_settings
from .instance import GatewayInstance
from .log_output import set_up_events


def run_gateway(path: str) -> None:
    """Run one gateway instance until SIGTERM.

    Parameters
    ----------
    path
        Path of the instance's INI file.

    Raises
    ------
    SettingsError
        If the file cannot be used.
    """
    settings = read_gateway_settings(Path(path))
    clock = SystemClock()
    set_up_events(clock)

    async def run() -> None:
        # Connection pools belong to the running loop.
        await GatewayInstance(settings, platform_parts(settings), clock).run()

    anyio.run(run, backend_options={"use_uvloop": True})
