"""The platform's store as the gateway sees it: keyed and plain streams with conditional appends."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass


class StoreError(Exception):
    """The store did not do what was asked; nothing was done."""


class StoreSilentError(StoreError):
    """No answer came: an append may be done, or may still be done seconds later."""


class StoreConflictError(StoreError):
    """The stream has grown past the condition of an append."""


class StoreTrimmedError(StoreError):
    """The records asked for are not kept any more; read the newest of each key."""


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed stream; no value drops the key."""

    key: str
    value: bytes | None
    offset: int = -1


@dataclass(frozen=True, slots=True)
class StreamPage:
    """Records of a stream in order, and where to read on."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


@dataclass(frozen=True, slots=True)
class Stream:
    """One partition of a keyed topic."""

    topic: str
    partition: int = 0


class Store(ABC):
    """Reads and appends; every call raises `StoreError` or one of its kinds."""

    @abstractmethod
    async def append(
        self, stream: Stream, records: tuple[KeyedRecord, ...], *, at_offset: int | None = None
    ) -> None:
        """Append all records or none; with an offset, only if the stream ends there."""

    @abstractmethod
    async def read(self, stream: Stream, from_offset: int, *, wait_s: float = 0.0) -> StreamPage:
        """Return records from an offset on, waiting for the first one."""

    @abstractmethod
    async def newest(self, stream: Stream) -> StreamPage:
        """Return the newest record of each key, and the end from before the listing began."""

    @abstractmethod
    async def aclose(self) -> None:
        """Close the connections."""
