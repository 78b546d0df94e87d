"""Client that sends requests to upstreams and reports whether a failed one may have run."""

from __future__ import annotations

import re
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
import anyio
from multidict import CIMultiDict
from yarl import URL

from ..core.answer_limits import MAX_REFUSAL_BYTES, MAX_REPORT_BYTES
from .sockets import (
    AnsweredRequests,
    close_connection,
    close_idle,
    connection_use,
    connector,
    is_repeated_answer,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.abc import AbstractStreamWriter

    from ..core.upstreams import RegisteredUpstream
    from ..settings.gateway import GatewaySettings
    from .headers import HeaderTranslator, RawHeaders, UpstreamFields

#: Headers that the client library must not add, since a caller's request is forwarded unchanged.
_SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")

#: Idle connections are reused within this time; upstreams close theirs after some seconds.
_IDLE_REUSE_S = 4.0

#: Time in which the body of a refusal must have arrived.
_REFUSAL_TIMEOUT_S = 0.2

#: Time for an upstream to say something of itself; a caller waits meanwhile.
_REPORT_TIMEOUT_S = 0.4

#: Bytes of a body that are handed to a connection at once.
_SLICE_BYTES = 65_536

#: Bytes of an answer that are read ahead; the library stops reading at twice as much.
_READ_BUFFER_BYTES = 65_536

_OK = 200

_STATUS_LINE = re.compile(r"HTTP/\d\.\d \d{3}")

#: Statuses below are not those of an answer.
_FIRST_STATUS = 200

#: Characters that a head must not hold; a caller's connection would break at them.
_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


class NotRunError(Exception):
    """No byte of the request was sent, or the upstream reports that it did not run it."""


class NotConnectedError(NotRunError):
    """No connection was established, so the upstream has not received the request."""


class RefusedByUpstreamError(NotRunError):
    """The upstream is running but has no capacity; it did not run the request."""


class MisdirectedError(NotRunError):
    """Another process listens at the upstream's address, so the upstream has ended."""


class MayHaveRunError(Exception):
    """The request was sent, and no complete answer was received."""


class AnswerTooLongError(MayHaveRunError):
    """The answer is longer than any sound one; the rest of it is not read."""


class ConnectionBrokenError(MayHaveRunError):
    """The connection ended before the answer was complete; the upstream may have crashed."""


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """Parts of a caller's request that are the same for every upstream."""

    method: str
    target: str
    request_id: str
    body: bytes


class UpstreamAnswer:
    """Answer whose head has been received; its body is read piece by piece.

    Attributes
    ----------
    ends_with_connection
        Whether only the end of the connection marks the end of the body.
    """

    ends_with_connection = False

    def __init__(
        self, response: aiohttp.ClientResponse, headers: RawHeaders, fields: UpstreamFields
    ) -> None:
        self.status = response.status
        self.reason = response.reason or ""
        self.headers = headers
        self.fields = fields
        self._response = response
        is_chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
        self.ends_with_connection = not is_chunked and "Content-Length" not in response.headers

    async def read_piece(self) -> bytes:
        """Return the next piece of the body, or no bytes at its end.

        Raises
        ------
        ConnectionBrokenError
            If the answer broke off.
        """
        try:
            return await self._response.content.readany()
        except (aiohttp.ClientError, OSError) as error:
            raise ConnectionBrokenError(f"broke off: {error!r}") from error

    def close(self) -> None:
        """Return the connection to the pool if the answer was read completely, else close it.

        Closing it makes the upstream stop work on a request whose answer is not needed.
        """
        if self._response.content.is_eof() and not self.fields.closes_connection:
            self._response.release()
        else:
            self._response.close()


class UpstreamClient:
    """Client for upstreams with a pool of connections.

    Parameters
    ----------
    on_late_connect
        Called with ``IP:PORT`` of a connection that was established after its request gave up.
    on_answer
        Called with the fields of each answer of an upstream, refusals included.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        translator: HeaderTranslator,
        on_late_connect: Callable[[str], None] | None = None,
        on_answer: Callable[[RegisteredUpstream, UpstreamFields], None] = lambda _, __: None,
    ) -> None:
        self._translator = translator
        self._on_answer = on_answer
        self._connect_timeout_s = settings.timing.connect_timeout_s
        self._connector = make_connector(settings, on_late_connect)
        self._http = make_session(self._connector)
        self._answered = AnsweredRequests()

    async def send(
        self, upstream: RegisteredUpstream, request: OutgoingRequest, headers: RawHeaders
    ) -> UpstreamAnswer:
        """Send a request and return its answer's head.

        Raises
        ------
        NotRunError, MayHaveRunError
            If no answer to this request was received.

        Notes
        -----
        An upstream's machine accepts connections within some milliseconds. One that has not within
        the connect timeout is down, behind a network partition, or drops connections because it is
        full.
        """
        self._answered.close_idle(upstream.address, request.request_id)
        try:
            response = await self._http.request(
                request.method,
                request_url(upstream.address, request.target),
                headers=CIMultiDict(headers),
                data=payload_of(request.body),
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=self._connect_timeout_s),
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotConnectedError(f"not connected: {error!r}") from error
        except (aiohttp.ClientError, OSError) as error:
            raise ConnectionBrokenError(f"no answer: {error!r}") from error
        raw = _raw_headers(response)
        fields = self._translator.read_upstream(response.status, raw)
        if _is_joined(response, raw):
            close_connection(response)
            raise MayHaveRunError(f"a head joined from two; status {response.status}")
        if not _can_be_passed_on(response, raw):
            close_connection(response)
            raise MayHaveRunError(f"a head that is none; status {response.status}")
        if not fields.answers(request.request_id):
            # Where the next answer is expected, an upstream may send one of an earlier request
            # again. It says nothing of this request, whatever its status.
            described = describe_answer(response, fields)
            close_connection(response)
            raise MayHaveRunError(f"answer of another request, {fields.request_id!r}{described}")
        # Without ids, only answers that promise nothing get here, the same ones each time.
        if request.request_id and is_repeated_answer(response, request.request_id):
            # Attempts of one request have the same id, so this may be the answer to an earlier one.
            described = describe_answer(response, fields)
            close_connection(response)
            raise MayHaveRunError(f"second answer with the same id{described}")
        if request.request_id:
            self._answered.note(upstream.address, request.request_id, response)
        if fields.is_misdirected:
            # The request may meet this process again, under its own id.
            described = describe_answer(response, fields)
            close_connection(response)
            raise MisdirectedError(f"another process is at {upstream.address}{described}")
        self._on_answer(upstream, fields)
        if fields.has_not_run:
            described = describe_answer(response, fields)
            await close_refused(response)
            raise RefusedByUpstreamError(f"refused with {response.status}{described}")
        return UpstreamAnswer(response, raw, fields)

    async def read(self, upstream: RegisteredUpstream, path: str) -> bytes:
        """Return what an upstream says of itself; this needs no slot.

        Raises
        ------
        NotConnectedError, MayHaveRunError
            If it did not answer in time, or with a failure.
        """
        timeout = aiohttp.ClientTimeout(
            total=_REPORT_TIMEOUT_S, sock_connect=self._connect_timeout_s
        )
        try:
            url = URL(f"http://{upstream.address}{path}", encoded=True)
            async with self._http.get(url, timeout=timeout) as response:
                raw = _raw_headers(response)
                fields = self._translator.read_upstream(response.status, raw)
                if response.status != _OK or fields.request_id or _is_joined(response, raw):
                    # A report has no request id, so this may be an answer of another request.
                    close_connection(response)
                    raise MayHaveRunError(f"no report: {response.status}, {fields.request_id!r}")
                report = await read_at_most(response, MAX_REPORT_BYTES)
                if report is None:
                    raise AnswerTooLongError(f"a report of over {MAX_REPORT_BYTES} bytes")
                return report
        except aiohttp.ClientConnectorError as error:
            raise NotConnectedError(f"not connected: {error!r}") from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise MayHaveRunError(f"no answer: {error!r}") from error

    def close_idle_connections(self, upstream: RegisteredUpstream) -> None:
        """Close the idle connections to an upstream that was deregistered or has restarted.

        If it ended behind a network partition, no reset was received. The next request on such a
        connection would break without having run, and would fail if it may run only once.
        """
        close_idle(self._connector, upstream.address)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._http.close()


class _SlicedPayload(aiohttp.payload.BytesPayload):
    """Body that is sent in slices; as a whole it would be copied to the connection's buffer."""

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Send the body, the next slice when the one before is on its way."""
        content = memoryview(self._value)[:content_length]
        for begin in range(0, len(content), _SLICE_BYTES):
            await writer.write(bytes(content[begin : begin + _SLICE_BYTES]))


def payload_of(body: bytes) -> bytes | aiohttp.payload.Payload | None:
    """Return a request's body as the client library sends it."""
    if len(body) <= _SLICE_BYTES:
        return body or None
    return _SlicedPayload(body)


def request_url(address: str, target: str) -> URL:
    """Return the URL by which a request is sent with exactly this target.

    A URL of the whole text would lose an empty query and a fragment.
    """
    host, _, port = address.rpartition(":")
    return URL.build(scheme="http", host=host, port=int(port), path=target, encoded=True)


def make_connector(
    settings: GatewaySettings, on_late_connect: Callable[[str], None] | None = None
) -> aiohttp.TCPConnector:
    """Return a connection pool for upstreams, and for peers that relay."""
    return connector(
        connect_limit=0,
        user_timeout_s=settings.timing.upstream_timeout_s,
        keepalive_s=_IDLE_REUSE_S,
        on_late_connect=on_late_connect,
    )


def make_session(pool: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    """Return a client that sends each request unchanged and at most once."""
    session = aiohttp.ClientSession(
        connector=pool,
        timeout=aiohttp.ClientTimeout(total=None),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_SKIPPED_HEADERS,
        read_bufsize=_READ_BUFFER_BYTES,
        auto_decompress=False,
    )
    # The library repeats a request by itself when a pooled connection turns out to be closed.
    # The request may have run, and the repetition would not count as a retry. There is no
    # public option to disable this.
    session._retry_connection = False
    return session


def _raw_headers(response: aiohttp.ClientResponse) -> RawHeaders:
    return tuple((k.decode("latin-1"), v.decode("latin-1")) for k, v in response.raw_headers)


def _is_joined(response: aiohttp.ClientResponse, headers: RawHeaders) -> bool:
    """Return whether a head holds a second status line, in its reason or in a header.

    Where an upstream has sent a part of another answer, the own one follows in the same line, and
    its id and framing would count for a status and headers that are not its own.
    """
    texts = (response.reason or "", *(value for _, value in headers))
    return any(_STATUS_LINE.search(text) for text in texts)


def _can_be_passed_on(response: aiohttp.ClientResponse, headers: RawHeaders) -> bool:
    """Return whether a head can be sent to a caller: the parser takes more than the server does."""
    texts = (response.reason or "", *(value for _, value in headers))
    return response.status >= _FIRST_STATUS and not any(_CONTROL.search(text) for text in texts)


def describe_answer(response: aiohttp.ClientResponse, fields: UpstreamFields) -> str:
    """Return what was concluded from a head and the connection that it came on, for the log."""
    says = " that says not run" if fields.has_not_run else ""
    return f"; status {response.status}{says}, {connection_use(response)}"


async def close_refused(response: aiohttp.ClientResponse) -> None:
    """Read a refusal to its end, so that its connection can be used again.

    Only its head matters, so the connection is closed if the body is long or late.
    """
    body: bytes | None = None
    with suppress(aiohttp.ClientError, OSError), anyio.move_on_after(_REFUSAL_TIMEOUT_S):
        body = await read_at_most(response, MAX_REFUSAL_BYTES)
    if body is None:
        response.close()
    else:
        response.release()


async def read_at_most(response: aiohttp.ClientResponse, max_bytes: int) -> bytes | None:
    """Return the rest of a body, or None if it is longer than `max_bytes`."""
    body = bytearray()
    while piece := await response.content.readany():
        body += piece
        if len(body) > max_bytes:
            return None
    return bytes(body)
