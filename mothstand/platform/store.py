"""The platform's store over HTTP; the only place that calls it."""

from __future__ import annotations

import base64
import struct
from typing import TYPE_CHECKING

import aiohttp
from pydantic import BaseModel, Field, ValidationError

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

if TYPE_CHECKING:
    from ..settings.gateway import StoreSection

_Query = dict[str, str | int]

_CONFLICT = 412
_GONE = 410
_OK = 200

#: The key of a record that has none; no stream has a use for it.
_NO_KEY = ""

_RECORD_LENGTH = struct.Struct(">I")
_PAGE_HEAD = struct.Struct(">QQ")


class _Item(BaseModel):
    """One key of a listing; `value` is in base64, absent for a dropped key."""

    key: str
    value: str | None = None
    offset: int


class _Listing(BaseModel):
    """One page of the newest records; `end` is the stream's end when the page was made."""

    items: list[_Item] = Field(default_factory=list)
    has_more: bool = False
    end: int


def encode_record(record: KeyedRecord) -> bytes:
    """Return a keyed record in the store's binary form."""
    key = record.key.encode()
    content = bytes([len(key)]) + key + (record.value or b"")
    return _RECORD_LENGTH.pack(len(content)) + content


def decode_page(data: bytes, from_offset: int) -> StreamPage:
    """Return the records of a read's answer.

    Raises
    ------
    ValueError
        If the answer is cut off.
    """
    if len(data) < _PAGE_HEAD.size:
        raise ValueError(f"a page of {len(data)} bytes has no head")
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
    return StreamPage(tuple(records), offset)


def _decode_record(content: bytes, offset: int) -> KeyedRecord:
    """Return a record, whatever another writer has put there.

    One without a key, or shorter than its key, must not end the reading of all others for good: it
    becomes a record that nobody knows.
    """
    if not content or len(content) < 1 + content[0]:
        return KeyedRecord(_NO_KEY, content, offset)
    key_end = 1 + content[0]
    key = content[1:key_end].decode("utf-8", "replace")
    return KeyedRecord(key, content[key_end:] or None, offset)


class HttpStore(Store):
    """The store over HTTP.

    Notes
    -----
    A connection on which an answer was lost returns nothing further, so a call that times out
    closes its connection, and the idle ones: what silenced one has silenced them too. Each would
    cost the next call another timeout, while a new connection tells at once that the store is back.
    """

    def __init__(self, settings: StoreSection) -> None:
        self._settings = settings
        self._base_url = f"http://{settings.address}"
        self._connector = connector(connect_limit=8, user_timeout_s=settings.timeout_s)
        self._http = aiohttp.ClientSession(
            connector=self._connector,
            timeout=aiohttp.ClientTimeout(total=None),
        )

    async def append(
        self, stream: Stream, records: tuple[KeyedRecord, ...], *, at_offset: int | None = None
    ) -> None:
        """Append all records or none; with an offset, only if the stream ends there."""
        params: _Query = {"topic": stream.topic, "part": stream.partition}
        if at_offset is not None:
            params["at"] = at_offset
        body = b"".join(encode_record(record) for record in records)
        status, _ = await self._call("POST", "/log-append", params, body=body)
        if status == _CONFLICT:
            raise StoreConflictError(f"{stream}: does not end at {at_offset}")
        _raise_for_status(status, "append")

    async def read(self, stream: Stream, from_offset: int, *, wait_s: float = 0.0) -> StreamPage:
        """Return records from an offset on, waiting for the first one."""
        params: _Query = {
            "topic": stream.topic,
            "part": stream.partition,
            "from": from_offset,
        }
        if wait_s > 0:
            params["wait_ms"] = int(wait_s * 1000)
        status, data = await self._call("GET", "/log-read", params, wait_s=wait_s)
        if status == _GONE:
            raise StoreTrimmedError(f"{stream}: {from_offset} is not kept")
        _raise_for_status(status, "read")
        try:
            return decode_page(data, from_offset)
        except (ValueError, struct.error) as error:
            raise StoreSilentError(f"{stream}: {error}") from error

    async def newest(self, stream: Stream) -> StreamPage:
        """Return the newest record of each key, and the end from before the listing began."""
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
            # Pages are no snapshot: what changes meanwhile is read again from the first end on.
            end = page.end if end is None else end
            if not page.has_more or not page.items:
                return StreamPage(tuple(records), end)
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
    ) -> tuple[int, bytes]:
        # Time without a byte, not for the whole answer: on a link of 5 Mbit/s a page of a large
        # configuration takes longer than a silent store may be waited for.
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
                return response.status, await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            # Nothing was sent. What is idle now has come about since, and is the next call's.
            raise StoreError(f"{path}: {error!r}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            close_idle(self._connector, self._settings.address)
            raise StoreSilentError(f"{path}: {error!r}") from error


def _decode_item(item: _Item) -> KeyedRecord:
    if not item.value:
        return KeyedRecord(item.key, None, item.offset)
    try:
        value = base64.b64decode(item.value)
    except ValueError:
        # The reader of the stream tells of a value that it cannot read.
        value = item.value.encode()
    return KeyedRecord(item.key, value, item.offset)


def _raise_for_status(status: int, operation: str) -> None:
    """Raise unless a call was done; the store says with any other status that it was not."""
    if status != _OK:
        raise StoreError(f"{operation}: status {status}")
