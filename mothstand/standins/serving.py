"""HTTP server for the stand-ins' applications."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

from ..process_signals import ProcessSignals

if TYPE_CHECKING:
    from starlette.types import ASGIApp


async def _serve(app: ASGIApp, address: str, signals: ProcessSignals) -> None:
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0.5
    config.keep_alive_timeout = 75.0
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:

        async def wait_for_signal() -> None:
            await signals.stop_requested()
            stop.set()

        tasks.start_soon(wait_for_signal)
        await serve(app, config, shutdown_trigger=stop.wait)  # type: ignore[arg-type]
        tasks.cancel_scope.cancel()


def run_app(app: ASGIApp, address: str) -> None:
    """Serve `app` at ``IP:PORT`` until SIGTERM."""
    signals = ProcessSignals.receive()
    anyio.run(_serve, app, address, signals, backend_options={"use_uvloop": True})
    signals.ignore()
