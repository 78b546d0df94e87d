"""Calls to the instances that schedule the reading of long prompts."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import anyio

from ..core.prefill_schedule import PrefillGrant, PrefillRequest
from ..core.prompt import Prompt, PromptPart
from ..core.upstreams import UpstreamKey
from ..peers import prefill_pb2 as pb
from ..peers.prefill_grpc import PrefillBase, PrefillStub

if TYPE_CHECKING:
    from grpclib.server import Stream

    from ..clock import Clock
    from ..core.prefill_schedule import PrefillScheduler
    from .lending import GrpcPeerLink

#: A caller waits meanwhile. Covers a call to another data centre of the region several times.
RESERVE_TIMEOUT_S = 0.05

RELEASE_TIMEOUT_S = 0.25


class PrefillLink(ABC):
    """Calls to schedulers of long prompts."""

    @abstractmethod
    async def reserve(self, address: str, request: PrefillRequest) -> PrefillGrant | None:
        """Ask a scheduler where and when to send a prompt; None if it knows no engine for it.

        Raises
        ------
        PeerError
            If it did not answer in time.
        """

    @abstractmethod
    async def release(self, address: str, service: str, request_id: str, read_s: float) -> None:
        """Tell a scheduler that a prompt was read, or with 0 seconds that it was not.

        Raises
        ------
        PeerError
            If it did not answer.
        """


class GrpcPrefillLink(PrefillLink):
    """Calls over the channels of the link to peers."""

    def __init__(self, link: GrpcPeerLink) -> None:
        self._link = link

    async def reserve(self, address: str, request: PrefillRequest) -> PrefillGrant | None:
        """Ask a scheduler where and when to send a prompt; None if it knows no engine for it."""
        message = pb.ReservePrefillRequest(
            service=request.service,
            request_id=request.request_id,
            parts=[pb.PrefillPart(id=p.part_id, tokens=p.tokens) for p in request.prompt.parts],
            input_tokens=request.prompt.input_tokens,
            candidates=[
                pb.PrefillCandidate(upstream_id=key.upstream_id, born_ms=key.born_ms)
                for key in request.candidates
            ],
            max_hold_s=request.max_hold_s,
        )
        with self._link.call(address) as channel, anyio.fail_after(RESERVE_TIMEOUT_S):
            reply = await PrefillStub(channel).Reserve(message)
        if not reply.upstream_id or not math.isfinite(reply.hold_s):
            return None
        return PrefillGrant(reply.upstream_id, reply.hold_s, reply.read_s)

    async def release(self, address: str, service: str, request_id: str, read_s: float) -> None:
        """Tell a scheduler that a prompt was read, or with 0 seconds that it was not."""
        message = pb.ReleasePrefillRequest(service=service, request_id=request_id, read_s=read_s)
        with self._link.call(address) as channel, anyio.fail_after(RELEASE_TIMEOUT_S):
            await PrefillStub(channel).Release(message)


class PrefillService(PrefillBase):
    """Serves the calls of other instances to this instance's scheduler."""

    def __init__(self, scheduler: PrefillScheduler, clock: Clock) -> None:
        self._scheduler = scheduler
        self._clock = clock

    async def Reserve(  # noqa: N802 - the protocol's name
        self, stream: Stream[pb.ReservePrefillRequest, pb.ReservePrefillReply]
    ) -> None:
        """Reserve an engine's time for a prompt."""
        message = await stream.recv_message()
        if message is None:
            return
        parts = tuple(PromptPart(part.id, part.tokens) for part in message.parts)
        request = PrefillRequest(
            service=message.service,
            request_id=message.request_id,
            prompt=Prompt(input_tokens=message.input_tokens, parts=parts),
            candidates=tuple(UpstreamKey(c.upstream_id, c.born_ms) for c in message.candidates),
            max_hold_s=message.max_hold_s if math.isfinite(message.max_hold_s) else 0.0,
        )
        grant = self._scheduler.reserve(request, self._clock.monotonic_s())
        reply = pb.ReservePrefillReply()
        if grant is not None:
            reply = pb.ReservePrefillReply(
                upstream_id=grant.upstream_id, hold_s=grant.hold_s, read_s=grant.read_s
            )
        await stream.send_message(reply)

    async def Release(  # noqa: N802 - the protocol's name
        self, stream: Stream[pb.ReleasePrefillRequest, pb.ReleasePrefillReply]
    ) -> None:
        """End a reservation."""
        message = await stream.recv_message()
        if message is None:
            return
        self._scheduler.release(
            message.request_id, read_s=message.read_s, now_s=self._clock.monotonic_s()
        )
        await stream.send_message(pb.ReleasePrefillReply())
