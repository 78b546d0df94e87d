"""Reads the body of a request."""

from __future__ import annotations

import aiohttp
from aiohttp import web

from ..errors import ErrorKind, Refusal, RefusedError


async def read_body(request: web.BaseRequest, max_bytes: int) -> bytes:
    """Return the complete body, which is needed to send the request to another upstream.

    Raises
    ------
    RefusedError
        If the body is too large or broke off.
    """
    body = bytearray()
    try:
        while piece := await request.content.readany():
            body += piece
            if len(body) > max_bytes:
                detail = f"more than {max_bytes} bytes"
                raise RefusedError(Refusal(ErrorKind.BODY_TOO_LARGE, detail))
    except (aiohttp.ClientError, web.RequestPayloadError) as error:
        raise RefusedError(Refusal(ErrorKind.MALFORMED_REQUEST, repr(error))) from error
    return bytes(body)
