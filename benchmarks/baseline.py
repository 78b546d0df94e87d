"""Fixed baseline: a bare pass-through of hypercorn and httpx that takes no decisions.

Run as ``python -m benchmarks.baseline --address IP:PORT --upstream IP:PORT``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import fire
import httpx

from mothstand.standins.serving import run_app

if TYPE_CHECKING:
    from starlette.types import Receive, Scope, Send


class PassThrough:
    """Forwards each request to the upstream and returns its answer."""

    def __init__(self, upstream: str) -> None:
        self._http = httpx.AsyncClient(
            base_url=f"http://{upstream}",
            limits=httpx.Limits(max_connections=None, max_keepalive_connections=512),
            timeout=60.0,
            trust_env=False,
        )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        if scope["type"] != "http":
            await _lifespan(receive, send)
            return
        body = b""
        more = True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
        headers = {"content-type": "application/json"}
        async with self._http.stream("POST", scope["path"], content=body, headers=headers) as got:
            kind = got.headers.get("content-type", "").encode()
            start = {"type": "http.response.start", "status": got.status_code}
            await send({**start, "headers": [(b"content-type", kind)]})
            async for chunk in got.aiter_raw():
                await send({"type": "http.response.body", "body": chunk, "more_body": True})
        await send({"type": "http.response.body", "body": b""})


async def _lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


def main(address: str, upstream: str) -> None:
    """Serve the baseline."""
    run_app(PassThrough(upstream), address)


if __name__ == "__main__":
    fire.Fire(main)
