"""Enforces the quarantine of requests that crash upstreams while requests are forwarded."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from ...errors import ErrorKind, Refusal, RefusedError
from ..relay_client import RelayConnectionBrokenError
from ..upstream_client import ConnectionBrokenError, MisdirectedError, RefusedByUpstreamError
from .crash_detector import BrokenAttempt

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ...clock import Clock
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
            If the request is quarantined and no probe is due. It has not run.
        """
        if self.is_quarantined(call):
            call.probe = await self._feed.claim_probe(call.digest)
            if call.probe is None:
                raise RefusedError(self.refusal(call))
        try:
            yield
        finally:
            if call.probe is not None and not (
                self._has_probe_reached_upstream(call) and self._known_crashes(call)
            ):
                # Either the probe reached no upstream, so that another instance may send it, or
                # its answer has cleared the request.
                self._feed.return_probe(call.probe)

    def is_quarantined(self, call: Call) -> bool:
        """Return whether a request is quarantined and not sent as a probe."""
        quarantine = self._feed.quarantine
        if quarantine.is_empty or call.probe is not None:
            return False
        return quarantine.is_quarantined(call.digest, self._clock.monotonic_s())

    def refusal(self, call: Call) -> Refusal:
        """Return the refusal of a quarantined request."""
        quarantine = self._feed.quarantine
        return Refusal(
            ErrorKind.QUARANTINED,
            f"{call.digest}: {len(quarantine.crashes(call.digest))} upstreams ended",
            retry_after_s=quarantine.retry_after_s(call.digest, self._clock.monotonic_s()),
        )

    def note_attempt_began(self, call: Call) -> None:
        """Reset the state of the latest attempt when a new one begins."""
        call.is_connection_broken = False
        call.is_upstream_full = False
        call.known_crashes = self._known_crashes(call)

    def note_attempt_failed(
        self, call: Call, upstream: RegisteredUpstream, error: Exception
    ) -> None:
        """Record how an attempt failed, and report a possible crash of its upstream."""
        if isinstance(error, ConnectionBrokenError):
            call.is_connection_broken = True
            if isinstance(error, RelayConnectionBrokenError):
                # The peer that relayed the attempt checks the upstream.
                return
            attempt = BrokenAttempt(call.fields.request_id, call.digest, call.known_crashes)
            self._crash_detector.note_broken_attempt(upstream, attempt)
        elif isinstance(error, MisdirectedError):
            self._crash_detector.note_process_ended(upstream)
        elif isinstance(error, RefusedByUpstreamError):
            call.is_upstream_full = True

    def allows_retry(self, call: Call) -> bool:
        """Return whether a request may be sent to another upstream after a failed attempt.

        A retry is not allowed if the connection broke and crashes were already known when the
        attempt began: one request of a caller could crash two more upstreams. It is not allowed
        for a probe that reached an upstream either.
        """
        if call.probe is not None:
            return not self._has_probe_reached_upstream(call)
        return not (call.is_connection_broken and call.known_crashes)

    def note_answered(self, call: Call, answer: UpstreamAnswer) -> None:
        """Clear the quarantine after a complete successful answer.

        A request that crashes every upstream never gets one. An answer that ends with its
        connection does not count, since it also looks complete if its upstream crashed.
        """
        is_success = _OK <= answer.status < _REDIRECT
        if is_success and not answer.ends_with_connection and self._known_crashes(call):
            self._feed.clear(call.digest)

    def _has_probe_reached_upstream(self, call: Call) -> bool:
        return bool(call.sent_attempts) or call.is_upstream_full

    def _known_crashes(self, call: Call) -> int:
        quarantine = self._feed.quarantine
        return 0 if quarantine.is_empty else len(quarantine.crashes(call.digest))
