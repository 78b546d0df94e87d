"""Quarantine of requests that crash upstreams.

A request may crash each upstream that begins to run it, and its caller sends it again with another
id and to another instance. Each crash also breaks all other requests at that upstream, so such a
request must be blocked in the whole fleet after a few crashes.

A request that only ran at upstreams which crashed for another reason must not be blocked. A
complete answer distinguishes it: a request that crashes every upstream never has one, so a single
answer clears it. A popular request runs at many upstreams at once and may lose several of them to
one other cause. If all its crashes may share a cause, the quarantine first waits for an answer. The
request is soon probed in that case, and if other upstreams crashed without it at that time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .request_digest import RequestDigest
    from .upstreams import UpstreamKey

#: Number of upstream crashes after which a request is quarantined.
CRASH_THRESHOLD = 3

#: Maximum number of probes of a quarantined request in the whole fleet, until it is forgotten. The
#: operators allow it to reach one more upstream. That one is reserved for a crash that is never
#: reported because the instance that noticed it was killed, too.
MAX_PROBES = 2

#: Seconds to wait for an answer of a copy that still runs, if the crashes may share a cause.
COMMON_CAUSE_GRACE_S = 1.0

#: Pauses in seconds between the latest crash or probe and the next probe.
_PROBE_PAUSES_S = (30.0, 150.0)

#: The same pauses if the crashes may have another cause than the request.
_OTHER_CAUSE_PROBE_PAUSES_S = (COMMON_CAUSE_GRACE_S, 10.0)

#: Crashes of other upstreams within this time of the latest one indicate another cause.
_OTHER_CRASHES_WITHIN_S = 10.0

#: Minimum seconds after which a caller should retry.
_MIN_RETRY_AFTER_S = 1.0

#: Seconds after the latest crash or probe until a request is forgotten, longer in quarantine.
_FORGET_CRASHES_S = 600.0
_FORGET_QUARANTINE_S = 3600.0

#: Maximum age in seconds of listed crashes and probes: the clocks of machines may jump.
_MAX_AGE_S = _PROBE_PAUSES_S[-1]

#: Number of upstream crashes whose times are retained; the first noted are dropped.
_MAX_CRASH_TIMES = 500

#: Number of requests that are retained; above it the one that expires first is forgotten.
_MAX_SUSPECTS = 2000


@dataclass(frozen=True, slots=True)
class UpstreamCrash:
    """The crash of an upstream while it ran a request.

    Parameters
    ----------
    request_id, instance
        Identify the broken attempt in the logs.
    known_crashes
        Number of crashes under the same request that its instance knew when it began the attempt,
        and that no answer has cleared since.
    """

    digest: RequestDigest
    upstream: UpstreamKey
    request_id: str
    instance: str
    known_crashes: int


@dataclass(frozen=True, slots=True)
class Probe:
    """One more attempt of a quarantined request.

    Parameters
    ----------
    claim_id
        Unique id, so that dropping a probe never drops another one.
    """

    digest: RequestDigest
    claim_id: str


@dataclass(frozen=True, slots=True)
class ForgottenRequest:
    """Crashes and probes of a request that is no longer tracked."""

    crashes: tuple[UpstreamCrash, ...]
    probes: frozenset[Probe]


@dataclass(slots=True)
class _Suspect:
    """A request under which upstreams have crashed, without a complete answer since."""

    latest_event_s: float = -math.inf
    latest_crash_s: float = -math.inf
    crashes: dict[UpstreamKey, UpstreamCrash] = field(default_factory=dict)
    probes: set[Probe] = field(default_factory=set)
    threshold_reached_s: float = 0.0

    @property
    def has_reached_threshold(self) -> bool:
        """Whether there are enough crashes for a quarantine."""
        return len(self.crashes) >= CRASH_THRESHOLD

    @property
    def may_share_cause(self) -> bool:
        """Whether all attempts may have run at once: none began with all other crashes known."""
        return all(crash.known_crashes < CRASH_THRESHOLD - 1 for crash in self.crashes.values())

    @property
    def expires_s(self) -> float:
        """Time at which the request is forgotten."""
        return self.latest_event_s + (
            _FORGET_QUARANTINE_S if self.has_reached_threshold else _FORGET_CRASHES_S
        )

    @property
    def forgotten_request(self) -> ForgottenRequest:
        """Crashes and probes of the request."""
        return ForgottenRequest(tuple(self.crashes.values()), frozenset(self.probes))


@dataclass(slots=True)
class Quarantine:
    """Tracks the requests under which upstreams crashed, as reported by the whole fleet."""

    _suspects: dict[RequestDigest, _Suspect] = field(default_factory=dict)
    _crash_times_s: dict[UpstreamKey, float] = field(default_factory=dict)
    _forgotten: list[ForgottenRequest] = field(default_factory=list)

    @property
    def is_empty(self) -> bool:
        """Whether no request is tracked."""
        return not self._suspects

    def add_crash(self, crash: UpstreamCrash, now_s: float, *, age_s: float = 0.0) -> bool:
        """Add the crash of an upstream, and return whether it is new.

        Parameters
        ----------
        age_s
            Seconds since the crash.
        """
        suspect = self._suspects.setdefault(crash.digest, _Suspect())
        crashed_s = now_s - age_s
        self._crash_times_s.setdefault(crash.upstream, crashed_s)
        if crash.upstream in suspect.crashes:
            return False
        suspect.crashes[crash.upstream] = crash
        suspect.latest_crash_s = max(suspect.latest_crash_s, crashed_s)
        suspect.latest_event_s = max(suspect.latest_event_s, now_s - min(age_s, _MAX_AGE_S))
        if len(suspect.crashes) == CRASH_THRESHOLD:
            suspect.threshold_reached_s = suspect.latest_event_s
        self._enforce_limits()
        return True

    def add_probe(self, probe: Probe, now_s: float, *, age_s: float = 0.0) -> None:
        """Add a probe that some instance sends now, or sent `age_s` seconds ago."""
        suspect = self._suspects.get(probe.digest)
        if suspect is not None and probe not in suspect.probes:
            suspect.probes.add(probe)
            suspect.latest_event_s = max(suspect.latest_event_s, now_s - min(age_s, _MAX_AGE_S))

    def drop_crash(self, digest: RequestDigest, upstream: UpstreamKey) -> None:
        """Remove the crash of one upstream."""
        suspect = self._suspects.get(digest)
        if suspect is None:
            return
        suspect.crashes.pop(upstream, None)
        if not suspect.crashes:
            del self._suspects[digest]

    def clear(self, digest: RequestDigest) -> None:
        """Forget a request that had a complete answer."""
        self._suspects.pop(digest, None)

    def crashes(self, digest: RequestDigest) -> tuple[UpstreamCrash, ...]:
        """Return the crashes under a request, in the order in which they were added."""
        suspect = self._suspects.get(digest)
        return () if suspect is None else tuple(suspect.crashes.values())

    def is_quarantined(self, digest: RequestDigest, now_s: float) -> bool:
        """Return whether a request must not be sent to an upstream."""
        suspect = self._suspects.get(digest)
        if suspect is None or not suspect.has_reached_threshold:
            return False
        return (
            not suspect.may_share_cause
            or now_s >= suspect.threshold_reached_s + COMMON_CAUSE_GRACE_S
        )

    def is_probe_due(self, digest: RequestDigest, now_s: float) -> bool:
        """Return whether a quarantined request may be probed now."""
        suspect = self._suspects.get(digest)
        if suspect is None or not suspect.has_reached_threshold:
            return False
        return now_s >= self._next_probe_s(suspect)

    def retry_after_s(self, digest: RequestDigest, now_s: float) -> float:
        """Return the seconds after which the caller of a quarantined request should retry.

        If its crashes may have another cause, the next probe soon shows whether it is harmless.
        """
        suspect = self._suspects.get(digest)
        if suspect is None:
            return _MIN_RETRY_AFTER_S
        probe_s = self._next_probe_s(suspect)
        if probe_s < math.inf and self._may_have_other_cause(suspect):
            return _MIN_RETRY_AFTER_S
        return max(_MIN_RETRY_AFTER_S, min(probe_s, suspect.expires_s) - now_s)

    def probes(self, digest: RequestDigest) -> frozenset[Probe]:
        """Return the probes of a request."""
        suspect = self._suspects.get(digest)
        return frozenset() if suspect is None else frozenset(suspect.probes)

    def forget_expired(self, now_s: float) -> list[ForgottenRequest]:
        """Forget expired requests, and return their crashes and probes.

        Requests that were forgotten since the last call because there were too many are returned,
        too.
        """
        for digest in [d for d, s in self._suspects.items() if now_s >= s.expires_s]:
            self._forgotten.append(self._suspects.pop(digest).forgotten_request)
        forgotten, self._forgotten = self._forgotten, []
        return forgotten

    def all_crashes(self) -> list[UpstreamCrash]:
        """Return the crashes of all requests."""
        return [crash for suspect in self._suspects.values() for crash in suspect.crashes.values()]

    def all_probes(self) -> list[Probe]:
        """Return the probes of all requests."""
        return [probe for suspect in self._suspects.values() for probe in suspect.probes]

    def drop_probe(self, probe: Probe) -> None:
        """Remove a probe that reached no upstream."""
        suspect = self._suspects.get(probe.digest)
        if suspect is not None:
            suspect.probes.discard(probe)

    def _may_have_other_cause(self, suspect: _Suspect) -> bool:
        """Return whether something other than the request may have crashed its upstreams."""
        return suspect.may_share_cause or any(
            upstream not in suspect.crashes
            and abs(crashed_s - suspect.latest_crash_s) <= _OTHER_CRASHES_WITHIN_S
            for upstream, crashed_s in self._crash_times_s.items()
        )

    def _next_probe_s(self, suspect: _Suspect) -> float:
        """Return the time from which the next probe may be sent, infinite after the last one."""
        probe_count = len(suspect.probes)
        if probe_count >= MAX_PROBES:
            return math.inf
        may_have_other_cause = self._may_have_other_cause(suspect)
        pauses_s = _OTHER_CAUSE_PROBE_PAUSES_S if may_have_other_cause else _PROBE_PAUSES_S
        return suspect.latest_event_s + pauses_s[probe_count]

    def _enforce_limits(self) -> None:
        while len(self._crash_times_s) > _MAX_CRASH_TIMES:
            del self._crash_times_s[next(iter(self._crash_times_s))]
        if len(self._suspects) > _MAX_SUSPECTS:
            oldest = min(self._suspects, key=lambda d: self._suspects[d].expires_s)
            self._forgotten.append(self._suspects.pop(oldest).forgotten_request)
