"""Quarantine of requests that crash upstreams.

A request may crash each upstream that begins to run it, and its caller sends it again with another
id and to another instance. Each crash also breaks all other requests at that upstream, so such a
request must be blocked in the whole fleet after a few crashes.

A request that only ran at upstreams which crashed for another reason must not be blocked. A
complete answer distinguishes it: a request that crashes every upstream never has one, so a single
answer clears it. A popular request runs at many upstreams at once and may lose several of them to
one other cause. If all its crashes may share a cause, the quarantine waits for an answer first; if
other upstreams crashed without it, too, it is soon probed.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .request_digest import RequestDigest
    from .upstreams import UpstreamKey

#: Number of upstream crashes after which a request is quarantined.
MOST_ENDS = 3

#: Maximum number of probes of a quarantined request in the whole fleet, until it is forgotten. The
#: operators allow it to reach one more upstream. That one is reserved for a crash that is never
#: reported because the instance that noticed it was killed, too.
MOST_TRIALS = 2

#: Seconds to wait for an answer of a copy that still runs, if the crashes may share a cause.
DOUBT_S = 1.0

#: Pauses in seconds between the latest crash or probe and the next probe.
_TRIALS_AFTER_S = (30.0, 150.0)

#: The same pauses if the crashes may have another cause than the request.
_DOUBTED_TRIALS_AFTER_S = (DOUBT_S, 10.0)

#: Crashes of other upstreams within this time of the latest one indicate another cause.
_OTHER_ENDS_WITHIN_S = 10.0

#: Minimum seconds after which a caller should retry.
_COME_BACK_S = 1.0

#: Seconds after the latest crash or probe until a request is forgotten, longer in quarantine.
_FORGET_ENDS_S = 600.0
_FORGET_QUARANTINE_S = 3600.0

#: Maximum age in seconds of listed crashes and probes: the clocks of machines may jump.
_MOST_AGE_S = _TRIALS_AFTER_S[-1]

#: Number of upstream crashes whose times are retained; the first noted are dropped.
_MOST_END_TIMES = 500

#: Number of requests that are retained; above it the one that expires first is forgotten.
_MOST_SUSPECTS = 2000


@dataclass(frozen=True, slots=True)
class UpstreamEnd:
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
    known_ends: int


@dataclass(frozen=True, slots=True)
class Trial:
    """One more attempt of a quarantined request.

    Parameters
    ----------
    claim_id
        Unique id, so that dropping a probe never drops another one.
    """

    digest: RequestDigest
    claim: str


@dataclass(frozen=True, slots=True)
class ForgottenRequest:
    """Crashes and probes of a request that is no longer tracked."""

    ends: tuple[UpstreamEnd, ...]
    trials: frozenset[Trial]


@dataclass(slots=True)
class _Suspect:
    """A request under which upstreams have crashed, without a complete answer since."""

    latest_s: float = -math.inf
    latest_end_s: float = -math.inf
    ends: dict[UpstreamKey, UpstreamEnd] = field(default_factory=dict)
    trials: set[Trial] = field(default_factory=set)
    complete_s: float = 0.0

    @property
    def is_complete(self) -> bool:
        """Whether there are enough crashes for a quarantine."""
        return len(self.ends) >= MOST_ENDS

    @property
    def may_have_one_cause(self) -> bool:
        """Whether all attempts may have run at once: none began with all other crashes known."""
        return all(end.known_ends < MOST_ENDS - 1 for end in self.ends.values())

    @property
    def forgotten_s(self) -> float:
        """Time at which the request is forgotten."""
        return self.latest_s + (_FORGET_QUARANTINE_S if self.is_complete else _FORGET_ENDS_S)

    @property
    def as_forgotten(self) -> ForgottenRequest:
        """Crashes and probes of the request."""
        return ForgottenRequest(tuple(self.ends.values()), frozenset(self.trials))


@dataclass(slots=True)
class Quarantine:
    """Tracks the requests under which upstreams crashed, as reported by the whole fleet."""

    _suspects: dict[RequestDigest, _Suspect] = field(default_factory=dict)
    _ended_s: dict[UpstreamKey, float] = field(default_factory=dict)
    _forgotten: list[ForgottenRequest] = field(default_factory=list)

    @property
    def is_empty(self) -> bool:
        """Whether no request is tracked."""
        return not self._suspects

    def add_end(self, end: UpstreamEnd, now_s: float, *, age_s: float = 0.0) -> bool:
        """Add the crash of an upstream, and return whether it is new.

        Parameters
        ----------
        age_s
            Seconds since the crash.
        """
        suspect = self._suspects.setdefault(end.digest, _Suspect())
        ended_s = now_s - age_s
        self._ended_s.setdefault(end.upstream, ended_s)
        if end.upstream in suspect.ends:
            return False
        suspect.ends[end.upstream] = end
        suspect.latest_end_s = max(suspect.latest_end_s, ended_s)
        suspect.latest_s = max(suspect.latest_s, now_s - min(age_s, _MOST_AGE_S))
        if len(suspect.ends) == MOST_ENDS:
            suspect.complete_s = suspect.latest_s
        self._keep_bound()
        return True

    def add_trial(self, trial: Trial, now_s: float, *, age_s: float = 0.0) -> None:
        """Add a probe that some instance sends now, or sent `age_s` seconds ago."""
        suspect = self._suspects.get(trial.digest)
        if suspect is not None and trial not in suspect.trials:
            suspect.trials.add(trial)
            suspect.latest_s = max(suspect.latest_s, now_s - min(age_s, _MOST_AGE_S))

    def drop_end(self, digest: RequestDigest, upstream: UpstreamKey) -> None:
        """Remove the crash of one upstream."""
        suspect = self._suspects.get(digest)
        if suspect is None:
            return
        suspect.ends.pop(upstream, None)
        if not suspect.ends:
            del self._suspects[digest]

    def clear(self, digest: RequestDigest) -> None:
        """Forget a request that had a complete answer."""
        self._suspects.pop(digest, None)

    def ends(self, digest: RequestDigest) -> tuple[UpstreamEnd, ...]:
        """Return the crashes under a request, in the order in which they were added."""
        suspect = self._suspects.get(digest)
        return () if suspect is None else tuple(suspect.ends.values())

    def is_held(self, digest: RequestDigest, now_s: float) -> bool:
        """Return whether a request must not be sent to an upstream."""
        suspect = self._suspects.get(digest)
        if suspect is None or not suspect.is_complete:
            return False
        return not suspect.may_have_one_cause or now_s >= suspect.complete_s + DOUBT_S

    def is_trial_due(self, digest: RequestDigest, now_s: float) -> bool:
        """Return whether a quarantined request may be probed now."""
        suspect = self._suspects.get(digest)
        if suspect is None or not suspect.is_complete:
            return False
        return now_s >= self._trial_s(suspect)

    def come_back_s(self, digest: RequestDigest, now_s: float) -> float:
        """Return the seconds after which the caller of a quarantined request should retry.

        If its crashes may have another cause, the next probe soon shows whether it is harmless.
        """
        suspect = self._suspects.get(digest)
        if suspect is None:
            return _COME_BACK_S
        trial_s = self._trial_s(suspect)
        if trial_s < math.inf and self._may_have_other_cause(suspect):
            return _COME_BACK_S
        return max(_COME_BACK_S, min(trial_s, suspect.forgotten_s) - now_s)

    def trials(self, digest: RequestDigest) -> frozenset[Trial]:
        """Return the probes of a request."""
        suspect = self._suspects.get(digest)
        return frozenset() if suspect is None else frozenset(suspect.trials)

    def forget_old(self, now_s: float) -> list[ForgottenRequest]:
        """Forget expired requests, and return their crashes and probes.

        Requests that were forgotten since the last call because there were too many are returned,
        too.
        """
        for digest in [d for d, s in self._suspects.items() if now_s >= s.forgotten_s]:
            self._forgotten.append(self._suspects.pop(digest).as_forgotten)
        forgotten, self._forgotten = self._forgotten, []
        return forgotten

    def all_ends(self) -> list[UpstreamEnd]:
        """Return the crashes of all requests."""
        return [end for suspect in self._suspects.values() for end in suspect.ends.values()]

    def all_trials(self) -> list[Trial]:
        """Return the probes of all requests."""
        return [trial for suspect in self._suspects.values() for trial in suspect.trials]

    def drop_trial(self, trial: Trial) -> None:
        """Remove a probe that reached no upstream."""
        suspect = self._suspects.get(trial.digest)
        if suspect is not None:
            suspect.trials.discard(trial)

    def _may_have_other_cause(self, suspect: _Suspect) -> bool:
        """Return whether something other than the request may have crashed its upstreams."""
        return suspect.may_have_one_cause or any(
            upstream not in suspect.ends
            and abs(ended_s - suspect.latest_end_s) <= _OTHER_ENDS_WITHIN_S
            for upstream, ended_s in self._ended_s.items()
        )

    def _trial_s(self, suspect: _Suspect) -> float:
        """Return the time from which the next probe may be sent, infinite after the last one."""
        made = len(suspect.trials)
        if made >= MOST_TRIALS:
            return math.inf
        is_doubted = self._may_have_other_cause(suspect)
        pauses_s = _DOUBTED_TRIALS_AFTER_S if is_doubted else _TRIALS_AFTER_S
        return suspect.latest_s + pauses_s[made]

    def _keep_bound(self) -> None:
        while len(self._ended_s) > _MOST_END_TIMES:
            del self._ended_s[next(iter(self._ended_s))]
        if len(self._suspects) > _MOST_SUSPECTS:
            oldest = min(self._suspects, key=lambda d: self._suspects[d].forgotten_s)
            self._forgotten.append(self._suspects.pop(oldest).as_forgotten)
