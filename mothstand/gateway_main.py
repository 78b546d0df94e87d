"""Entry point of a gateway instance, with nothing imported that it does not need.

The operators' commands bring libraries that double start time and memory; the ``mothstand``
command's ``gateway`` runs the same instance.
"""

from __future__ import annotations

import sys
from pathlib import Path

import anyio

from .clock import SystemClock
from .errors import SettingsError
from .gateway.instance import GatewayInstance
from .gateway.log_output import set_up_events
from .platform.parts import platform_parts
from .settings.gateway import read_gateway_settings

EXIT_SETTINGS = 2


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


def main() -> None:
    """Run the instance whose settings file the first argument names."""
    try:
        run_gateway(sys.argv[1])
    except SettingsError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)


if __name__ == "__main__":
    main()
