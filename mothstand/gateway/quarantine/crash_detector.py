"""Detects whether an upstream crashed when connections of requests to it broke."""

from __future__ import annotations

import asyncio
import random
from abc import ABC, abstractmethod
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import anyio

from ...events import Event, emit
from ...settings.instance import Address

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...clock import Clock
    from ...core.suspects import Suspect, SuspectId
    from ...core.upstreams import RegisteredUpstream, UpstreamKey

#: A crash is attributed to a request whose connection broke at most this long before. A
#: registration expires three heartbeats after the last one, and is read a second later.
_PROOF_WINDOW_S = 10.0

#: Maximum connection attempts while none is accepted or refused, and the pause between them.
_MAX_CHECKS = 3
_CHECK_PAUSE_S = 0.1


#: Maximum other upstreams that are checked before a refused connection proves nothing.
_MAX_WITNESSES = 3


class Liveness(Enum):
    """Result of a connection attempt to an address."""

    NOT_LISTENING = "nothing listens"
    LISTENING = "a process listens"
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
            return Liveness.NOT_LISTENING
        except (TimeoutError, OSError):
            # Unreachable host or network; the registration decides in this case.
            return Liveness.UNKNOWN
        writer.close()
        # A later reset does not matter: the connection was accepted.
        with suppress(OSError):
            await writer.wait_closed()
        return Liveness.LISTENING


class CorroboratedCheck(LivenessCheck):
    """Accepts a refused connection as proof only if another upstream accepts one.

    A network partition may refuse the connections of one instance to all upstreams.

    Parameters
    ----------
    addresses
        Returns the addresses of all upstreams.
    """

    def __init__(self, check: LivenessCheck, addresses: Callable[[], list[str]]) -> None:
        self._check = check
        self._addresses = addresses

    async def check(self, address: str) -> Liveness:
        """Return the result of a connection attempt to ``IP:PORT``."""
        liveness = await self._check.check(address)
        if liveness is not Liveness.NOT_LISTENING:
            return liveness
        others = [other for other in self._addresses() if other != address]
        for other in random.sample(others, min(_MAX_WITNESSES, len(others))):
            if await self._check.check(other) is Liveness.LISTENING:
                return liveness
        return Liveness.UNKNOWN if others else liveness


@dataclass(frozen=True, slots=True)
class AttemptSuspect:
    """Suspect of an attempt: the request, or a part of its prompt.

    Parameters
    ----------
    known_crashes
        Number of upstreams that were known to have crashed under the same suspect when the attempt
        began.
    """

    suspect: Suspect
    known_crashes: int = 0


@dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """Attempt whose connection broke before its answer was known to be complete.

    Parameters
    ----------
    digest
        Digest of the request.
    suspects
        What may have crashed the upstream if it crashed.
    looks_complete
        Whether its answer ended with its connection, which only a crash makes incomplete.
    """

    request_id: str
    digest: SuspectId
    suspects: tuple[AttemptSuspect, ...]
    looks_complete: bool = False


@dataclass(slots=True)
class _SuspectedUpstream:
    """Upstream to which connections broke.

    Parameters
    ----------
    last_break_s
        Time of the latest break.
    attempts
        Broken attempts with the time of their break, until a crash is proven.
    """

    upstream: RegisteredUpstream
    last_break_s: float
    attempts: dict[BrokenAttempt, float] = field(default_factory=dict)
    has_crashed: bool = False
    is_check_pending: bool = False

    def clear_complete(self, before_s: float) -> bool:
        """Drop attempts that look complete; return whether some ended later than `before_s`.

        The upstream still listens after they ended, so they are complete.
        """
        self.attempts = {
            attempt: broke_s
            for attempt, broke_s in self.attempts.items()
            if not attempt.looks_complete or broke_s > before_s
        }
        return any(attempt.looks_complete for attempt in self.attempts)


class CrashDetector:
    """Detects crashes of upstreams and reports the requests whose connections broke there.

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
        on_crash: Callable[[RegisteredUpstream, BrokenAttempt], None],
    ) -> None:
        self._check = check
        self._clock = clock
        self._on_crash = on_crash
        self._suspects: dict[UpstreamKey, _SuspectedUpstream] = {}
        self._unchecked: list[_SuspectedUpstream] = []
        self._has_unchecked = anyio.Event()

    def note_broken_attempt(self, upstream: RegisteredUpstream, attempt: BrokenAttempt) -> None:
        """Record an attempt whose connection broke, and schedule a check of the upstream."""
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

    def note_process_ended(self, upstream: RegisteredUpstream) -> None:
        """Record that an upstream was deregistered or has restarted."""
        suspect = self._suspects.get(upstream.key)
        if suspect is not None and not upstream.is_draining:
            self._report_crash(suspect, "registration")

    async def run(self) -> None:
        """Check upstreams to which connections broke, until cancelled."""
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
            # The next broken attempt schedules a new check.
            suspect.is_check_pending = False

    async def _check_until_known(self, suspect: _SuspectedUpstream) -> None:
        unknown_checks = 0
        while unknown_checks < _MAX_CHECKS:
            began_s = self._clock.monotonic_s()
            liveness = await self._check.check(suspect.upstream.address)
            if liveness is Liveness.NOT_LISTENING:
                self._report_crash(suspect, "refused connection")
                return
            if liveness is Liveness.LISTENING and not suspect.clear_complete(began_s):
                return
            unknown_checks += liveness is Liveness.UNKNOWN
            await self._clock.sleep(_CHECK_PAUSE_S)
        # Nothing tells whether these answers are complete.
        suspect.clear_complete(self._clock.monotonic_s())

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
        """Remove upstreams whose latest break is older than the proof window."""
        for key, suspect in list(self._suspects.items()):
            if now_s - suspect.last_break_s > _PROOF_WINDOW_S:
                del self._suspects[key]
