"""A store client on a link that carries few bytes a second."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from .memory_store import MemoryStore, StoreLink

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..gateway.store import Stream, StreamPage

#: Maximum bytes of the records of one page, as the platform's store sends by default.
_PAGE_BYTES = 1_048_576

_POLL_S = 0.02


class ThinStoreLink(StoreLink):
    """Store client that receives records at a limited rate.

    Parameters
    ----------
    bytes_per_s
        Rate at which the records of a page arrive, after the store has answered.
    """

    def __init__(self, store: MemoryStore, bytes_per_s: float) -> None:
        super().__init__(store)
        self._bytes_per_s = bytes_per_s

    async def read(self, stream: Stream, from_offset: int, *, wait_s: float = 0.0) -> StreamPage:
        """Return records from an offset on, once they have arrived."""
        return await self._read_page(stream, from_offset, wait_s, _PAGE_BYTES)

    async def read_first(
        self,
        stream: Stream,
        from_offset: int,
        *,
        wait_s: float = 0.0,
        on_end: Callable[[int], None] = lambda _: None,
    ) -> StreamPage:
        """Return the first record from an offset on, once it has arrived."""
        return await self._read_page(stream, from_offset, wait_s, 0, on_end)

    async def newest(self, stream: Stream) -> StreamPage:
        """Return the newest record of each key, once they have arrived."""
        page = await super().newest(stream)
        await self._receive(page)
        return page

    async def _read_page(
        self,
        stream: Stream,
        from_offset: int,
        wait_s: float,
        max_bytes: int,
        on_end: Callable[[int], None] = lambda _: None,
    ) -> StreamPage:
        until_s = anyio.current_time() + wait_s
        page = await super().read(stream, from_offset)
        while not page.records and anyio.current_time() < until_s:
            await anyio.sleep(_POLL_S)
            page = await super().read(stream, from_offset)
        page = page.first_records(max_bytes)
        on_end(page.end_offset)
        await self._receive(page)
        return page

    async def _receive(self, page: StreamPage) -> None:
        size_bytes = sum(len(record.value or b"") for record in page.records)
        await anyio.sleep(size_bytes / self._bytes_per_s)
        await self._require_reachable()
