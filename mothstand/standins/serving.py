"""HTTP server for the stand-ins' applications."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

if TYPE_CHECKING:
    from starlette.types import ASGIApp


async def _serve(app: ASGIApp, address: str) -> None:
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0.5
    config.keep_alive_timeout = 75.0
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:

        async def wait_for_signal() -> None:
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    stop.set()
                    return

        tasks.start_soon(wait_for_signal)
        await serve(app, config, shutdown_trigger=stop.wait)  # type: ignore[arg-type]
        tasks.cancel_scope.cancel()


def run_app(app: ASGIApp, address: str) -> None:
    """Serve `app` at ``IP:PORT`` until SIGTERM."""
    anyio.run(_serve, app, address, backend_options={"use_uvloop": True})
