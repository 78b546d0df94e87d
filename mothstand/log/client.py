"""The platform's append-only log, as an abstract client and over HTTP.

The published protocol:

- ``POST /streams/NAME/records`` with one record as the body; answers ``{"offset": N}``, or 429
  above the rate limit.
- ``GET /streams/NAME/records?from=N&wait_s=S`` answers ``{"records": [[offset, text], ...],
  "first": N, "next": N}``, after waiting up to S seconds for a record at or past N. ``first`` is
  the oldest offset that is kept.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

import httpx
from pydantic import TypeAdapter, ValidationError

if TYPE_CHECKING:
    from ..settings.instance import InstanceSettings


class LogError(Exception):
    """The log did not answer, or not usefully. An append may have taken effect all the same."""


class LogBusyError(LogError):
    """The log answered that it takes no more just now: the rate limit of all appends together."""


@dataclass(frozen=True, slots=True)
class LogPage:
    """A stretch of a stream.

    Parameters
    ----------
    records
        Offsets and payloads, in order.
    first_offset
        The oldest kept offset; records before it are trimmed.
    next_offset
        Where to read on.
    """

    records: tuple[tuple[int, str], ...]
    first_offset: int
    next_offset: int


class LogClient(ABC):
    """Appends to and reads from the platform's log."""

    @abstractmethod
    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record and return its offset.

        Raises
        ------
        LogError
            If there was no answer; the record may be in the log or not.
        """

    @abstractmethod
    async def read(self, stream: str, from_offset: int, *, wait_s: float) -> LogPage:
        """Return records at or past an offset, waiting up to `wait_s` for the first.

        Raises
        ------
        LogError
            If there was no answer.
        """


@dataclass(frozen=True, slots=True)
class _AppendAnswer:
    offset: int


@dataclass(frozen=True, slots=True)
class _ReadAnswer:
    records: tuple[tuple[int, str], ...]
    first: int
    next: int


_APPEND_ANSWER = TypeAdapter(_AppendAnswer)
_READ_ANSWER = TypeAdapter(_ReadAnswer)


class HttpLog(LogClient):
    """The log over HTTP.

    Parameters
    ----------
    address
        URL of the platform.
    caller
        Name that the platform knows this process by.
    timeout_s
        Longest wait for an answer, beyond a read's own `wait_s`.
    """

    def __init__(self, address: str, *, caller: str, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=64)
        self._http = httpx.AsyncClient(
            base_url=address, headers={"x-caller": caller}, limits=limits, trust_env=False
        )

    @classmethod
    def from_settings(cls, settings: InstanceSettings) -> HttpLog:
        """Return the log of an instance's settings."""
        return cls(
            settings.platform.address,
            caller=settings.instance.name,
            timeout_s=settings.timing.log_timeout_s,
        )

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record and return its offset."""
        try:
            answer = await self._http.post(
                f"/streams/{stream}/records", content=payload, timeout=self._timeout_s
            )
            if answer.status_code == httpx.codes.TOO_MANY_REQUESTS:
                raise LogBusyError(f"append to {stream}: above the log's rate limit")
            answer.raise_for_status()
            return _APPEND_ANSWER.validate_json(answer.content).offset
        except (httpx.HTTPError, ValidationError) as error:
            raise LogError(f"append to {stream}: {error!r}") from error

    async def read(self, stream: str, from_offset: int, *, wait_s: float) -> LogPage:
        """Return records at or past an offset, waiting up to `wait_s` for the first."""
        try:
            answer = await self._http.get(
                f"/streams/{stream}/records",
                params={"from": from_offset, "wait_s": wait_s},
                timeout=self._timeout_s + wait_s,
            )
            answer.raise_for_status()
            page = _READ_ANSWER.validate_json(answer.content)
        except (httpx.HTTPError, ValidationError) as error:
            raise LogError(f"read of {stream}: {error!r}") from error
        return LogPage(page.records, page.first, page.next)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._http.aclose()
