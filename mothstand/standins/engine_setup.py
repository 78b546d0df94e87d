"""What the engine stand-in has loaded, and the orders that change it.

The protocol is in ``mothstand.upstreams.orders``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from pydantic import BaseModel, Field
from starlette.background import BackgroundTask
from starlette.responses import JSONResponse, Response

if TYPE_CHECKING:
    from starlette.requests import Request


class _SetupBody(BaseModel):
    """An order, and what an engine has loaded."""

    models: list[dict[str, str]] = Field(default_factory=list)
    role: str = "mixed"
    fencing: int = 0


class SetupStandIn:
    """What an engine has loaded, and the orders that change it.

    Parameters
    ----------
    orders
        ``none`` serves any model, ``fenced`` refuses old orders, ``unfenced`` takes any.
    load_s
        Seconds that an order takes.
    """

    def __init__(self, order_mode: str, load_s: float) -> None:
        self._order_mode = order_mode
        self._load_s = load_s
        self._setup = _SetupBody()
        self._fencing = 0
        self._loading = 0
        self._journal: list[dict[str, object]] = []

    def can_serve(self, model: object) -> bool:
        """Return whether the model is loaded."""
        return self._order_mode == "none" or any(m["name"] == model for m in self._setup.models)

    async def get_setup(self, _: Request) -> Response:
        """Return what is loaded."""
        report = self._setup.model_dump()
        report["fencing"] = self._fencing if self._order_mode == "fenced" else 0
        return JSONResponse({**report, "loading": self._loading > 0})

    async def order(self, request: Request) -> Response:
        """Load what is ordered."""
        order = _SetupBody.model_validate_json(await request.body())
        is_stale = self._order_mode == "fenced" and order.fencing < self._fencing
        self._journal.append({**order.model_dump(), "stale": is_stale})
        if is_stale:
            return JSONResponse({"fencing": self._fencing}, status_code=409)
        self._fencing = order.fencing
        self._loading += 1
        return JSONResponse({}, status_code=202, background=BackgroundTask(self._load, order))

    async def journal(self, _: Request) -> Response:
        """Return every order that arrived."""
        return JSONResponse(self._journal)

    async def _load(self, order: _SetupBody) -> None:
        await anyio.sleep(self._load_s)
        self._setup = order
        self._loading -= 1
