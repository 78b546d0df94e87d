"""Enforces the quarantine of what crashes upstreams while requests are forwarded."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import replace
from typing import TYPE_CHECKING

from ...core.suspects import has_lived_on
from ...errors import ErrorKind, Refusal, RefusedError
from ..relay_client import RelayConnectionBrokenError
from ..upstream_client import ConnectionBrokenError, MisdirectedError, RefusedByUpstreamError
from .crash_detector import AttemptSuspect, BrokenAttempt

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ...clock import Clock
    from ...core.suspects import SuspectId
    from ...core.upstreams import RegisteredUpstream
    from ..call import Call
    from ..upstream_client import UpstreamAnswer
    from .crash_detector import CrashDetector
    from .feed import QuarantineFeed

_OK = 200
_REDIRECT = 300


class CrashGuard:
    """Checks requests against the quarantine and records the outcome of their attempts."""

    def __init__(self, feed: QuarantineFeed, crash_detector: CrashDetector, clock: Clock) -> None:
        self._feed = feed
        self._crash_detector = crash_detector
        self._clock = clock

    @asynccontextmanager
    async def admit(self, call: Call) -> AsyncIterator[None]:
        """Admit a request that is not quarantined, or that may run as a probe.

        Raises
        ------
        RefusedError
            If the request or a part of its prompt is quarantined and no probe is due. It has not
            run.
        """
        if self.is_quarantined(call):
            call.probes = await self._feed.claim_probes(_suspect_ids(call))
            if not call.probes:
                raise RefusedError(self.refusal(call))
        try:
            yield
        finally:
            has_reached_upstream = self._has_probe_reached_upstream(call)
            for probe in call.probes:
                if not (has_reached_upstream and self._crash_count(probe.suspect_id)):
                    # Either the probe reached no upstream, so that another instance may send it,
                    # or its answer has cleared the suspect.
                    self._feed.return_probe(probe)

    def is_quarantined(self, call: Call) -> bool:
        """Return whether a request is quarantined and not sent as a probe."""
        quarantine = self._feed.quarantine
        if quarantine.is_empty or call.probes:
            return False
        return bool(quarantine.blocking(_suspect_ids(call), self._clock.monotonic_s()))

    def refusal(self, call: Call) -> Refusal:
        """Return the refusal of a quarantined request, which names what is quarantined."""
        quarantine = self._feed.quarantine
        now_s = self._clock.monotonic_s()
        blocking = set(quarantine.blocking(_suspect_ids(call), now_s))
        causes = [
            f"{suspect.suspect_id}{f' (part {suspect.label})' if suspect.label else ''}: "
            f"{self._crash_count(suspect.suspect_id)} upstreams ended"
            for suspect in call.suspects
            if suspect.suspect_id in blocking
        ]
        return Refusal(
            ErrorKind.QUARANTINED,
            "; ".join(causes),
            retry_after_s=quarantine.retry_after_s(_suspect_ids(call), now_s),
        )

    def note_attempt_began(self, call: Call) -> None:
        """Reset the state of the latest attempt when a new one begins."""
        call.is_connection_broken = False
        call.is_upstream_full = False
        call.answering_since_s = None
        call.has_survived = False
        call.known_crashes = self._known_crashes(call)

    def note_answering(self, call: Call) -> None:
        """Record that bytes of an answer's body arrived.

        If the first ones arrived long enough ago, no part of the prompt crashes upstreams.
        """
        now_s = self._clock.monotonic_s()
        if call.answering_since_s is None:
            call.answering_since_s = now_s
        elif self._has_lived_on(call):
            self._note_survived(call)

    def note_attempt_failed(
        self, call: Call, upstream: RegisteredUpstream, error: Exception
    ) -> None:
        """Record how an attempt failed, and report a possible crash of its upstream."""
        if isinstance(error, ConnectionBrokenError):
            call.is_connection_broken = True
            if isinstance(error, RelayConnectionBrokenError):
                # The peer that relayed the attempt checks the upstream.
                return
            self._crash_detector.note_broken_attempt(upstream, self._broken_attempt(call))
        elif isinstance(error, MisdirectedError):
            self._crash_detector.note_process_ended(upstream)
        elif isinstance(error, RefusedByUpstreamError):
            call.is_upstream_full = True

    def allows_retry(self, call: Call) -> bool:
        """Return whether a request may be sent to another upstream after a failed attempt.

        A retry is not allowed if the connection broke and crashes of a suspect were already known
        when the attempt began: one request of a caller could crash two more upstreams. It is not
        allowed for a probe that reached an upstream either.
        """
        if call.probes:
            return not self._has_probe_reached_upstream(call)
        return not (call.is_connection_broken and call.known_crashes)

    def note_answered(
        self, call: Call, upstream: RegisteredUpstream, answer: UpstreamAnswer
    ) -> None:
        """Clear the request and the parts of its prompt after a complete successful answer.

        What crashes every upstream never gets one. An answer that ends with its connection also
        looks complete if its upstream crashed, so it does not count.
        """
        if not _OK <= answer.status < _REDIRECT:
            return
        if answer.ends_with_connection:
            if not call.relay:
                attempt = replace(self._broken_attempt(call), looks_complete=True)
                self._crash_detector.note_broken_attempt(upstream, attempt)
            return
        self._note_survived(call)
        if self._known_crashes(call).get(call.digest):
            self._feed.clear(call.digest)

    def _broken_attempt(self, call: Call) -> BrokenAttempt:
        """Return the latest attempt with its suspects; parts of a running answer are none."""
        suspects = call.suspects[:1] if self._has_lived_on(call) else call.suspects
        return BrokenAttempt(
            call.fields.request_id,
            call.digest,
            tuple(
                AttemptSuspect(suspect, call.known_crashes.get(suspect.suspect_id, 0))
                for suspect in suspects
            ),
        )

    def _has_lived_on(self, call: Call) -> bool:
        """Return whether the upstream lived on after it began to write the answer."""
        return has_lived_on(call.answering_since_s, self._clock.monotonic_s())

    def _note_survived(self, call: Call) -> None:
        if not call.has_survived:
            call.has_survived = True
            self._feed.note_survived(call.part_suspects)

    def _has_probe_reached_upstream(self, call: Call) -> bool:
        return bool(call.sent_attempts) or call.is_upstream_full

    def _known_crashes(self, call: Call) -> dict[SuspectId, int]:
        """Return the numbers of known crashes under the suspects of a request, if any."""
        if self._feed.quarantine.is_empty:
            return {}
        counts = {suspect_id: self._crash_count(suspect_id) for suspect_id in _suspect_ids(call)}
        return {suspect_id: count for suspect_id, count in counts.items() if count}

    def _crash_count(self, suspect_id: SuspectId) -> int:
        return len(self._feed.quarantine.crashes(suspect_id))


def _suspect_ids(call: Call) -> tuple[SuspectId, ...]:
    return tuple(suspect.suspect_id for suspect in call.suspects)
