"""Stand-in of the store of the users' platform, with its published protocol.

Run as ``python -m mothstand.standins.users_store --address IP:PORT``. ``POST /put?key=K`` with
``topic`` writes a record as operators and upstreams do; ``POST /away?on=1`` makes the calls of the
protocol fail with 503 until ``on=0``. ``POST /rate?bytes_per_s=N`` limits how fast the records of
each read are sent; 0 ends the limit.
"""

from __future__ import annotations

import base64
import struct
from typing import TYPE_CHECKING

import anyio
import fire
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from ..gateway.store import StoreTrimmedError, Stream
from ..platform.store import decode_page, encode_record
from ..testing.memory_store import MemoryStore
from .serving import run_app

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.requests import Request

_POLL_S = 0.02
_CONFLICT = 412
_GONE = 410
_UNAVAILABLE = 503


def _requested_stream(request: Request) -> Stream:
    return Stream(request.query_params["topic"], int(request.query_params.get("part", 0)))


class UsersStoreStandIn:
    """HTTP handlers for keyed topics in memory."""

    def __init__(self) -> None:
        self._store = MemoryStore()
        self._is_unreachable = False
        self._bytes_per_s = 0

    async def append(self, request: Request) -> Response:
        """Append records; if an offset is given, only if the stream ends there."""
        if self._is_unreachable:
            return Response(status_code=_UNAVAILABLE)
        stream = _requested_stream(request)
        # Appended records have the format of a page without its head.
        page = decode_page(struct.pack(">QQ", 0, 0) + await request.body(), 0)
        at_offset = request.query_params.get("at")
        condition = None if at_offset is None else int(at_offset)
        is_appended = self._store.append(stream, page.records, condition)
        end = self._store.read(stream, 0).next_offset
        if not is_appended:
            return JSONResponse({"end": end}, status_code=_CONFLICT)
        return JSONResponse({"offset": end - len(page.records), "end": end})

    async def read(self, request: Request) -> Response:
        """Return records after waiting for the first one."""
        stream, from_offset = _requested_stream(request), int(request.query_params["from"])
        with anyio.move_on_after(int(request.query_params.get("wait_ms", 0)) / 1000):
            while not self._store.read(stream, from_offset).records and not self._is_unreachable:
                await anyio.sleep(_POLL_S)
        if self._is_unreachable:
            return Response(status_code=_UNAVAILABLE)
        try:
            page = self._store.read(stream, from_offset)
        except StoreTrimmedError as error:
            return JSONResponse({"first": error.first_offset}, status_code=_GONE)
        head = struct.pack(">QQ", page.next_offset, 0)
        content = head + b"".join(encode_record(record) for record in page.records)
        if not self._bytes_per_s:
            return Response(content)
        return StreamingResponse(self._slowly(content))

    async def _slowly(self, content: bytes) -> AsyncIterator[bytes]:
        """Send the first bytes at once and the rest at the limited rate."""
        size = max(1, int(self._bytes_per_s * _POLL_S))
        for start in range(0, len(content), size):
            yield content[start : start + size]
            await anyio.sleep(_POLL_S)

    async def newest(self, request: Request) -> Response:
        """Return the newest record of each key."""
        if self._is_unreachable:
            return Response(status_code=_UNAVAILABLE)
        page = self._store.newest(_requested_stream(request))
        items = [
            {"key": r.key, "value": base64.b64encode(r.value or b"").decode(), "offset": r.offset}
            for r in page.records
        ]
        return JSONResponse({"items": items, "has_more": False, "end": page.next_offset})

    async def put(self, request: Request) -> Response:
        """Write one record; an empty body drops the key."""
        self._store.put(
            _requested_stream(request), request.query_params["key"], await request.body() or None
        )
        return JSONResponse({})

    async def set_unreachable(self, request: Request) -> Response:
        """Begin or end an outage."""
        self._is_unreachable = request.query_params["on"] == "1"
        return JSONResponse({})

    async def set_rate(self, request: Request) -> Response:
        """Limit how fast the records of each read are sent."""
        self._bytes_per_s = int(request.query_params["bytes_per_s"])
        return JSONResponse({})


def main(address: str) -> None:
    """Serve until SIGTERM."""
    store = UsersStoreStandIn()
    routes = [
        Route("/log-append", store.append, methods=["POST"]),
        Route("/log-read", store.read, methods=["GET"]),
        Route("/log-newest", store.newest, methods=["GET"]),
        Route("/put", store.put, methods=["POST"]),
        Route("/away", store.set_unreachable, methods=["POST"]),
        Route("/rate", store.set_rate, methods=["POST"]),
    ]
    run_app(Starlette(routes=routes), address)


if __name__ == "__main__":
    fire.Fire(main)
