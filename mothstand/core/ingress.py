"""Redirects callers of a busy instance to other instances.

A platform assigns callers to instances by a hash, so the callers of one large workspace may all
come to one small instance. Its processor and its link then delay every answer, while other
instances and the upstreams have capacity. A caller that is refused at once, with a Retry-After of
some milliseconds, reaches another instance within its objective.

The load that this answers: 30 to 200 requests a second at an instance that can forward 50. The
slowness of upstreams is handled by admission control; waiting for them takes no processor time.
"""

from __future__ import annotations

import math
import random
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import Counter


@dataclass(frozen=True, slots=True)
class IngressPolicy:
    """Limits of what callers of one instance can tolerate.

    Parameters
    ----------
    max_pass_s
        Longest mean pass of the event loop. A request takes some six passes, and the shortest
        usual objective is 0.15 s.
    max_link_share
        Part of the link's bandwidth from which packets queue in bursts.
    smoothing_s
        Time constant of the measured values. Shorter than a burst, longer than one garbage
        collection.
    adjust_interval_s
        Minimum time between two changes of the limit, so that each is measured before the next.
    decrease
        Factor on the running requests that gives the new limit under pressure.
    increase
        Requests by which the limit grows in an interval while it binds without pressure; from a
        nearly full instance on it grows by a part of this.
    min_limit
        Requests that run at once whatever the pressure.
    initial_limit_per_core
        The first limit per core of the machine: more than a core can forward.
    nearly_full_share
        Part of the limit from which new connections should go to other instances. The rest is for
        the requests that arrive in `rotation_s`: in a burst as many as run already, and more.
    rotation_s
        Time until a platform that checks readiness each second takes an instance out of rotation:
        two failed checks, and a little for the check itself. Before that, a caller's next attempt
        comes to the same instance.
    max_busy_share
        Part of the data centre's instances that are busy from which no caller is redirected: its
        next attempt would most likely find another busy one.
    retry_after_range_s
        Range of the random Retry-After. The caller connects anew in that time, and callers that
        were redirected together do not arrive together.
    """

    max_pass_s: float = 0.02
    max_link_share: float = 0.8
    smoothing_s: float = 0.3
    adjust_interval_s: float = 0.1
    decrease: float = 0.9
    increase: float = 1.0
    min_limit: float = 4.0
    initial_limit_per_core: float = 256.0
    nearly_full_share: float = 0.4
    rotation_s: float = 2.2
    max_busy_share: float = 0.5
    retry_after_range_s: tuple[float, float] = (0.01, 0.04)

    def retry_after_s(self, unready_s: float) -> float:
        """Return the seconds after which a redirected caller should retry.

        Parameters
        ----------
        unready_s
            Time for which this instance has said that it wants no new connections.
        """
        return random.uniform(*self.retry_after_bounds_s(unready_s))

    def retry_after_bounds_s(self, unready_s: float) -> tuple[float, float]:
        """Return the lowest and the highest value of `retry_after_s`."""
        earliest_s = max(0.0, self.rotation_s - unready_s)
        lowest_s, highest_s = self.retry_after_range_s
        return earliest_s + lowest_s, earliest_s + highest_s


@dataclass(slots=True)
class IngressLoad:
    """How busy this instance itself is, whatever its upstreams do.

    Parameters
    ----------
    link_mbit_per_s
        Bandwidth of the machine's own link; 0 if it is not known and does not count.
    """

    link_mbit_per_s: float
    policy: IngressPolicy = field(default_factory=IngressPolicy)
    _pass_s: float = 0.0
    _bytes_per_s: float = 0.0
    _measured_s: float = -math.inf

    def note_pass(self, pass_s: float, now_s: float) -> None:
        """Record the duration of one pass of the event loop."""
        self._decay(now_s)
        weight = _LATEST_PASS_WEIGHT
        self._pass_s += weight * (pass_s - self._pass_s)

    def note_bytes(self, count: int, now_s: float) -> None:
        """Record bytes that passed the link in its busier direction."""
        self._decay(now_s)
        self._bytes_per_s += count / self.policy.smoothing_s

    def pressure(self, now_s: float) -> float:
        """Return the load relative to the most that callers can tolerate."""
        self._decay(now_s)
        loop = self._pass_s / self.policy.max_pass_s
        if not self.link_mbit_per_s:
            return loop
        link_share = self._bytes_per_s * 8 / (self.link_mbit_per_s * 1e6)
        return max(loop, link_share / self.policy.max_link_share)

    def is_slow(self, now_s: float) -> bool:
        """Return whether response times measured now are those of this instance."""
        return self.pressure(now_s) > 1.0

    def _decay(self, now_s: float) -> None:
        factor = math.exp(min(0.0, self._measured_s - now_s) / self.policy.smoothing_s)
        self._pass_s *= factor
        self._bytes_per_s *= factor
        self._measured_s = max(self._measured_s, now_s)


