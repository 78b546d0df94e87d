"""Looks at engines and orders them, over HTTP.

- ``GET /v1/setup`` answers ``{"models": [{"name", "version", "base"}], "role", "fencing",
  "loading"}``.
- ``POST /v1/setup`` with ``{"models", "role", "fencing"}`` orders the whole setup. It answers 202
  when the engine has taken it, 409 when its fencing number is old, 429 when the weight store gives
  it nothing just now. Running requests end as they began.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import asdict
from enum import Enum
from typing import TYPE_CHECKING

import httpx
from pydantic import BaseModel, ValidationError

from ..core.config import Model
from ..core.orders import EngineReport, EngineSetup

if TYPE_CHECKING:
    from ..core.config import Upstream
    from ..core.orders import Order

SETUP_PATH = "/v1/setup"


class OrderOutcome(Enum):
    """What became of an order."""

    ACCEPTED = "taken"
    STALE = "refused as stale"
    BUSY = "refused as busy"
    UNKNOWN = "no answer"


class EngineError(Exception):
    """An engine did not answer, or not usefully."""


class EngineControl(ABC):
    """Looks at engines and orders them."""

    @abstractmethod
    async def poll(self, engine: Upstream) -> EngineReport:
        """Return what an engine says of itself.

        Raises
        ------
        EngineError
            If it does not.
        """

    @abstractmethod
    async def order(self, order: Order) -> OrderOutcome:
        """Send an order and return what became of it."""


class _ModelBody(BaseModel):
    name: str
    version: str
    base: str = ""


class _ReportBody(BaseModel):
    models: list[_ModelBody]
    role: str
    fencing: int = 0
    loading: bool = False


_OUTCOMES = {
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.STALE,
    429: OrderOutcome.BUSY,
}


class HttpEngineControl(EngineControl):
    """Engines over HTTP.

    Parameters
    ----------
    timeout_s
        Longest wait for an answer.
    """

    def __init__(self, timeout_s: float) -> None:
        self._http = httpx.AsyncClient(timeout=timeout_s, trust_env=False)

    async def poll(self, engine: Upstream) -> EngineReport:
        """Return what an engine says of itself."""
        try:
            answer = await self._http.get(f"http://{engine.address}{SETUP_PATH}")
            answer.raise_for_status()
            body = _ReportBody.model_validate_json(answer.content)
        except (httpx.HTTPError, ValidationError) as error:
            raise EngineError(f"{engine.name}: {error!r}") from error
        models = sorted((Model(**m.model_dump()) for m in body.models), key=lambda m: m.name)
        return EngineReport(EngineSetup(tuple(models), body.role), body.fencing, body.loading)

    async def order(self, order: Order) -> OrderOutcome:
        """Send an order and return what became of it."""
        body = {
            "models": [asdict(model) for model in order.setup.models],
            "role": order.setup.role,
            "fencing": order.fencing,
        }
        url = f"http://{order.engine.address}{SETUP_PATH}"
        try:
            answer = await self._http.post(url, json=body)
        except httpx.HTTPError:
            return OrderOutcome.UNKNOWN
        return _OUTCOMES.get(answer.status_code, OrderOutcome.UNKNOWN)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._http.aclose()
