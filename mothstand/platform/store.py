"""HTTP client of the platform's store; all calls to the store go through it."""

from __future__ import annotations

import asyncio
import base64
import struct
from typing import TYPE_CHECKING

import aiohttp
from pydantic import BaseModel, Field, ValidationError

from ..core.answer_limits import MAX_STORE_BYTES
from ..gateway.sockets import close_idle, connector
from ..gateway.store import (
    KeyedRecord,
    Store,
    StoreConflictError,
    StoreError,
    StoreSilentError,
    StoreTrimmedError,
    Stream,
    StreamPage,
)
from ..gateway.upstream_client import read_at_most

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..settings.gateway import StoreSection

_Query = dict[str, str | int]

_CONFLICT = 412
_GONE = 410
_OK = 200

#: Key given to a record without one; no stream uses it.
_NO_KEY = ""

#: Longest time that packets wait on a full link. A connection lives and is established within it;
#: a call that is not answered ends by its own timeout.
_MAX_LINK_DELAY_S = 3.0

_RECORD_LENGTH = struct.Struct(">I")
_PAGE_HEAD = struct.Struct(">QQ")


class _Item(BaseModel):
    """One key of a listing; `value` is in base64, absent for a deleted key."""

    key: str
    value: str | None = None
    offset: int


class _Listing(BaseModel):
    """One page of the newest records; `end` is the stream's end offset when the page was made."""

    items: list[_Item] = Field(default_factory=list)
    has_more: bool = False
    end: int


class _Trimmed(BaseModel):
    """Response to a read from an offset that is no longer retained."""

    first: int | None = Field(None, ge=0)


def encode_record(record: KeyedRecord) -> bytes:
    """Encode a keyed record in the store's binary format."""
    key = record.key.encode()
    content = bytes([len(key)]) + key + (record.value or b"")
    return _RECORD_LENGTH.pack(len(content)) + content


def decode_page(data: bytes, from_offset: int) -> StreamPage:
    """Decode the response to a read.

    Raises
    ------
    ValueError
        If the response is truncated.
    """
    if len(data) < _PAGE_HEAD.size:
        raise ValueError(f"a page of {len(data)} bytes is shorter than its header")
    records = []
    position = _PAGE_HEAD.size
    offset = from_offset
    while position < len(data):
        (length,) = _RECORD_LENGTH.unpack_from(data, position)
        content = data[position + _RECORD_LENGTH.size : position + _RECORD_LENGTH.size + length]
        if len(content) < length:
            raise ValueError(f"record {offset} is cut off")
        records.append(_decode_record(content, offset))
        position += _RECORD_LENGTH.size + length
        offset += 1
    end_offset, _ = _PAGE_HEAD.unpack_from(data)
    return StreamPage(tuple(records), offset, max(offset, end_offset))


def _decode_record(content: bytes, offset: int) -> KeyedRecord:
    """Decode a record, also a malformed one of another writer.

    A record without a key, or shorter than its key, must not stop the reader at this offset
    forever: it is returned under a key that no stream uses.
    """
    if not content or len(content) < 1 + content[0]:
        return KeyedRecord(_NO_KEY, content, offset)
    key_end = 1 + content[0]
    key = content[1:key_end].decode("utf-8", "replace")
    return KeyedRecord(key, content[key_end:] or None, offset)


