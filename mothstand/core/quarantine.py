"""Which requests are kept from the upstreams, because upstreams ended under them.

The load that this answers: a request that ends each upstream which begins to run it, and that its
caller sends again, each time with another id and to another instance. All requests that run there
break with each upstream, so such a request must be stopped in the whole fleet after a few ends.

A request that merely ran where upstreams ended must not be stopped for it. It is told by a whole
answer: one that ends every upstream never has any, so a single answer clears it. A popular
request runs at many upstreams at once, and may lose several of them to one other cause. Where
all its ends may have had one cause, the quarantine leaves time for an answer; where upstreams ended
without it, too, it soon sends the request once more.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .request_digest import RequestDigest
    from .upstreams import UpstreamKey

#: A request under which so many upstreams have ended is quarantined.
CRASH_THRESHOLD = 3

#: Trials of a quarantined request in the whole fleet, until it is forgotten. The operators allow
#: one arrival more, which is left for an end that is never told: its instance was killed, too.
MAX_PROBES = 2

#: Where ends may have had one cause, an answer of a copy that still runs is waited for so long.
COMMON_CAUSE_GRACE_S = 1.0

#: Pauses between the latest end or trial and the next trial.
_PROBE_PAUSES_S = (30.0, 150.0)

#: The same where the ends may have had another cause.
_OTHER_CAUSE_PROBE_PAUSES_S = (COMMON_CAUSE_GRACE_S, 10.0)

#: Ends of other upstreams so long before or after the latest one tell of another cause.
_OTHER_CRASHES_WITHIN_S = 10.0

#: Least seconds after which to come back.
_MIN_RETRY_AFTER_S = 1.0

#: Ends are forgotten so long after the latest one, those of quarantined requests later.
_FORGET_CRASHES_S = 600.0
_FORGET_QUARANTINE_S = 3600.0

#: Listed ends and trials count as this old at most: the clocks of machines may jump.
_MAX_AGE_S = _PROBE_PAUSES_S[-1]

#: Ends of upstreams whose times are remembered, the latest ones.
_MAX_CRASH_TIMES = 500

#: Requests that are remembered; above this the one whose latest end is oldest is forgotten.
_MAX_SUSPECTS = 2000


@dataclass(frozen=True, slots=True)
class UpstreamCrash:
    """The end of an upstream while it had a request.

    Parameters
    ----------
    request_id, instance
        Of the attempt that broke, for whoever looks for it in the logs.
    known_ends
        Ends under the same request that its instance knew when it began the attempt, and that no
        answer has cleared since.
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
    claim
        Unlike that of any other trial, so that giving one back never gives back another.
    """

    digest: RequestDigest
    claim_id: str


@dataclass(frozen=True, slots=True)
class ForgottenRequest:
    """What was known of a request that is forgotten."""

    crashes: tuple[UpstreamCrash, ...]
    probes: frozenset[Probe]


@dataclass(slots=True)
class _Suspect:
    """A request under which upstreams have ended, and not answered since."""

    latest_event_s: float = -math.inf
    latest_crash_s: float = -math.inf
    crashes: dict[UpstreamKey, UpstreamCrash] = field(default_factory=dict)
    probes: set[Probe] = field(default_factory=set)
    threshold_reached_s: float = 0.0

    @property
    def has_reached_threshold(self) -> bool:
        """Whether there are enough ends for a quarantine."""
        return len(self.crashes) >= CRASH_THRESHOLD

    @property
    def may_share_cause(self) -> bool:
        """Whether no attempt was begun with all other ends known, so all may have run at once."""
        return all(end.known_crashes < CRASH_THRESHOLD - 1 for end in self.crashes.values())

    @property
    def expires_s(self) -> float:
        """When nothing is kept of it any more."""
        return self.latest_event_s + (
            _FORGET_QUARANTINE_S if self.has_reached_threshold else _FORGET_CRASHES_S
        )

    @property
    def forgotten_request(self) -> ForgottenRequest:
        """What was known of it."""
        return ForgottenRequest(tuple(self.crashes.values()), frozenset(self.probes))


@dataclass(slots=True)
class Quarantine:
    """What the fleet knows of requests under which upstreams ended."""

    _suspects: dict[RequestDigest, _Suspect] = field(default_factory=dict)
    _crash_times_s: dict[UpstreamKey, float] = field(default_factory=dict)
    _forgotten: list[ForgottenRequest] = field(default_factory=list)

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known of any request."""
        return not self._suspects

    def add_crash(self, crash: UpstreamCrash, now_s: float, *, age_s: float = 0.0) -> bool:
        """Take the end of an upstream, and return whether it was not known yet.

        Parameters
        ----------
        age_s
            How long ago it was.
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
        """Note that some instance sends a quarantined request once more, or did so a while ago."""
        suspect = self._suspects.get(probe.digest)
        if suspect is not None and probe not in suspect.probes:
            suspect.probes.add(probe)
            suspect.latest_event_s = max(suspect.latest_event_s, now_s - min(age_s, _MAX_AGE_S))

    def drop_crash(self, digest: RequestDigest, upstream: UpstreamKey) -> None:
        """Take back the end of one upstream."""
        suspect = self._suspects.get(digest)
        if suspect is None:
            return
        suspect.crashes.pop(upstream, None)
        if not suspect.crashes:
            del self._suspects[digest]

    def clear(self, digest: RequestDigest) -> None:
        """Forget a request: it had a whole answer."""
        self._suspects.pop(digest, None)

    def crashes(self, digest: RequestDigest) -> tuple[UpstreamCrash, ...]:
        """Return the ends under a request, in the order in which they were learnt."""
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
        """Return whether a quarantined request may be sent once more."""
        suspect = self._suspects.get(digest)
        if suspect is None or not suspect.has_reached_threshold:
            return False
        return now_s >= self._next_probe_s(suspect)

    def retry_after_s(self, digest: RequestDigest, now_s: float) -> float:
        """Return after how many seconds a request that is held may be sent again.

        The first trial of a request whose ends may have had another cause soon tells.
        """
        suspect = self._suspects.get(digest)
        if suspect is None:
            return _MIN_RETRY_AFTER_S
        probe_s = self._next_probe_s(suspect)
        if probe_s < math.inf and self._may_have_other_cause(suspect):
            return _MIN_RETRY_AFTER_S
        return max(_MIN_RETRY_AFTER_S, min(probe_s, suspect.expires_s) - now_s)

    def probes(self, digest: RequestDigest) -> frozenset[Probe]:
        """Return the trials of a request."""
        suspect = self._suspects.get(digest)
        return frozenset() if suspect is None else frozenset(suspect.probes)

    def forget_expired(self, now_s: float) -> list[ForgottenRequest]:
        """Forget requests that are too old, and return what was known of them.

        Along with these come all requests forgotten since the last time because there were too
        many.
        """
        for digest in [d for d, s in self._suspects.items() if now_s >= s.expires_s]:
            self._forgotten.append(self._suspects.pop(digest).forgotten_request)
        forgotten, self._forgotten = self._forgotten, []
        return forgotten

    def all_crashes(self) -> list[UpstreamCrash]:
        """Return all ends that are known."""
        return [end for suspect in self._suspects.values() for end in suspect.crashes.values()]

    def all_probes(self) -> list[Probe]:
        """Return all trials that are known."""
        return [trial for suspect in self._suspects.values() for trial in suspect.probes]

    def drop_probe(self, probe: Probe) -> None:
        """Take back a trial that reached no upstream."""
        suspect = self._suspects.get(probe.digest)
        if suspect is not None:
            suspect.probes.discard(probe)

    def _may_have_other_cause(self, suspect: _Suspect) -> bool:
        """Return whether something else than the request may have ended its upstreams."""
        return suspect.may_share_cause or any(
            upstream not in suspect.crashes
            and abs(ended_s - suspect.latest_crash_s) <= _OTHER_CRASHES_WITHIN_S
            for upstream, ended_s in self._crash_times_s.items()
        )

    def _next_probe_s(self, suspect: _Suspect) -> float:
        """Return when the next trial may be made, infinite after the last one."""
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
