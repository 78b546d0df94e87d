"""Quarantine of requests and prompt parts that crash upstreams.

A request may crash each upstream that begins to run it, and its caller sends it again with another
id and to another instance. A prompt part may crash each upstream that begins to write an answer on
it, whatever else the request holds. Each crash also breaks all other requests at that upstream, so
the cause must be blocked in the whole fleet after a few crashes.

A crash counts for every suspect that was there: the requests, and the parts of their prompts. A
suspect that only ran at upstreams which crashed for another reason must not be blocked. An answer
distinguishes it: what crashes every upstream never has one, so a single answer clears it. A
suspect that was only there when a likelier cause was there, too, is not blocked either. A popular
request runs at many upstreams at once and may lose several of them to one other cause. If all its
crashes may share a cause, the quarantine first waits for an answer. The suspect is soon probed in
that case, and if other upstreams crashed without it at that time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .survivals import Survivals
from .suspects import is_part

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .suspects import SuspectId
    from .upstreams import UpstreamKey

#: Number of upstream crashes after which a suspect is quarantined.
CRASH_THRESHOLD = 3

#: Number of upstream crashes from which a part is quarantined although a single request, repeated,
#: may be the cause of all of them.
CERTAIN_CRASHES = 5

#: Maximum number of probes of a quarantined suspect in the whole fleet, until it is forgotten. The
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

#: Seconds after an answer for which this instance does not enforce a quarantine of its part: more
#: answers would clear it.
_SURVIVAL_GRACE_S = 2.0

#: Seconds after the latest crash or probe until a suspect is forgotten, longer in quarantine.
_FORGET_CRASHES_S = 600.0
_FORGET_QUARANTINE_S = 3600.0

#: Maximum age in seconds of listed crashes and probes: the clocks of machines may jump.
_MAX_AGE_S = _PROBE_PAUSES_S[-1]

#: Number of upstream crashes whose times are retained; the first noted are dropped.
_MAX_CRASH_TIMES = 500

#: Number of suspects that are retained; above it the one that expires first is forgotten.
_MAX_SUSPECTS = 2000


@dataclass(frozen=True, slots=True)
class UpstreamCrash:
    """The crash of an upstream while a suspect was there.

    Parameters
    ----------
    request_id, instance
        Identify the broken attempt in the logs.
    known_crashes
        Number of crashes under the same suspect that its instance knew when it began the attempt,
        and that no answer has cleared since.
    label
        Id of the suspected prompt part, shortened for the log; empty for a whole request.
    """

    suspect_id: SuspectId
    upstream: UpstreamKey
    request_id: str
    instance: str
    known_crashes: int
    label: str = ""


@dataclass(frozen=True, slots=True)
class Probe:
    """One more attempt of a request that is, or has a part that is, quarantined.

    Parameters
    ----------
    claim_id
        Unique id of the attempt, so that dropping a probe never drops another one.
    """

    suspect_id: SuspectId
    claim_id: str


@dataclass(frozen=True, slots=True)
class ForgottenSuspect:
    """Crashes and probes of a suspect that is no longer tracked."""

    crashes: tuple[UpstreamCrash, ...]
    probes: frozenset[Probe]


@dataclass(slots=True)
class _Suspect:
    """A request or part under which upstreams have crashed, without an answer since."""

    suspect_id: SuspectId
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
    def rank(self) -> tuple[int, bool]:
        """Order of likelihood to be the cause of crashes that it shares with another suspect.

        If a request and its parts were at the same crashes, a repeated request is likelier, since
        other requests with the parts would have crashed upstreams, too.
        """
        is_likelier = not is_part(self.suspect_id) and len(self.crashes) < CERTAIN_CRASHES
        return len(self.crashes), is_likelier

    @property
    def may_share_cause(self) -> bool:
        """Whether all attempts may have run at once: none began with all other crashes known."""
        return all(crash.known_crashes < CRASH_THRESHOLD - 1 for crash in self.crashes.values())

    @property
    def expires_s(self) -> float:
        """Time at which the suspect is forgotten."""
        return self.latest_event_s + (
            _FORGET_QUARANTINE_S if self.has_reached_threshold else _FORGET_CRASHES_S
        )

    @property
    def forgotten(self) -> ForgottenSuspect:
        """Crashes and probes of the suspect."""
        return ForgottenSuspect(tuple(self.crashes.values()), frozenset(self.probes))


@dataclass(slots=True)
class Quarantine:
    """Tracks the suspects under which upstreams crashed, as reported by the whole fleet.

    Parameters
    ----------
    survivals
        Prompt parts that this instance has seen answered.
    """

    survivals: Survivals = field(default_factory=Survivals)
    _suspects: dict[SuspectId, _Suspect] = field(default_factory=dict)
    _crash_times_s: dict[UpstreamKey, float] = field(default_factory=dict)
    _forgotten: list[ForgottenSuspect] = field(default_factory=list)

    @property
    def is_empty(self) -> bool:
        """Whether no suspect is tracked."""
        return not self._suspects

    def add_crash(self, crash: UpstreamCrash, now_s: float, *, age_s: float = 0.0) -> bool:
        """Add the crash of an upstream, and return whether it is new.

        Parameters
        ----------
        age_s
            Seconds since the crash.
        """
        suspect = self._suspects.setdefault(crash.suspect_id, _Suspect(crash.suspect_id))
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
        suspect = self._suspects.get(probe.suspect_id)
        if suspect is not None and probe not in suspect.probes:
            suspect.probes.add(probe)
            suspect.latest_event_s = max(suspect.latest_event_s, now_s - min(age_s, _MAX_AGE_S))

    def drop_crash(self, suspect_id: SuspectId, upstream: UpstreamKey) -> None:
        """Remove the crash of one upstream."""
        suspect = self._suspects.get(suspect_id)
        if suspect is None:
            return
        suspect.crashes.pop(upstream, None)
        if not suspect.crashes:
            del self._suspects[suspect_id]

    def clear(self, suspect_id: SuspectId) -> None:
        """Forget a suspect that had an answer."""
        self._suspects.pop(suspect_id, None)

    def crashes(self, suspect_id: SuspectId) -> tuple[UpstreamCrash, ...]:
        """Return the crashes under a suspect, in the order in which they were added."""
        suspect = self._suspects.get(suspect_id)
        return () if suspect is None else tuple(suspect.crashes.values())

    def is_quarantined(self, suspect_id: SuspectId, now_s: float) -> bool:
        """Return whether requests with a suspect must not be sent to an upstream."""
        return bool(self.blocking((suspect_id,), now_s))

    def blocking(self, suspect_ids: Iterable[SuspectId], now_s: float) -> tuple[SuspectId, ...]:
        """Return those suspects of a request for which it must not be sent to an upstream."""
        reached = [s for i in suspect_ids if (s := self._reached(i, now_s)) is not None]
        if not reached:
            return ()
        causes = self._likely_causes(now_s)
        return tuple(
            suspect.suspect_id
            for suspect in reached
            if suspect.suspect_id in causes and self._is_grace_over(suspect, now_s)
        )

    def is_probe_due(self, suspect_ids: Sequence[SuspectId], now_s: float) -> bool:
        """Return whether a request with these suspects, some of them quarantined, may be probed."""
        due_s = [self._next_probe_s(i, suspect_ids) for i in self.blocking(suspect_ids, now_s)]
        return bool(due_s) and now_s >= max(due_s)

    def retry_after_s(self, suspect_ids: Sequence[SuspectId], now_s: float) -> float:
        """Return the seconds after which the caller of a quarantined request should retry.

        If its crashes may have another cause, the next probe soon shows whether it is harmless.
        """
        waits_s = [
            self._retry_after_s(suspect_id, suspect_ids, now_s)
            for suspect_id in self.blocking(suspect_ids, now_s)
        ]
        return max(waits_s, default=_MIN_RETRY_AFTER_S)

    def probes(self, suspect_id: SuspectId) -> frozenset[Probe]:
        """Return the probes of a suspect."""
        suspect = self._suspects.get(suspect_id)
        return frozenset() if suspect is None else frozenset(suspect.probes)

    def forget_expired(self, now_s: float) -> list[ForgottenSuspect]:
        """Forget expired suspects, and return their crashes and probes.

        Suspects that were forgotten since the last call because there were too many are returned,
        too.
        """
        for suspect_id in [i for i, s in self._suspects.items() if now_s >= s.expires_s]:
            self._forgotten.append(self._suspects.pop(suspect_id).forgotten)
        forgotten, self._forgotten = self._forgotten, []
        return forgotten

    def all_crashes(self) -> list[UpstreamCrash]:
        """Return the crashes of all suspects."""
        return [crash for suspect in self._suspects.values() for crash in suspect.crashes.values()]

    def all_probes(self) -> list[Probe]:
        """Return the probes of all suspects."""
        return [probe for suspect in self._suspects.values() for probe in suspect.probes]

    def drop_probe(self, probe: Probe) -> None:
        """Remove a probe that reached no upstream."""
        suspect = self._suspects.get(probe.suspect_id)
        if suspect is not None:
            suspect.probes.discard(probe)

    def quarantined(self, now_s: float) -> tuple[SuspectId, ...]:
        """Return all suspects that are quarantined."""
        return self.blocking(list(self._suspects), now_s)

    def _reached(self, suspect_id: SuspectId, now_s: float) -> _Suspect | None:
        """Return a suspect that has enough crashes and no recent answer at this instance."""
        suspect = self._suspects.get(suspect_id)
        if suspect is None or not suspect.has_reached_threshold:
            return None
        if now_s - self.survivals.latest_s(suspect_id) <= _SURVIVAL_GRACE_S:
            return None
        return suspect

    def _likely_causes(self, now_s: float) -> set[SuspectId]:
        """Return the suspects with enough crashes, but for those explained by likelier causes."""
        reached = [s for i in self._suspects if (s := self._reached(i, now_s)) is not None]
        reached.sort(key=lambda suspect: suspect.rank, reverse=True)
        causes: list[_Suspect] = []
        for suspect in reached:
            explained = {
                upstream
                for cause in causes
                if cause.rank > suspect.rank
                for upstream in cause.crashes
            }
            if not suspect.crashes.keys() <= explained:
                causes.append(suspect)
        return {cause.suspect_id for cause in causes}

    def _is_grace_over(self, suspect: _Suspect, now_s: float) -> bool:
        return (
            not suspect.may_share_cause
            or now_s >= suspect.threshold_reached_s + COMMON_CAUSE_GRACE_S
        )

    def _retry_after_s(
        self, suspect_id: SuspectId, suspect_ids: Sequence[SuspectId], now_s: float
    ) -> float:
        suspect = self._suspects[suspect_id]
        probe_s = self._next_probe_s(suspect_id, suspect_ids)
        if probe_s < math.inf and self._may_have_other_cause(suspect, suspect_ids):
            return _MIN_RETRY_AFTER_S
        return max(_MIN_RETRY_AFTER_S, min(probe_s, suspect.expires_s) - now_s)

    def _next_probe_s(self, suspect_id: SuspectId, suspect_ids: Sequence[SuspectId]) -> float:
        """Return the time from which the next probe may be sent, infinite after the last one."""
        suspect = self._suspects[suspect_id]
        probe_count = len(suspect.probes)
        if probe_count >= MAX_PROBES:
            return math.inf
        has_other_cause = self._may_have_other_cause(suspect, suspect_ids)
        pauses_s = _OTHER_CAUSE_PROBE_PAUSES_S if has_other_cause else _PROBE_PAUSES_S
        return suspect.latest_event_s + pauses_s[probe_count]

    def _may_have_other_cause(self, suspect: _Suspect, suspect_ids: Sequence[SuspectId]) -> bool:
        """Return whether something other than a suspect may have crashed its upstreams.

        Parameters
        ----------
        suspect_ids
            All suspects of the request, which a probe cannot tell apart.
        """
        return (
            suspect.may_share_cause
            or self._has_crashes_without(suspect)
            or self._has_alternative(suspect, suspect_ids)
        )

    def _has_crashes_without(self, suspect: _Suspect) -> bool:
        """Return whether other upstreams crashed without a suspect at that time."""
        return any(
            upstream not in suspect.crashes
            and abs(crashed_s - suspect.latest_crash_s) <= _OTHER_CRASHES_WITHIN_S
            for upstream, crashed_s in self._crash_times_s.items()
        )

    def _has_alternative(self, suspect: _Suspect, suspect_ids: Sequence[SuspectId]) -> bool:
        """Return whether a suspect that the request lacks was at all of the crashes, too."""
        return any(
            other.has_reached_threshold and suspect.crashes.keys() <= other.crashes.keys()
            for other_id, other in self._suspects.items()
            if other_id not in suspect_ids
        )

    def _enforce_limits(self) -> None:
        while len(self._crash_times_s) > _MAX_CRASH_TIMES:
            del self._crash_times_s[next(iter(self._crash_times_s))]
        if len(self._suspects) > _MAX_SUSPECTS:
            oldest = min(self._suspects, key=lambda i: self._suspects[i].expires_s)
            self._forgotten.append(self._suspects.pop(oldest).forgotten)
