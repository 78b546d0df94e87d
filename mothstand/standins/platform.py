"""Stand-in of the platform: the append-only log and the instance list.

Run as ``python -m mothstand.standins.platform --address IP:PORT``. Beside the published protocol
(see ``mothstand.platform``) it serves what tests need:

- ``POST /faults`` with ``{"mode": M, "callers": [...], "delay_s": S}``, M one of ``ok``, ``down``,
  ``slow`` and ``lose``, makes the platform fail for all callers, or for those named, told apart by
  ``x-caller``. ``lose`` appends and then gives no answer.
- ``POST /instances`` replaces the instance list.
- ``POST /trim`` with ``{"stream": NAME, "before": OFFSET}`` drops old records.
- ``GET /counts`` returns appends for each stream.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Literal

import anyio
import fire
from pydantic import BaseModel, Field
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .serving import run_app

if TYPE_CHECKING:
    from starlette.requests import Request

_NO_ANSWER = 599
_MAX_RECORDS_PER_PAGE = 1000


class Faults(BaseModel):
    """How the platform fails."""

    mode: Literal["ok", "down", "slow", "lose"] = "ok"
    callers: list[str] = Field(default_factory=list)
    delay_s: float = 0.0

    def mode_for(self, caller: str) -> str:
        """Return the mode for a caller."""
        return self.mode if not self.callers or caller in self.callers else "ok"


class Trim(BaseModel):
    """An order to drop old records."""

    stream: str
    before: int


@dataclass(slots=True)
class Stream:
    """One stream; offsets count from 1."""

    records: dict[int, str] = field(default_factory=dict)
    next_offset: int = 1
    appended: anyio.Event = field(default_factory=anyio.Event)

    def append(self, text: str) -> int:
        """Append a record and return its offset."""
        offset = self.next_offset
        self.records[offset] = text
        self.next_offset += 1
        self.appended.set()
        self.appended = anyio.Event()
        return offset


class PlatformStandIn:
    """The platform in one process's memory."""

    def __init__(self) -> None:
        self.streams: dict[str, Stream] = {}
        self.instances: list[dict[str, object]] = []
        self._instances_version = 1
        self.faults = Faults()
        self.appends: Counter[str] = Counter()

    async def append(self, request: Request) -> Response:
        """Serve an append."""
        name = request.path_params["name"]
        text = (await request.body()).decode()
        mode = await self._apply_faults(request)
        if mode == "down":
            return Response(status_code=_NO_ANSWER)
        offset = self._stream(name).append(text)
        self.appends[name] += 1
        if mode == "lose":
            return Response(status_code=_NO_ANSWER)
        return JSONResponse({"offset": offset})

    async def read(self, request: Request) -> Response:
        """Serve a read."""
        stream = self._stream(request.path_params["name"])
        start = int(request.query_params["from"])
        with anyio.move_on_after(float(request.query_params["wait_s"])):
            while stream.next_offset <= start:
                await stream.appended.wait()
        if await self._apply_faults(request) == "down":
            return Response(status_code=_NO_ANSWER)
        first = next(iter(stream.records), stream.next_offset)
        offsets = range(max(start, first), stream.next_offset)[:_MAX_RECORDS_PER_PAGE]
        records = [(offset, stream.records[offset]) for offset in offsets]
        next_offset = offsets[-1] + 1 if records else max(start, first)
        return JSONResponse({"records": records, "first": first, "next": next_offset})

    async def list_instances(self, request: Request) -> Response:
        """Serve the instance list."""
        if await self._apply_faults(request) == "down":
            return Response(status_code=_NO_ANSWER)
        tag = f'"{self._instances_version}"'
        if request.headers.get("if-none-match") == tag:
            return Response(status_code=304)
        return JSONResponse(self.instances, headers={"etag": tag})

    async def set_instances(self, request: Request) -> Response:
        """Replace the instance list."""
        self.instances = await request.json()
        self._instances_version += 1
        return JSONResponse({})

    async def set_faults(self, request: Request) -> Response:
        """Fail from now on as ordered."""
        self.faults = Faults.model_validate_json(await request.body())
        return JSONResponse({})

    async def trim(self, request: Request) -> Response:
        """Drop old records."""
        order = Trim.model_validate_json(await request.body())
        stream = self._stream(order.stream)
        for offset in [offset for offset in stream.records if offset < order.before]:
            del stream.records[offset]
        return JSONResponse({})

    async def counts(self, _: Request) -> Response:
        """Return appends for each stream."""
        return JSONResponse(dict(self.appends))

    def app(self) -> Starlette:
        """Return the application."""
        return Starlette(
            routes=[
                Route("/streams/{name}/records", self.append, methods=["POST"]),
                Route("/streams/{name}/records", self.read, methods=["GET"]),
                Route("/instances", self.list_instances, methods=["GET"]),
                Route("/instances", self.set_instances, methods=["POST"]),
                Route("/faults", self.set_faults, methods=["POST"]),
                Route("/trim", self.trim, methods=["POST"]),
                Route("/counts", self.counts, methods=["GET"]),
            ]
        )

    def _stream(self, name: str) -> Stream:
        return self.streams.setdefault(name, Stream())

    async def _apply_faults(self, request: Request) -> str:
        mode = self.faults.mode_for(request.headers.get("x-caller", ""))
        if mode == "slow":
            await anyio.sleep(self.faults.delay_s)
        return mode


def main(address: str) -> None:
    """Serve the stand-in at ``IP:PORT``."""
    run_app(PlatformStandIn().app(), address)


if __name__ == "__main__":
    fire.Fire(main)
