"""HTTP client that polls engines and sends them orders.

- ``GET /v1/setup`` answers ``{"models": [{"name", "version", "base"}], "role", "fencing",
  "loading"}``.
- ``POST /v1/setup`` with ``{"models", "role", "fencing"}`` orders the complete setup. It answers
  202 if the engine accepts it, 409 if the fencing number is old, 429 if the weight store is busy.
  Running requests finish under the setup that they began with.
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
    """Outcome of an order."""

    ACCEPTED = "taken"
    STALE = "refused as stale"
    BUSY = "refused as busy"
    UNKNOWN = "no answer"


class EngineError(Exception):
    """An engine gave no usable answer."""


class EngineControl(ABC):
    """Interface to poll engines and send them orders."""

    @abstractmethod
    async def poll(self, engine: Upstream) -> EngineReport:
        """Return an engine's report on its setup.

        Raises
        ------
        EngineError
            If the engine gives no usable answer.
        """

    @abstractmethod
    async def order(self, order: Order) -> OrderOutcome:
        """Send an order and return its outcome."""


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
    """Control of engines over HTTP.

    Parameters
    ----------
    timeout_s
        Maximum wait for an answer.
    """

    def __init__(self, timeout_s: float) -> None:
        self._http = httpx.AsyncClient(timeout=timeout_s, trust_env=False)

    async def poll(self, engine: Upstream) -> EngineReport:
        """Return an engine's report on its setup."""
        try:
            answer = await self._http.get(f"http://{engine.address}{SETUP_PATH}")
            answer.raise_for_status()
            body = _ReportBody.model_validate_json(answer.content)
        except (httpx.HTTPError, ValidationError) as error:
            raise EngineError(f"{engine.name}: {error!r}") from error
        models = sorted((Model(**m.model_dump()) for m in body.models), key=lambda m: m.name)
        return EngineReport(EngineSetup(tuple(models), body.role), body.fencing, body.loading)

    async def order(self, order: Order) -> OrderOutcome:
        """Send an order and return its outcome."""
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
