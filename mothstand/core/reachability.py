"""Which upstreams this instance can connect to, by its own attempts and probes.

A network partition may separate an instance from some or all upstreams, while its callers, the
store and its peers still reach it. Other instances may reach the same upstreams, so this is state
of the path and not of the upstream.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .upstreams import RegisteredUpstream, UpstreamKey


@dataclass(frozen=True, slots=True)
class ReachabilityPolicy:
    """Times and limits of the probes.

    Parameters
    ----------
    probe_first_s, probe_max_s
        First and longest pause between two probes of an upstream; doubles with each failed probe.
    partition_probe_s
        Maximum time between two probes while a partition is suspected. One probe that succeeds
        shows that it has ended.
    partition_upstreams
        Number of upstreams of a service that are found unreachable, with none of them reached
        since, from which on a partition is suspected.
    max_sweep
        Maximum upstreams that are probed at once when a partition is first suspected.
    confirmed_s
        Time for which a failed probe confirms that upstreams are unreachable.
    """

    probe_first_s: float = 0.5
    probe_max_s: float = 4.0
    partition_probe_s: float = 0.25
    partition_upstreams: int = 2
    max_sweep: int = 16
    confirmed_s: float = 1.0


@dataclass(slots=True)
class _Outage:
    """An upstream that this instance cannot connect to."""

    upstream: RegisteredUpstream
    since_s: float
    next_probe_s: float
    failures: int = 0


@dataclass(slots=True)
class Reachability:
    """Upstreams that this instance cannot connect to.

    Notes
    -----
    Only a new connection ends an outage. Answers on connections that were open before do not: a
    partition may refuse new connections while the open ones live on.
    """

    policy: ReachabilityPolicy = field(default_factory=ReachabilityPolicy)
    _outages: dict[UpstreamKey, _Outage] = field(default_factory=dict)
    _suspects: dict[UpstreamKey, RegisteredUpstream] = field(default_factory=dict)
    _last_reached_s: dict[str, float] = field(default_factory=dict)
    _last_failed_probe_s: dict[str, float] = field(default_factory=dict)
    _last_probe_s: float = float("-inf")
    _is_sweep_due: bool = False

    def is_reachable(self, upstream: RegisteredUpstream) -> bool:
        """Return whether the latest attempt to connect to an upstream did not fail."""
        return upstream.key not in self._outages

    def reachable(self, upstreams: Iterable[RegisteredUpstream]) -> list[RegisteredUpstream]:
        """Return the upstreams that are not known to be unreachable."""
        return [u for u in upstreams if u.key not in self._outages]

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to probe."""
        return not self._outages and not self._suspects

    def unreachable_ids(self, max_ids: int) -> frozenset[str]:
        """Return the ids of some upstreams that are known to be unreachable, the latest first."""
        return frozenset(key.upstream_id for key in list(self._outages)[-max_ids:])

    @property
    def unreachable_count(self) -> int:
        """Number of upstreams that are known to be unreachable."""
        return len(self._outages)

    def is_confirmed(self, service: str, now_s: float) -> bool:
        """Return whether a probe of a service's upstreams has failed recently."""
        failed_s = self._last_failed_probe_s.get(service, float("-inf"))
        return bool(self._outages) and now_s - failed_s <= self.policy.confirmed_s

    def reached_age_s(self, service: str, now_s: float) -> float:
        """Return the seconds since an upstream of a service was last reached; infinite if never."""
        return now_s - self._last_reached_s.get(service, float("-inf"))

    @property
    def is_partition_suspected(self) -> bool:
        """Whether several upstreams of a service are unreachable and none was reached since."""
        lost: Counter[str] = Counter()
        for outage in self._outages.values():
            service = outage.upstream.service
            lost[service] += outage.since_s > self._last_reached_s.get(service, float("-inf"))
        return any(count >= self.policy.partition_upstreams for count in lost.values())

    def note_reached(self, upstream: RegisteredUpstream, began_s: float) -> None:
        """Record that an attempt that began at `began_s` got an answer of an upstream."""
        last_s = self._last_reached_s.get(upstream.service, float("-inf"))
        self._last_reached_s[upstream.service] = max(last_s, began_s)

    def note_broken(self, upstream: RegisteredUpstream) -> None:
        """Record that a connection to an upstream broke, so that it is probed at once."""
        if upstream.key not in self._outages:
            self._suspects[upstream.key] = upstream

    def note_unreachable(self, upstream: RegisteredUpstream, now_s: float) -> float:
        """Record that no connection to an upstream was established.

        Returns
        -------
        float
            Seconds until its next probe.
        """
        self._suspects.pop(upstream.key, None)
        outage = self._outages.get(upstream.key)
        if outage is None:
            was_suspected = self.is_partition_suspected
            outage = _Outage(upstream, now_s, now_s + self.policy.probe_first_s)
            self._outages[upstream.key] = outage
            self._is_sweep_due |= self.is_partition_suspected and not was_suspected
        return max(0.0, outage.next_probe_s - now_s)

    def note_probe_failed(self, upstream: RegisteredUpstream, now_s: float) -> None:
        """Record that a probe of an upstream failed."""
        self._last_failed_probe_s[upstream.service] = now_s
        self.note_unreachable(upstream, now_s)
        outage = self._outages[upstream.key]
        pause_s = min(self.policy.probe_max_s, self.policy.probe_first_s * 2**outage.failures)
        outage.failures += 1
        outage.next_probe_s = now_s + pause_s

    def note_probe_succeeded(self, upstream: RegisteredUpstream, now_s: float) -> float:
        """Record that a probe reached an upstream, and make all other probes due.

        Returns
        -------
        float
            Seconds for which the upstream was unreachable; 0 if it was not.
        """
        self.note_reached(upstream, now_s)
        self._suspects.pop(upstream.key, None)
        outage = self._outages.pop(upstream.key, None)
        if outage is None:
            return 0.0
        for other in self._outages.values():
            other.next_probe_s = min(other.next_probe_s, now_s)
        return now_s - outage.since_s

    def forget(self, upstream: RegisteredUpstream) -> None:
        """Drop the state of an upstream that is deregistered."""
        self._outages.pop(upstream.key, None)
        self._suspects.pop(upstream.key, None)

    def take_due_probes(
        self, registered: Iterable[RegisteredUpstream], now_s: float
    ) -> list[RegisteredUpstream]:
        """Return the upstreams to probe now.

        The probe of each counts as made, so that it is not due again before its result is recorded.

        Parameters
        ----------
        registered
            All upstreams in use, in any order; the first ones are probed in a sweep.
        """
        due = list(self._suspects.values())
        self._suspects.clear()
        due += [o.upstream for o in self._outages.values() if o.next_probe_s <= now_s]
        if self._is_sweep_due:
            self._is_sweep_due = False
            due += self.reachable(registered)[: self.policy.max_sweep]
        elif not due and self.is_partition_suspected and self._is_partition_probe_due(now_s):
            due.append(min(self._outages.values(), key=lambda o: o.next_probe_s).upstream)
        for upstream in due:
            outage = self._outages.get(upstream.key)
            if outage is not None:
                outage.next_probe_s = now_s + self.policy.probe_max_s
        if due:
            self._last_probe_s = now_s
        return list({upstream.key: upstream for upstream in due}.values())

    def _is_partition_probe_due(self, now_s: float) -> bool:
        return now_s - self._last_probe_s >= self.policy.partition_probe_s
