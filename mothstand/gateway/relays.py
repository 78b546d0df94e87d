"""Attempts through peers, as the forwarding of requests uses them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from .relay_protocol import RelayedAttempt

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.relaying import RelayPeer
    from ..core.upstreams import RegisteredUpstream
    from ..types import DataCentre
    from .call import Call
    from .headers import RawHeaders, UpstreamFields
    from .relay_client import RelayClient
    from .relay_finder import RelayFinder
    from .upstream_client import UpstreamAnswer


class Relays(ABC):
    """Peers that relay requests to upstreams which this instance cannot reach."""

    @abstractmethod
    async def find(
        self, service: str, permits: Callable[[DataCentre], bool], *, may_wait: bool
    ) -> RelayPeer | None:
        """Return the peer for a request; None if there is none.

        Parameters
        ----------
        permits
            Whether the request's body may be sent to a data centre.
        may_wait
            Whether to wait until peers have been asked.
        """

    @abstractmethod
    def is_unavailable(self, service: str, permits: Callable[[DataCentre], bool]) -> bool:
        """Return whether peers were asked recently and none can take a request."""

    @abstractmethod
    def note_cannot_serve(self, peer: RelayPeer, service: str) -> None:
        """Record that a peer could not take a request of a service."""

    @abstractmethod
    async def send(
        self, peer: RelayPeer, upstream: RegisteredUpstream, call: Call, headers: RawHeaders
    ) -> UpstreamAnswer:
        """Send a request through a peer and return the head of the upstream's answer.

        Raises
        ------
        NotRunError, MayHaveRunError
            If no answer to this request was received.
        """


class PeerRelays(Relays):
    """Relays among the instances of the fleet.

    Parameters
    ----------
    on_answer
        Called with the fields of each answer of an upstream.
    """

    def __init__(
        self,
        finder: RelayFinder,
        client: RelayClient,
        on_answer: Callable[[RegisteredUpstream, UpstreamFields], None],
    ) -> None:
        self._finder = finder
        self._client = client
        self._on_answer = on_answer

    async def find(
        self, service: str, permits: Callable[[DataCentre], bool], *, may_wait: bool
    ) -> RelayPeer | None:
        """Return the peer for a request; None if there is none."""
        return await self._finder.find(service, permits, may_wait=may_wait)

    def is_unavailable(self, service: str, permits: Callable[[DataCentre], bool]) -> bool:
        """Return whether peers were asked recently and none can take a request."""
        return self._finder.is_unavailable(service, permits)

    def note_cannot_serve(self, peer: RelayPeer, service: str) -> None:
        """Record that a peer could not take a request of a service."""
        self._finder.note_cannot_serve(peer, service)

    async def send(
        self, peer: RelayPeer, upstream: RegisteredUpstream, call: Call, headers: RawHeaders
    ) -> UpstreamAnswer:
        """Send a request through a peer and return the head of the upstream's answer."""
        attempt = RelayedAttempt(
            upstream.key,
            self._finder.peers.local_name,
            call.digest,
            call.known_crashes.get(call.digest, 0),
            upstream.version,
        )
        answer = await self._client.send(peer, attempt, call.request, headers)
        self._on_answer(upstream, answer.fields)
        return answer
