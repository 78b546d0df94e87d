"""Reads the body of a request within the memory and the time that it may take."""

from __future__ import annotations

import aiohttp
import anyio
from aiohttp import web

from ..errors import ErrorKind, Refusal, RefusedError
from .caller_connections import CallerHandler


class _ArrivingBody:
    """Body of which the rest may be refused at any time."""

    def __init__(self, timeout_s: float) -> None:
        self.refusal: Refusal | None = None
        self.scope = anyio.move_on_after(timeout_s)
        self._content = bytearray()

    def add(self, piece: bytes, max_bytes: int) -> None:
        """Add a piece.

        Raises
        ------
        RefusedError
            If the body is too large.
        """
        self._content += piece
        if len(self._content) > max_bytes:
            raise RefusedError(_too_large(max_bytes))

    def refuse(self, refusal: Refusal) -> None:
        """Drop what has arrived and stop reading."""
        self.refusal = refusal
        self.drop()
        self.scope.cancel()

    def drop(self) -> None:
        """Drop what has arrived; the traceback of an error would keep it."""
        self._content.clear()

    def take(self) -> bytes:
        """Return the complete body and drop it here."""
        content = bytes(self._content)
        self.drop()
        return content


async def read_body(request: web.BaseRequest, *, max_bytes: int, timeout_s: float) -> bytes:
    """Return the complete body, which is needed to send the request to another upstream.

    Parameters
    ----------
    timeout_s
        Time for the rest of it to arrive.

    Raises
    ------
    RefusedError
        If the body is too large, broke off, cannot be held or did not arrive in time. Its caller
        gets that answer while the rest of the body is read and dropped.
    """
    handler = request.protocol
    assert isinstance(handler, CallerHandler)
    size_bytes = request.content_length
    if size_bytes is not None:
        if size_bytes > max_bytes:
            handler.discard_rest()
            raise RefusedError(_too_large(max_bytes))
        if not handler.has_room(size_bytes):
            handler.discard_rest()
            detail = f"a body of {size_bytes} bytes cannot be held"
            raise RefusedError(Refusal(ErrorKind.MEMORY_FULL, detail))
    body = _ArrivingBody(timeout_s)
    handler.expect_body(body.refuse)
    try:
        with body.scope:
            await _read_pieces(request, body, max_bytes)
            return body.take()
    except RefusedError:
        handler.discard_rest()
        raise
    finally:
        body.drop()
        handler.end_body()
    if body.refusal is None:
        handler.discard_rest()
        body.refusal = Refusal(ErrorKind.BODY_TOO_SLOW, f"{timeout_s:.2f} s")
    raise RefusedError(body.refusal)


async def _read_pieces(request: web.BaseRequest, body: _ArrivingBody, max_bytes: int) -> None:
    try:
        while piece := await request.content.readany():
            body.add(piece, max_bytes)
    except (aiohttp.ClientError, web.RequestPayloadError) as error:
        raise RefusedError(Refusal(ErrorKind.MALFORMED_REQUEST, repr(error))) from error


def _too_large(max_bytes: int) -> Refusal:
    return Refusal(ErrorKind.BODY_TOO_LARGE, f"more than {max_bytes} bytes")
