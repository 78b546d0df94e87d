"""Stand-in of a model engine of the users' platform: a stream of numbered events.

Run as ``python -m mothstand.standins.users_engine --address IP:PORT --upstream-id ID``. It refuses
a request that expects another id, and goes on after ``Last-Event-Id``. ``GET /journal`` lists what
it ran.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import fire
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from .serving import run_app

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.requests import Request

_MISDIRECTED = 421
_EVENTS = 5


class UsersEngineStandIn:
    """One engine."""

    def __init__(self, upstream_id: str, event_s: float) -> None:
        self._upstream_id = upstream_id
        self._event_s = event_s
        self._journal: list[dict[str, str]] = []

    async def run(self, request: Request) -> Response:
        """Stream the events that the caller lacks."""
        if request.headers.get("X-Expected-Instance") != self._upstream_id:
            return Response(status_code=_MISDIRECTED)
        await request.body()
        self._journal.append(dict(request.headers))
        first = int(request.headers.get("Last-Event-Id") or 0) + 1

        async def events() -> AsyncIterator[bytes]:
            for number in range(first, _EVENTS + 1):
                await anyio.sleep(self._event_s)
                yield b"id: %d\ndata: word\n\n" % number

        headers = {
            "X-Request-Id": request.headers["X-Request-Id"],
            "X-Server-Signature": f"signed-{self._upstream_id}",
        }
        return StreamingResponse(events(), media_type="text/event-stream", headers=headers)

    async def journal(self, _: Request) -> Response:
        """Return the headers of the requests that were run."""
        return JSONResponse(self._journal)


def main(address: str, upstream_id: str, event_s: float = 0.01) -> None:
    """Serve until SIGTERM."""
    engine = UsersEngineStandIn(upstream_id, event_s)
    routes = [
        Route("/journal", engine.journal, methods=["GET"]),
        Route("/{path:path}", engine.run, methods=["POST"]),
    ]
    run_app(Starlette(routes=routes), address)


if __name__ == "__main__":
    fire.Fire(main)
