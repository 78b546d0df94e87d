"""Sends attempts through a peer to upstreams that this instance cannot reach."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from multidict import CIMultiDict

from .relay_protocol import RelayOutcome, read_outcome, without_outcome
from .sockets import close_connection
from .upstream_client import (
    ConnectionBrokenError,
    MayHaveRunError,
    MisdirectedError,
    NotRunError,
    RefusedByUpstreamError,
    UpstreamAnswer,
    close_refused,
    make_connector,
    make_session,
    payload_of,
    request_url,
)

if TYPE_CHECKING:
    from ..core.relaying import RelayPeer
    from ..settings.gateway import GatewaySettings
    from .headers import HeaderTranslator, RawHeaders, UpstreamFields
    from .relay_protocol import RelayedAttempt
    from .upstream_client import OutgoingRequest


class RelayUnavailableError(NotRunError):
    """The peer took no request; another peer may."""


class RelayNotConnectedError(NotRunError):
    """The peer cannot connect to this upstream either."""


class RelayConnectionBrokenError(ConnectionBrokenError):
    """The connection to the peer, or the peer's to the upstream, broke.

    Only the peer can tell whether the upstream crashed.
    """


class RelayedAnswer(UpstreamAnswer):
    """Answer of an upstream that a peer passes on."""

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        headers: RawHeaders,
        fields: UpstreamFields,
        *,
        ends_with_connection: bool,
    ) -> None:
        super().__init__(response, headers, fields)
        self.ends_with_connection = ends_with_connection

    async def read_piece(self) -> bytes:
        """Return the next piece of the body, or no bytes at its end."""
        try:
            return await super().read_piece()
        except ConnectionBrokenError as error:
            raise RelayConnectionBrokenError(f"relayed: {error}") from error


class RelayClient:
    """Client for peers that relay, with a pool of connections."""

    def __init__(self, settings: GatewaySettings, translator: HeaderTranslator) -> None:
        self._translator = translator
        self._connect_timeout_s = settings.timing.connect_timeout_s
        self._http = make_session(make_connector(settings))

    async def send(
        self,
        peer: RelayPeer,
        attempt: RelayedAttempt,
        request: OutgoingRequest,
        headers: RawHeaders,
    ) -> UpstreamAnswer:
        """Send a request through a peer and return the head of the upstream's answer.

        Raises
        ------
        NotRunError, MayHaveRunError
            If no answer to this request was received.
        """
        try:
            response = await self._http.request(
                request.method,
                request_url(peer.offer.address, request.target),
                headers=CIMultiDict((*headers, *attempt.headers())),
                data=payload_of(request.body),
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=self._connect_timeout_s),
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise RelayUnavailableError(f"peer not connected: {error!r}") from error
        except (aiohttp.ClientError, OSError) as error:
            raise RelayConnectionBrokenError(f"no answer of the peer: {error!r}") from error
        raw = tuple((k.decode("latin-1"), v.decode("latin-1")) for k, v in response.raw_headers)
        outcome = read_outcome(raw)
        if outcome not in (RelayOutcome.ANSWERED, RelayOutcome.ANSWERED_UNFRAMED):
            await close_refused(response)
            raise _error(outcome)
        answer_headers = without_outcome(raw)
        fields = self._translator.read_upstream(response.status, answer_headers)
        if fields.request_id != request.request_id:
            close_connection(response)
            raise MayHaveRunError(f"answer of another request, {fields.request_id!r}")
        is_unframed = outcome is RelayOutcome.ANSWERED_UNFRAMED
        return RelayedAnswer(response, answer_headers, fields, ends_with_connection=is_unframed)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._http.close()


def _error(outcome: RelayOutcome) -> NotRunError | MayHaveRunError:
    """Return the error for an attempt that has no answer of the upstream."""
    message = f"relayed: {outcome.value}"
    match outcome:
        case RelayOutcome.REJECTED | RelayOutcome.PARTITIONED:
            return RelayUnavailableError(message)
        case RelayOutcome.NOT_CONNECTED:
            return RelayNotConnectedError(message)
        case RelayOutcome.REFUSED:
            return RefusedByUpstreamError(message)
        case RelayOutcome.MISDIRECTED:
            return MisdirectedError(message)
        case RelayOutcome.BROKEN:
            return RelayConnectionBrokenError(message)
        case _:
            return MayHaveRunError(message)
