"""Directory of the registered upstreams and of those that accept new requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..types import DataCentre

#: The platform guarantees that a live upstream whose registration expired in an outage of the store
#: is registered again within this time after the outage; a little is added for the read interval.
REGISTRATION_GRACE_S = 2.2

#: Longer times between two responses of the store count as an outage. The value is a second more
#: than a read waits for new records, so that one slow response is not an outage.
OUTAGE_AFTER_S = 2.0


class UpstreamKey(NamedTuple):
    """Identity of one upstream process: a restarted one may have the same id, but not its state."""

    upstream_id: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class RegisteredUpstream:
    """The registration of one upstream process, as the process wrote it.

    Parameters
    ----------
    is_draining
        Whether it only finishes its current requests and accepts no new ones.
    born_ms
        Unix time of its start; 0 if the upstream does not report it.
    version
        Version of its software; empty if the upstream does not report it.
    cold_s
        Time for which it stays cold after the registration was written. It changes with each
        heartbeat, so registrations that differ in it alone are equal.
    """

    upstream_id: str
    service: str
    address: str
    data_centre: DataCentre
    slots: int
    is_draining: bool
    born_ms: int = 0
    cold_s: float = field(default=0.0, compare=False)
    version: str = ""

    @property
    def key(self) -> UpstreamKey:
        """Identity of the process; all state about the upstream is stored per process."""
        return UpstreamKey(self.upstream_id, self.born_ms)


@dataclass(slots=True)
class UpstreamDirectory:
    """The registered upstreams, as read from the store's stream of registrations.

    Notes
    -----
    While the store is unreachable, registrations expire though their upstreams are alive. Without a
    grace after the outage, an instance would drop all upstreams at once and refuse requests that it
    could serve. With a grace at other times, it would send requests to a deregistered upstream.

    An instance cannot distinguish an outage of the store from being cut off from it. But an
    upstream that was deregistered while the store was up does not return. So there is no grace if a
    peer read the store without a gap (`store_was_up` of `note_store_read`).
    """

    upstreams: dict[str, RegisteredUpstream] = field(default_factory=dict)
    _ended_processes: set[UpstreamKey] = field(default_factory=set)
    _expires_s: dict[str, float] = field(default_factory=dict)
    _store_read_s: float | None = None
    _gapless_since_s: float = 0.0
    _grace_until_s: float = 0.0

    def note_store_read(self, now_s: float, *, store_was_up: bool = False) -> None:
        """Record a response of the store; call it before applying the response.

        Parameters
        ----------
        store_was_up
            Whether the store is known to have been up since its last response.
        """
        is_after_gap = self.gap_s(now_s) > 0
        if is_after_gap or self._store_read_s is None:
            self._gapless_since_s = now_s
        if is_after_gap and not store_was_up:
            self._grace_until_s = now_s + REGISTRATION_GRACE_S
        self._store_read_s = now_s

    def gap_s(self, now_s: float) -> float:
        """Return the seconds since the store's last response if they count as an outage, else 0."""
        age_s = self.age_s(now_s) or 0.0
        return age_s if age_s > OUTAGE_AFTER_S else 0.0

    def gapless_read_s(self, now_s: float) -> float:
        """Return for how many seconds, up to now, the store has been read without a gap."""
        if self._store_read_s is None or self.gap_s(now_s):
            return 0.0
        return now_s - self._gapless_since_s

    def age_s(self, now_s: float) -> float | None:
        """Return the seconds since the store's last response, or None before the first one."""
        return None if self._store_read_s is None else now_s - self._store_read_s

    def is_current(self, now_s: float) -> bool:
        """Return whether the registrations are read without a gap."""
        age_s = self.age_s(now_s)
        return age_s is not None and age_s <= OUTAGE_AFTER_S

    def note_process_ended(self, upstream: RegisteredUpstream) -> None:
        """Record that a process is confirmed to have ended, regardless of its registration.

        While the store is unreachable, and for some heartbeats afterwards, its registration would
        route requests to an address that refuses them. A later start under the same id is another
        process.
        """
        self._ended_processes.add(upstream.key)
        registered = self.upstreams.get(upstream.upstream_id)
        if registered is not None and registered.key == upstream.key:
            del self.upstreams[upstream.upstream_id]

    def apply(self, upstream: RegisteredUpstream) -> bool:
        """Apply a registration and return whether anything but its age changed."""
        if upstream.key in self._ended_processes:
            return False
        self._expires_s.pop(upstream.upstream_id, None)
        changed = self.upstreams.get(upstream.upstream_id) != upstream
        self.upstreams[upstream.upstream_id] = upstream
        return changed

    def apply_second_hand(self, upstream: RegisteredUpstream) -> None:
        """Apply a registration from a peer, which may be older than the known one."""
        registered = self.upstreams.get(upstream.upstream_id)
        if registered is None or registered.born_ms < upstream.born_ms:
            self.apply(upstream)

    def discard(self, upstream_id: str) -> None:
        """Drop a registration that another writer has overwritten with an unusable value.

        The record no longer names an upstream; the upstream's next registration restores it.
        """
        self._expires_s.pop(upstream_id, None)
        self.upstreams.pop(upstream_id, None)

    def remove(self, upstream_id: str, now_s: float) -> float:
        """Drop a deregistered upstream, at once or after the grace that follows an outage.

        Returns
        -------
        float
            Seconds for which the upstream remains in use.
        """
        if upstream_id not in self.upstreams:
            return 0.0
        if now_s < self._grace_until_s:
            self._expires_s[upstream_id] = self._grace_until_s
            return self._grace_until_s - now_s
        del self.upstreams[upstream_id]
        return 0.0

    def replace_all(self, upstreams: list[RegisteredUpstream], now_s: float) -> dict[str, float]:
        """Apply a complete listing; upstreams that it lacks are deregistered.

        Returns
        -------
        dict
            Seconds for which each deregistered upstream remains in use, by id.
        """
        listed = {u.upstream_id for u in upstreams}
        for upstream in upstreams:
            self.apply(upstream)
        return {i: self.remove(i, now_s) for i in list(self.upstreams) if i not in listed}

    @property
    def next_expiry_s(self) -> float | None:
        """Time at which the next deregistered upstream is to be dropped, or None."""
        return min(self._expires_s.values(), default=None)

    def expire(self, now_s: float) -> list[str]:
        """Drop upstreams that are still deregistered after the grace, and return their ids."""
        expired = [i for i, until_s in self._expires_s.items() if now_s >= until_s]
        for upstream_id in expired:
            del self._expires_s[upstream_id]
            self.upstreams.pop(upstream_id, None)
        return expired

    def accepting_upstreams(self, service: str) -> list[RegisteredUpstream]:
        """Return the upstreams of a service that accept new requests."""
        return [u for u in self.upstreams.values() if u.service == service and not u.is_draining]
