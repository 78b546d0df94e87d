"""The platform's lagging list of live and leaving instances.

``GET /instances``, with the usual ``ETag`` and ``If-None-Match``, answers an array of objects with
``name``, ``address``, ``data_centre`` and ``leaving``. Upstreams stand in it too, by their names.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

import httpx
from pydantic import TypeAdapter, ValidationError


class ListError(Exception):
    """The list could not be read."""


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One line of the list; `address` is of the peer protocol for instances of the fleet."""

    name: str
    address: str
    data_centre: str
    leaving: bool = False


_LIST = TypeAdapter(tuple[ListedInstance, ...])


class InstanceList(ABC):
    """Reads the platform's list."""

    @abstractmethod
    async def read(self) -> tuple[ListedInstance, ...]:
        """Return the list.

        Raises
        ------
        ListError
            If there was no usable answer.
        """


class HttpInstanceList(InstanceList):
    """The list over HTTP; one that has not changed is not sent again."""

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
