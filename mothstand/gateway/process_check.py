"""Checks that the process behind an upstream's address is the one that its registration names.

An upstream may start again under its id and address with other software. While its registrations
cannot be read, or until a new one has been read, an instance would take it for the earlier process.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import defaultdict
from enum import Enum
from typing import TYPE_CHECKING

import anyio

from ..events import Event, emit
from .upstream_client import MayHaveRunError, NotRunError

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..core.upstreams import RegisteredUpstream, UpstreamDirectory, UpstreamKey
    from .metrics import GatewayMetrics
    from .upstream_client import UpstreamClient

#: Time for which a check counts; a process does not end and start again within it.
_VALID_S = 0.5


class ProcessIdentity(Enum):
    """Result of a check."""

    REGISTERED = "the registered process"
    REPLACED = "another process"
    UNKNOWN = "no answer that tells"


class ProcessCheck(ABC):
    """Tells which process is behind an upstream's address."""

    @abstractmethod
    async def check(self, upstream: RegisteredUpstream) -> ProcessIdentity:
        """Return whether the registered process is there."""


class ReportedProcessCheck(ProcessCheck):
    """Asks the upstream for its start.

    Parameters
    ----------
    path
        Path of an upstream's report.
    decode_born_ms
        Returns the Unix time of the start in a report, or None; raises `ValueError`.
    """

    def __init__(
        self,
        client: UpstreamClient,
        path: str,
        decode_born_ms: Callable[[bytes], int | None],
        directory: UpstreamDirectory,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> None:
        self._client = client
        self._path = path
        self._decode_born_ms = decode_born_ms
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        self._confirmed_s: dict[UpstreamKey, float] = {}
        self._locks: defaultdict[UpstreamKey, anyio.Lock] = defaultdict(anyio.Lock)

    async def check(self, upstream: RegisteredUpstream) -> ProcessIdentity:
        """Return whether the registered process is there; one that is not counts as ended."""
        async with self._locks[upstream.key]:
            confirmed_s = self._confirmed_s.get(upstream.key, float("-inf"))
            if self._clock.monotonic_s() - confirmed_s <= _VALID_S:
                return ProcessIdentity.REGISTERED
            identity = await self._ask(upstream)
        self._metrics.counts[f"process_checks_{identity.name.lower()}"] += 1
        if identity is ProcessIdentity.REPLACED:
            self._directory.note_process_ended(upstream)
        return identity

    def forget(self, upstream: RegisteredUpstream) -> None:
        """Drop the state of an upstream that is deregistered."""
        self._confirmed_s.pop(upstream.key, None)
        self._locks.pop(upstream.key, None)

    async def _ask(self, upstream: RegisteredUpstream) -> ProcessIdentity:
        asked_s = self._clock.monotonic_s()
        try:
            born_ms = self._decode_born_ms(await self._client.read(upstream, self._path))
        except (NotRunError, MayHaveRunError, ValueError) as error:
            emit(Event.PROCESS_UNCONFIRMED, upstream=upstream.upstream_id, error=str(error))
            return ProcessIdentity.UNKNOWN
        if born_ms is None:
            return ProcessIdentity.UNKNOWN
        if born_ms == upstream.born_ms:
            self._confirmed_s[upstream.key] = asked_s
            return ProcessIdentity.REGISTERED
        emit(
            Event.PROCESS_REPLACED,
            upstream=upstream.upstream_id,
            born_ms=born_ms,
            registered_born_ms=upstream.born_ms,
            registrations_age_s=self._directory.age_s(asked_s),
        )
        return ProcessIdentity.REPLACED
