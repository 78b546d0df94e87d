"""Clients of the platform's instance list, which lags behind starts and stops.

``GET /instances``, with the usual ``ETag`` and ``If-None-Match``, returns an array of objects with
``name``, ``address``, ``data_centre`` and ``leaving``. The list also has upstreams, by name.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

import httpx
from pydantic import TypeAdapter, ValidationError


class ListError(Exception):
    """Raised when the instance list cannot be read."""


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One entry of the list; for instances of the fleet, `address` is of the peer protocol."""

    name: str
    address: str
    data_centre: str
    leaving: bool = False


_LIST = TypeAdapter(tuple[ListedInstance, ...])


class InstanceList(ABC):
    """Interface for reading the platform's instance list."""

    @abstractmethod
    async def read(self) -> tuple[ListedInstance, ...]:
        """Return the list.

        Raises
        ------
        ListError
            If there was no usable answer.
        """


class HttpInstanceList(InstanceList):
    """Client of the list over HTTP; an unchanged list is not transferred again."""

    def __init__(self, address: str, *, caller: str, timeout_s: float) -> None:
        self._http = httpx.AsyncClient(
            base_url=address, headers={"x-caller": caller}, timeout=timeout_s, trust_env=False
        )
        self._etag = ""
        self._last_list: tuple[ListedInstance, ...] = ()

    async def read(self) -> tuple[ListedInstance, ...]:
        """Return the list."""
        try:
            headers = {"if-none-match": self._etag} if self._etag else {}
            answer = await self._http.get("/instances", headers=headers)
            if answer.status_code == httpx.codes.NOT_MODIFIED:
                return self._last_list
            answer.raise_for_status()
            self._last_list = _LIST.validate_json(answer.content)
            self._etag = answer.headers.get("etag", "")
            return self._last_list
        except (httpx.HTTPError, ValidationError) as error:
            raise ListError(repr(error)) from error

    async def aclose(self) -> None:
        """Close the connections."""
        await self._http.aclose()