#: Exponent of the part of the limit that is used, in the growth of the limit: half of it used gives
#: a sixtieth of the growth of a limit that binds.
_GROWTH_EXPONENT = 6

#: Weight of the latest pass in their mean: under load there are dozens within `smoothing_s`.
_LATEST_PASS_WEIGHT = 0.2


class RedirectDecision(ABC):
    """Decides which requests of callers are redirected to other instances."""

    @abstractmethod
    def redirects(
        self, workspace: str, running: Counter[str], *, pressure: float, now_s: float
    ) -> bool:
        """Return whether a request that has just arrived is redirected.

        Parameters
        ----------
        running
            Requests that run at this instance, by workspace.
        pressure
            This instance's load relative to the most that callers can tolerate.
        """


class NoRedirects(RedirectDecision):
    """Serves all callers here, however long they wait."""

    def redirects(
        self, workspace: str, running: Counter[str], *, pressure: float, now_s: float
    ) -> bool:
        """Return False."""
        return False


@dataclass(slots=True)
class FairConcurrencyLimit(RedirectDecision):
    """Adaptive limit on the running requests, with an equal share for each workspace.

    Parameters
    ----------
    limit
        Requests that may run at once. It follows the pressure: additive increase, multiplicative
        decrease.

    Notes
    -----
    Most of a stream's cost comes after its start, one event at a time. A limit on running requests
    holds for that cost at once; a limit on the rate of arrivals is right only seconds later.

    A workspace below its equal share of the limit is served even beyond the limit, so only those
    with the most requests are redirected.
    """

    limit: float
    policy: IngressPolicy = field(default_factory=IngressPolicy)
    _adjusted_s: float = -math.inf

    def redirects(
        self, workspace: str, running: Counter[str], *, pressure: float, now_s: float
    ) -> bool:
        """Return whether a request that has just arrived is redirected."""
        total = running.total()
        self._adjust(total, pressure, now_s)
        return self.is_exceeded_by(workspace, running)

    def is_exceeded_by(self, workspace: str, running: Counter[str]) -> bool:
        """Return whether one more request of a workspace is beyond the limit as it is now."""
        if running.total() < self.limit:
            return False
        workspaces = len({*running, workspace})
        return running[workspace] + 1 > self.limit / workspaces

    def is_nearly_full(self, running: Counter[str]) -> bool:
        """Return whether new connections should go to other instances."""
        return running.total() >= self.limit * self.policy.nearly_full_share

    def _adjust(self, total: int, pressure: float, now_s: float) -> None:
        if now_s - self._adjusted_s < self.policy.adjust_interval_s:
            return
        self._adjusted_s = now_s
        if total < self.limit * self.policy.nearly_full_share:
            # Too few requests run to be the cause of the pressure, or to need a higher limit. A
            # single long pass, such as a garbage collection, would otherwise leave a low limit.
            return
        if pressure > 1.0:
            decreased = min(self.limit, total) * self.policy.decrease
            self.limit = max(self.policy.min_limit, decreased)
        else:
            # Slowly while the limit does not bind yet: nothing shows that more could run.
            self.limit += self.policy.increase * (total / self.limit) ** _GROWTH_EXPONENT


@dataclass(slots=True)
class BusyInstances:
    """Which other instances of this data centre announce that they are busy.

    Parameters
    ----------
    valid_s
        Time for which an announcement counts, and at least some intervals between announcements:
        callers are usually unevenly spread for longer than that.
    """

    valid_s: float = 20.0
    _announced: dict[str, tuple[bool, float]] = field(default_factory=dict)

    def note(self, instance: str, *, is_busy: bool, now_s: float) -> None:
        """Record the announcement of an instance."""
        self._announced[instance] = (is_busy, now_s)

    def forget(self, instance: str) -> None:
        """Drop the announcement of an instance that has expired."""
        self._announced.pop(instance, None)

    def busy_share(
        self, instances: list[str], now_s: float, *, announce_interval_s: float = 0.0
    ) -> float:
        """Return the busy part of some instances; those without a recent announcement are free.

        Parameters
        ----------
        announce_interval_s
            Time between two announcements of an instance.
        """
        if not instances:
            return 1.0
        valid_s = max(self.valid_s, _VALID_INTERVALS * announce_interval_s)
        busy = [name for name in instances if self._is_busy(name, valid_s, now_s)]
        return len(busy) / len(instances)

    def _is_busy(self, instance: str, valid_s: float, now_s: float) -> bool:
        is_busy, at_s = self._announced.get(instance, (False, -math.inf))
        return is_busy and now_s - at_s <= valid_s


#: Intervals between announcements for which one counts: one may be missed.
_VALID_INTERVALS = 3
