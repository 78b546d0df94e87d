"""Detects whether an upstream crashed when connections of requests to it broke."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import anyio

from ..events import Event, emit
from ..settings.instance import Address

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..core.request_digest import RequestDigest
    from ..core.upstreams import RegisteredUpstream, UpstreamKey

#: A crash is attributed to a request whose connection broke at most this long before. A
#: registration expires three heartbeats after the last one, and is read a second later.
_PROOF_WITHIN_S = 10.0

#: Maximum connection attempts while none is accepted or refused, and the pause between them.
_MOST_CHECKS = 3
_CHECK_PAUSE_S = 0.1


class Liveness(Enum):
    """Result of a connection attempt to an address."""

    ENDED = "nothing listens"
    LIVES = "a process listens"
    UNKNOWN = "no answer"


class LivenessCheck(ABC):
    """Checks whether a process listens at an address."""

    @abstractmethod
    async def check(self, address: str) -> Liveness:
        """Return the result of a connection attempt to ``IP:PORT``."""


class TcpLivenessCheck(LivenessCheck):
    """Opens and closes a TCP connection without sending a request."""

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s

    async def check(self, address: str) -> Liveness:
        """Return the result of a TCP connection attempt to ``IP:PORT``."""
        target = Address.parse(address)
        try:
            with anyio.fail_after(self._timeout_s):
                _, writer = await asyncio.open_connection(target.host, target.port)
        except ConnectionRefusedError:
            return Liveness.ENDED
        except (TimeoutError, OSError):
            # Unreachable host or network; the registration decides in this case.
            return Liveness.UNKNOWN
        writer.close()
        # A later reset does not matter: the connection was accepted.
        with suppress(OSError):
            await writer.wait_closed()
        return Liveness.LIVES


@dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """Attempt whose connection broke before its answer was complete.

    Parameters
    ----------
    known_crashes
        Upstreams known to have crashed during the same request when the attempt began.
    """

    request_id: str
    digest: RequestDigest
    known_ends: int = 0


@dataclass(slots=True)
class _Suspect:
    """Upstream to which connections broke.

    Parameters
    ----------
    last_break_s
        Time of the latest break.
    attempts
        Broken attempts with the time of their break, until a crash is proven.
    """

    upstream: RegisteredUpstream
    broke_s: float
    attempts: dict[BrokenAttempt, float] = field(default_factory=dict)
    has_ended: bool = False
    is_checked: bool = False


class EndWatch:
    """Reports crashes of upstreams and the requests that were running.

    A connection also breaks while the upstream keeps running: by a reset, a network partition, or
    a fault of one answer. A crash is therefore proven by a refused connection, or by the
    registration, which expires or names a later start.

    Parameters
    ----------
    on_crash
        Called with the crashed upstream and each broken attempt.
    """

    def __init__(
        self,
        check: LivenessCheck,
        clock: Clock,
        ended: Callable[[RegisteredUpstream, BrokenAttempt], None],
    ) -> None:
        self._check = check
        self._clock = clock
        self._ended = ended
        self._suspects: dict[UpstreamKey, _Suspect] = {}
        self._unchecked: list[_Suspect] = []
        self._broke = anyio.Event()

    def broke(self, upstream: RegisteredUpstream, attempt: BrokenAttempt) -> None:
        """Record an attempt whose connection broke, and schedule a check of the upstream."""
        now_s = self._clock.monotonic_s()
        self._forget(now_s)
        suspect = self._suspects.setdefault(upstream.key, _Suspect(upstream, now_s))
        suspect.broke_s = now_s
        if suspect.has_ended:
            self._ended(upstream, attempt)
            return
        suspect.attempts[attempt] = now_s
        if not suspect.is_checked:
            suspect.is_checked = True
            self._unchecked.append(suspect)
            self._broke.set()

    def gone(self, upstream: RegisteredUpstream) -> None:
        """Record that an upstream was deregistered or has restarted."""
        suspect = self._suspects.get(upstream.key)
        if suspect is not None and not upstream.draining:
            self._tell_end(suspect, "registration")

    async def run(self) -> None:
        """Check upstreams to which connections broke, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._broke.wait()
                self._broke = anyio.Event()
                unchecked, self._unchecked = self._unchecked, []
                for suspect in unchecked:
                    tasks.start_soon(self._look, suspect)

    async def _look(self, suspect: _Suspect) -> None:
        try:
            await self._check_until_told(suspect)
        finally:
            # The next broken attempt schedules a new check.
            suspect.is_checked = False

    async def _check_until_told(self, suspect: _Suspect) -> None:
        for _ in range(_MOST_CHECKS):
            liveness = await self._check.check(suspect.upstream.address)
            if liveness is Liveness.ENDED:
                self._tell_end(suspect, "refused connection")
            if liveness is not Liveness.UNKNOWN:
                return
            await self._clock.sleep(_CHECK_PAUSE_S)

    def _tell_end(self, suspect: _Suspect, proof: str) -> None:
        now_s = self._clock.monotonic_s()
        if suspect.has_ended or now_s - suspect.broke_s > _PROOF_WITHIN_S:
            return
        suspect.has_ended = True
        broken, suspect.attempts = suspect.attempts, {}
        attempts = [a for a, broke_s in broken.items() if now_s - broke_s <= _PROOF_WITHIN_S]
        emit(
            Event.UPSTREAM_ENDED,
            upstream=suspect.upstream.upstream_id,
            born_ms=suspect.upstream.born_ms,
            proof=proof,
            requests={attempt.request_id: attempt.digest for attempt in attempts},
        )
        for attempt in attempts:
            self._ended(suspect.upstream, attempt)

    def _forget(self, now_s: float) -> None:
        """Remove upstreams whose latest break is older than the proof window."""
        for key, suspect in list(self._suspects.items()):
            if now_s - suspect.broke_s > _PROOF_WITHIN_S:
                del self._suspects[key]
