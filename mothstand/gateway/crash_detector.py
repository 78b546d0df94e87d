"""Finds out whether an upstream has ended when requests broke off there."""

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

#: For so long after a request broke off, an end of its upstream counts as an end under it. A
#: registration lapses three heartbeats after the last one, and is read a second later.
_PROOF_WINDOW_S = 10.0

#: Connections that are tried while none is taken or refused, and the pause between two of them.
_MAX_CHECKS = 3
_CHECK_PAUSE_S = 0.1


class Liveness(Enum):
    """What a new connection tells of the process at an address."""

    NOT_LISTENING = "nothing listens"
    LISTENING = "a process listens"
    UNKNOWN = "no answer"


class LivenessCheck(ABC):
    """Tells whether a process listens at an address."""

    @abstractmethod
    async def check(self, address: str) -> Liveness:
        """Return what a new connection to ``IP:PORT`` tells."""


class TcpLivenessCheck(LivenessCheck):
    """Opens a TCP connection and closes it, without a request."""

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s

    async def check(self, address: str) -> Liveness:
        """Return what a new connection to ``IP:PORT`` tells."""
        target = Address.parse(address)
        try:
            with anyio.fail_after(self._timeout_s):
                _, writer = await asyncio.open_connection(target.host, target.port)
        except ConnectionRefusedError:
            return Liveness.NOT_LISTENING
        except (TimeoutError, OSError):
            # Dark or cut off; whoever asks goes by the registration then.
            return Liveness.UNKNOWN
        writer.close()
        # A reset now tells nothing more: the connection was taken.
        with suppress(OSError):
            await writer.wait_closed()
        return Liveness.LISTENING


@dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """A request whose connection broke before its whole answer.

    Parameters
    ----------
    known_ends
        Upstreams that were known to have ended under the same request when the attempt began.
    """

    request_id: str
    digest: RequestDigest
    known_crashes: int = 0


@dataclass(slots=True)
class _SuspectedUpstream:
    """An upstream where requests broke off.

    Parameters
    ----------
    broke_s
        When the latest of them broke.
    attempts
        Those that it has not ended under as far as is known, and when each broke.
    """

    upstream: RegisteredUpstream
    last_break_s: float
    attempts: dict[BrokenAttempt, float] = field(default_factory=dict)
    has_crashed: bool = False
    is_check_pending: bool = False


class CrashDetector:
    """Tells under which requests an upstream has ended.

    A connection also breaks where the upstream lives on: by a reset, a cut link, or a fault that
    breaks off one answer. So an end has to be proved: by a connection that is refused, or by the
    registration, which ends or names a later start.

    Parameters
    ----------
    ended
        Called with an upstream that has ended and each request that broke off there.
    """

    def __init__(
        self,
        check: LivenessCheck,
        clock: Clock,
        on_crash: Callable[[RegisteredUpstream, BrokenAttempt], None],
    ) -> None:
        self._check = check
        self._clock = clock
        self._on_crash = on_crash
        self._suspects: dict[UpstreamKey, _SuspectedUpstream] = {}
        self._unchecked: list[_SuspectedUpstream] = []
        self._has_unchecked = anyio.Event()

    def note_broken_attempt(self, upstream: RegisteredUpstream, attempt: BrokenAttempt) -> None:
        """Note that a request's connection broke."""
        now_s = self._clock.monotonic_s()
        self._forget_expired(now_s)
        suspect = self._suspects.setdefault(upstream.key, _SuspectedUpstream(upstream, now_s))
        suspect.last_break_s = now_s
        if suspect.has_crashed:
            self._on_crash(upstream, attempt)
            return
        suspect.attempts[attempt] = now_s
        if not suspect.is_check_pending:
            suspect.is_check_pending = True
            self._unchecked.append(suspect)
            self._has_unchecked.set()

    def note_deregistered(self, upstream: RegisteredUpstream) -> None:
        """Note that an upstream has ended by its registration, or started again."""
        suspect = self._suspects.get(upstream.key)
        if suspect is not None and not upstream.is_draining:
            self._report_crash(suspect, "registration")

    async def run(self) -> None:
        """Check upstreams where requests broke off, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._has_unchecked.wait()
                self._has_unchecked = anyio.Event()
                unchecked, self._unchecked = self._unchecked, []
                for suspect in unchecked:
                    tasks.start_soon(self._check_suspect, suspect)

    async def _check_suspect(self, suspect: _SuspectedUpstream) -> None:
        try:
            await self._check_until_known(suspect)
        finally:
            # The next request that breaks there is a reason to look again.
            suspect.is_check_pending = False

    async def _check_until_known(self, suspect: _SuspectedUpstream) -> None:
        for _ in range(_MAX_CHECKS):
            liveness = await self._check.check(suspect.upstream.address)
            if liveness is Liveness.NOT_LISTENING:
                self._report_crash(suspect, "refused connection")
            if liveness is not Liveness.UNKNOWN:
                return
            await self._clock.sleep(_CHECK_PAUSE_S)

    def _report_crash(self, suspect: _SuspectedUpstream, proof: str) -> None:
        now_s = self._clock.monotonic_s()
        if suspect.has_crashed or now_s - suspect.last_break_s > _PROOF_WINDOW_S:
            return
        suspect.has_crashed = True
        break_times, suspect.attempts = suspect.attempts, {}
        attempts = [a for a, broke_s in break_times.items() if now_s - broke_s <= _PROOF_WINDOW_S]
        emit(
            Event.UPSTREAM_ENDED,
            upstream=suspect.upstream.upstream_id,
            born_ms=suspect.upstream.born_ms,
            proof=proof,
            requests={attempt.request_id: attempt.digest for attempt in attempts},
        )
        for attempt in attempts:
            self._on_crash(suspect.upstream, attempt)

    def _forget_expired(self, now_s: float) -> None:
        """Drop upstreams of which nothing more is expected."""
        for key, suspect in list(self._suspects.items()):
            if now_s - suspect.last_break_s > _PROOF_WINDOW_S:
                del self._suspects[key]
