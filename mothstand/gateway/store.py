"""Interface of the platform's store: keyed and plain streams with conditional appends."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class StoreError(Exception):
    """The store did not execute the call; nothing was changed."""


class StoreSilentError(StoreError):
    """The store did not answer: an append may be done, now or seconds later."""


class StoreConflictError(StoreError):
    """The stream has grown past the offset that an append required."""


class StoreTrimmedError(StoreError):
    """The requested records are no longer retained; read the newest of each key instead.

    Parameters
    ----------
    first_offset
        Offset of the first retained record, if the store says it.
    """

    def __init__(self, message: str, first_offset: int | None = None) -> None:
        super().__init__(message)
        self.first_offset = first_offset


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed stream; a record without a value deletes its key."""

    key: str
    value: bytes | None
    offset: int = -1


@dataclass(frozen=True, slots=True)
class StreamPage:
    """Records of a stream in order, and the offset to continue from.

    Parameters
    ----------
    end_offset
        End of the stream when the store answered; beyond `next_offset` if more records wait.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end_offset: int

    @property
    def waiting_records(self) -> int:
        """Number of records after this page that the store had when it answered."""
        return max(0, self.end_offset - self.next_offset)

    def first_records(self, max_bytes: int) -> StreamPage:
        """Return the first records that fit into a size together, at least one."""
        size_bytes = 0
        kept: list[KeyedRecord] = []
        for record in self.records:
            size_bytes += len(record.value or b"")
            if kept and size_bytes > max_bytes:
                break
            kept.append(record)
        dropped = len(self.records) - len(kept)
        return StreamPage(tuple(kept), self.next_offset - dropped, self.end_offset)


@dataclass(frozen=True, slots=True)
class Stream:
    """One partition of a keyed topic."""

    topic: str
    partition: int = 0


class Store(ABC):
    """Reads and appends records; every call may raise `StoreError` or a subclass."""

    @abstractmethod
    async def append(
        self, stream: Stream, records: tuple[KeyedRecord, ...], *, at_offset: int | None = None
    ) -> None:
        """Append all records or none; with `at_offset`, only if the stream ends there."""

    @abstractmethod
    async def read(self, stream: Stream, from_offset: int, *, wait_s: float = 0.0) -> StreamPage:
        """Return records from an offset on, waiting up to `wait_s` for the first one."""

    async def read_first(
        self,
        stream: Stream,
        from_offset: int,
        *,
        wait_s: float = 0.0,
        on_end: Callable[[int], None] = lambda _: None,
    ) -> StreamPage:
        """Return the first record from an offset on, for streams with large records.

        Parameters
        ----------
        wait_s
            Maximum wait for the record.
        on_end
            Called with the end of the stream as soon as the store answers, while the record may
            still be on its way.
        """
        page = (await self.read(stream, from_offset, wait_s=wait_s)).first_records(max_bytes=0)
        on_end(page.end_offset)
        return page

    @abstractmethod
    async def newest(self, stream: Stream) -> StreamPage:
        """Return the newest record of each key, and the stream's end before the listing began."""

    @abstractmethod
    async def aclose(self) -> None:
        """Close the connections."""
