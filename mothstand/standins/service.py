"""Stand-in of a plain service whose calls have an effect that must not be repeated.

Run as ``python -m mothstand.standins.service --address IP:PORT --name NAME``. Each call has one
effect regardless of its key: the stand-in does not deduplicate. ``GET /journal`` lists the effects,
``POST /faults`` makes calls fail.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Literal

import anyio
import fire
from pydantic import BaseModel
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .serving import run_app

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.types import Receive, Scope, Send


class ServiceFaults(BaseModel):
    """Faults to inject; ``lose`` has the effect and then breaks the connection."""

    mode: Literal["ok", "refuse", "lose"] = "ok"
    delay_s: float = 0.0


class LostAnswer(Response):
    """Response that ends before its declared length, so that the server breaks the connection."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send only the start of an answer."""
        headers = [(b"content-length", b"1000")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"{", "more_body": False})


@dataclass(slots=True)
class Effect:
    """Effect of a call, in the journal."""

    request_id: str
    body: str


class ServiceStandIn:
    """HTTP handlers and effects of one service."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._effects: list[Effect] = []
        self._faults = ServiceFaults()

    async def call(self, request: Request) -> Response:
        """Have one effect and answer with its number."""
        body = (await request.body()).decode(errors="replace")
        if self._faults.mode == "refuse":
            return JSONResponse({"error": "not run"}, status_code=503)
        self._effects.append(Effect(request.headers.get("x-request-id", ""), body))
        number = len(self._effects)
        if self._faults.delay_s:
            await anyio.sleep(self._faults.delay_s)
        if self._faults.mode == "lose":
            return LostAnswer()
        return JSONResponse({"service": self._name, "effect": number, "echo": body})

    async def journal(self, _: Request) -> Response:
        """Return the effects."""
        return JSONResponse([asdict(effect) for effect in self._effects])

    async def set_faults(self, request: Request) -> Response:
        """Replace the injected faults."""
        self._faults = ServiceFaults.model_validate_json(await request.body())
        return JSONResponse({})

    def app(self) -> Starlette:
        """Return the application."""
        return Starlette(
            routes=[
                Route("/journal", self.journal, methods=["GET"]),
                Route("/faults", self.set_faults, methods=["POST"]),
                Route("/{path:path}", self.call, methods=["POST"]),
            ]
        )


def main(address: str, name: str) -> None:
    """Serve the stand-in at ``IP:PORT``."""
    run_app(ServiceStandIn(name).app(), address)


if __name__ == "__main__":
    fire.Fire(main)