class HttpStore(Store):
    """Client of the store over HTTP.

    Notes
    -----
    A connection that lost a response returns nothing further. A call that times out therefore
    closes its connection and the idle ones, since the same fault has broken those too. Each would
    cost the next call another timeout, while a new connection works as soon as the store is back.
    """

    def __init__(self, settings: StoreSection) -> None:
        self._settings = settings
        self._base_url = f"http://{settings.address}"
        self._connector = connector(connect_limit=8, user_timeout_s=_MAX_LINK_DELAY_S)
        self._http = aiohttp.ClientSession(
            connector=self._connector,
            timeout=aiohttp.ClientTimeout(total=None),
        )

    async def append(
        self, stream: Stream, records: tuple[KeyedRecord, ...], *, at_offset: int | None = None
    ) -> None:
        """Append all records or none; with `at_offset`, only if the stream ends there."""
        params: _Query = {"topic": stream.topic, "part": stream.partition}
        if at_offset is not None:
            params["at"] = at_offset
        body = b"".join(encode_record(record) for record in records)
        status, _ = await self._call("POST", "/log-append", params, body=body)
        if status == _CONFLICT:
            raise StoreConflictError(f"{stream}: the stream does not end at offset {at_offset}")
        _raise_for_status(status, "append")

    async def read(self, stream: Stream, from_offset: int, *, wait_s: float = 0.0) -> StreamPage:
        """Return records from an offset on, waiting up to `wait_s` for the first."""
        return await self._read(stream, from_offset, wait_s, {})

    async def read_first(
        self,
        stream: Stream,
        from_offset: int,
        *,
        wait_s: float = 0.0,
        on_end: Callable[[int], None] = lambda _: None,
    ) -> StreamPage:
        """Return the first record from an offset on; the store sends at least one."""
        limit: _Query = {"maximum_kilobytes": 1}
        page = await self._read(stream, from_offset, wait_s, limit, on_end)
        if page.records or not page.waiting_records:
            return page
        return await super().read_first(stream, from_offset, on_end=on_end)

    async def _read(
        self,
        stream: Stream,
        from_offset: int,
        wait_s: float,
        limit: _Query,
        on_end: Callable[[int], None] = lambda _: None,
    ) -> StreamPage:
        params: _Query = {
            "topic": stream.topic,
            "part": stream.partition,
            "from": from_offset,
            **limit,
        }
        if wait_s > 0:
            params["wait_ms"] = int(wait_s * 1000)

        def note_head(head: bytes) -> None:
            on_end(_PAGE_HEAD.unpack(head)[0])

        status, data = await self._call(
            "GET", "/log-read", params, wait_s=wait_s, on_page_head=note_head
        )
        if status == _GONE:
            raise StoreTrimmedError(
                f"{stream}: offset {from_offset} is no longer retained", _decode_first(data)
            )
        _raise_for_status(status, "read")
        try:
            return decode_page(data, from_offset)
        except (ValueError, struct.error) as error:
            raise StoreSilentError(f"{stream}: {error}") from error

    async def newest(self, stream: Stream) -> StreamPage:
        """Return the newest record of each key, and the stream's end before the listing began."""
        params: _Query = {"topic": stream.topic, "part": stream.partition}
        records: list[KeyedRecord] = []
        end: int | None = None
        while True:
            status, data = await self._call("GET", "/log-newest", params)
            _raise_for_status(status, "listing")
            try:
                page = _Listing.model_validate_json(data)
                records += [_decode_item(item) for item in page.items]
            except (ValidationError, ValueError) as error:
                raise StoreSilentError(f"{stream}: {error}") from error
            # Pages are not a snapshot: later changes are read again from the first page's end on.
            end = page.end if end is None else end
            if not page.has_more or not page.items:
                return StreamPage(tuple(records), end, end)
            params["after"] = page.items[-1].key

    async def aclose(self) -> None:
        """Close the connections."""
        await self._http.close()

    async def _call(
        self,
        method: str,
        path: str,
        params: _Query,
        *,
        body: bytes | None = None,
        wait_s: float = 0.0,
        on_page_head: Callable[[bytes], None] = lambda _: None,
    ) -> tuple[int, bytes]:
        # `sock_read` limits the time between bytes, not that of the whole response: on a link of
        # 5 Mbit/s a page of a large configuration takes longer than the timeout.
        timeout = aiohttp.ClientTimeout(
            total=None,
            connect=self._settings.timeout_s,
            sock_connect=self._settings.connect_timeout_s,
            sock_read=self._settings.timeout_s + wait_s,
        )
        try:
            async with self._http.request(
                method, self._base_url + path, params=params, data=body, timeout=timeout
            ) as response:
                if response.status != _OK:
                    return response.status, await _read_rest(response)
                head = await _read_head(response)
                if len(head) == _PAGE_HEAD.size:
                    on_page_head(head)
                return response.status, head + await _read_rest(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            # Nothing was sent. Connections that are idle now are newer; the next call may use them.
            raise StoreError(f"{path}: {error!r}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            close_idle(self._connector, self._settings.address)
            raise StoreSilentError(f"{path}: {error!r}") from error


def _decode_first(data: bytes) -> int | None:
    """Return the first retained offset of a response that refuses a read, or None."""
    try:
        return _Trimmed.model_validate_json(data).first
    except ValidationError:
        return None


def _decode_item(item: _Item) -> KeyedRecord:
    if not item.value:
        return KeyedRecord(item.key, None, item.offset)
    try:
        value = base64.b64decode(item.value)
    except ValueError:
        # The reader of the stream reports a value that it cannot decode.
        value = item.value.encode()
    return KeyedRecord(item.key, value, item.offset)


async def _read_rest(response: aiohttp.ClientResponse) -> bytes:
    """Return the rest of a response.

    Raises
    ------
    aiohttp.ClientPayloadError
        If it is too long.
    """
    rest = await read_at_most(response, MAX_STORE_BYTES)
    if rest is None:
        raise aiohttp.ClientPayloadError(f"a response of over {MAX_STORE_BYTES} bytes")
    return rest


async def _read_head(response: aiohttp.ClientResponse) -> bytes:
    """Return the first bytes of a response: the head of a page, or less if it is shorter."""
    try:
        return await response.content.readexactly(_PAGE_HEAD.size)
    except asyncio.IncompleteReadError as error:
        return error.partial


def _raise_for_status(status: int, operation: str) -> None:
    """Raise unless the status is 200; any other means that the call had no effect."""
    if status != _OK:
        raise StoreError(f"{operation}: unexpected HTTP status {status}")
