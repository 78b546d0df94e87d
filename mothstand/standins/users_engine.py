"""Stand-in of a model engine of the users' platform, which streams numbered events.

Run as ``python -m mothstand.standins.users_engine --address IP:PORT --upstream-id ID``. It refuses
a request that expects another id, and continues after ``Last-Event-Id``. ``GET /journal`` lists the
requests that it ran. With ``--crash-body TEXT`` it crashes soon after it starts a request with that
body, with ``--crash-part ID`` one whose prompt has that part. With ``--rate-limit TEXT`` all its
answers name that limit. With ``--arrivals PATH`` it appends a line for each request to a file that
outlives it. The data of its events is the ``--version`` of its software, of which a stream has
``--event-count``, each with ``--padding-bytes`` more. ``GET /report`` tells when it was started,
``--born-ms``.
"""

from __future__ import annotations

import json
import os
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import fire
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from ..core.prompt import parse_parts
from .serving import run_app

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.requests import Request

_MISDIRECTED = 421

#: Seconds from the start of a run to the crash that it causes.
_CRASH_AFTER_S = 0.05

#: Maximum characters of a body that are recorded of an arrival.
_MAX_RECORDED_BODY = 10_000


@dataclass(frozen=True, slots=True)
class Arrival:
    """Request that reached an engine, or the crash of the engine during that request.

    Parameters
    ----------
    at_s
        Time on the monotonic clock, which all processes of a machine share.
    """

    at_s: float
    upstream_id: str
    request_id: str
    body: str
    is_crash: bool = False


class UsersEngineStandIn:
    """HTTP handlers and state of one engine.

    Parameters
    ----------
    crash_body
        Body of requests that crash the engine; empty for none.
    crash_part
        Id of a prompt part that crashes the engine; empty for none.
    rate_limit
        Requests a second that its answers name as its limit; empty for none.
    arrivals_path
        File that receives a line for each arrival; None for none.
    version
        Data of its events.
    event_count
        Events of a stream.
    born_ms
        Unix time of its start that it reports.
    padding_bytes
        Bytes of a comment in each event.
    """

    def __init__(
        self,
        upstream_id: str,
        event_interval_s: float,
        crash_body: str,
        crash_part: str,
        rate_limit: str,
        arrivals_path: Path | None,
        version: str,
        event_count: int,
        born_ms: int,
        padding_bytes: int,
    ) -> None:
        self._born_ms = born_ms
        self._padding = f":{'x' * padding_bytes}\n" if padding_bytes else ""
        self._version = version
        self._event_count = event_count
        self._limit_headers = {"Server-Limit": rate_limit} if rate_limit else {}
        self._upstream_id = upstream_id
        self._event_interval_s = event_interval_s
        self._crash_body = crash_body
        self._crash_part = crash_part
        self._arrivals_path = arrivals_path
        self._journal: list[dict[str, str]] = []

    async def run(self, request: Request) -> Response:
        """Stream the events after the caller's ``Last-Event-Id``."""
        if request.headers.get("X-Expected-Instance") != self._upstream_id:
            return Response(status_code=_MISDIRECTED)
        request_id = request.headers["X-Request-Id"]
        body = (await request.body()).decode()
        self._record_arrival(request_id, body)
        self._journal.append(dict(request.headers))
        first = int(request.headers.get("Last-Event-Id") or 0) + 1

        async def events() -> AsyncIterator[bytes]:
            if self._crashes(request, body):
                await anyio.sleep(_CRASH_AFTER_S)
                self._record_arrival(request_id, body, is_crash=True)
                os._exit(1)
            for number in range(first, self._event_count + 1):
                await anyio.sleep(self._event_interval_s)
                yield f"id: {number}\n{self._padding}data: {self._version}\n\n".encode()

        headers = {
            "X-Request-Id": request_id,
            "X-Server-Signature": f"signed-{self._upstream_id}",
            **self._limit_headers,
        }
        return StreamingResponse(events(), media_type="text/event-stream", headers=headers)

    def _crashes(self, request: Request, body: str) -> bool:
        """Return whether a request crashes the engine."""
        parts = parse_parts(request.headers.get("X-Prompt-Prefix", ""))
        has_crash_part = any(part.part_id == self._crash_part for part in parts)
        return has_crash_part or (body != "" and body == self._crash_body)

    def _record_arrival(self, request_id: str, body: str, *, is_crash: bool = False) -> None:
        if self._arrivals_path is None:
            return
        recorded = body[:_MAX_RECORDED_BODY]
        arrival = Arrival(time.monotonic(), self._upstream_id, request_id, recorded, is_crash)
        with self._arrivals_path.open("a", encoding="utf-8") as lines:
            lines.write(json.dumps(asdict(arrival)) + "\n")

    async def report(self, _: Request) -> Response:
        """Return the state of this process."""
        return JSONResponse({"born": self._born_ms, "running": 0})

    async def journal(self, _: Request) -> Response:
        """Return the headers of all requests that ran."""
        return JSONResponse(self._journal)


def main(
    address: str,
    upstream_id: str,
    event_s: float = 0.01,
    crash_body: str = "",
    crash_part: str = "",
    rate_limit: str = "",
    arrivals: str = "",
    version: str = "word",
    event_count: int = 5,
    born_ms: int = 0,
    padding_bytes: int = 0,
) -> None:
    """Serve until SIGTERM."""
    engine = UsersEngineStandIn(
        upstream_id,
        event_s,
        crash_body,
        str(crash_part),
        str(rate_limit),
        Path(arrivals) if arrivals else None,
        str(version),
        event_count,
        born_ms,
        padding_bytes,
    )
    routes = [
        Route("/journal", engine.journal, methods=["GET"]),
        Route("/report", engine.report, methods=["GET"]),
        Route("/{path:path}", engine.run, methods=["POST"]),
    ]
    run_app(Starlette(routes=routes), address)


if __name__ == "__main__":
    fire.Fire(main)
