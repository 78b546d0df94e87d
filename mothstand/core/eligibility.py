"""The upstreams to which a request may be sent: registered, not evacuated, in its regions.

A cold upstream, and one that names a rate limit, are eligible only at instances that may send to
them now. Cold ones are marked, so that placement prefers warm ones.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..types import Region
    from .evacuation import Evacuations
    from .homes import RegionMap
    from .rate_limits import RateLimits
    from .routes import GatewayService
    from .upstreams import RegisteredUpstream, UpstreamDirectory
    from .warmup import Warmup


class Exclusion(Enum):
    """Reason why a registered upstream is not eligible."""

    EVACUATED = "evacuated"
    OTHER_REGION = "outside of the home regions"
    OTHER_VERSION = "of another software version"
    COLD = "cold"
    RATE_LIMITED = "at their rate limit"


@dataclass(slots=True)
class EligibleUpstreams:
    """Eligible upstreams of a request, with the number of excluded ones by reason.

    Parameters
    ----------
    cold_ids
        Ids of those that are cold.
    rate_limited
        Upstreams that are excluded by their rate limits only.
    """

    upstreams: list[RegisteredUpstream] = field(default_factory=list)
    cold_ids: set[str] = field(default_factory=set)
    rate_limited: list[RegisteredUpstream] = field(default_factory=list)
    exclusions: Counter[Exclusion] = field(default_factory=Counter)

    @property
    def exclusions_summary(self) -> str:
        """Summary of the exclusions, for the log line of a refusal; empty for none."""
        return ", ".join(f"{count} {reason.value}" for reason, count in self.exclusions.items())


@dataclass(frozen=True, slots=True)
class Eligibility:
    """Determines the eligible upstreams of a request."""

    directory: UpstreamDirectory
    evacuations: Evacuations
    warmup: Warmup
    limits: RateLimits
    region_map: RegionMap

    def eligible(
        self,
        service: GatewayService,
        permitted: frozenset[Region] | None,
        now_s: float,
        *,
        version: str | None = None,
    ) -> EligibleUpstreams:
        """Return the upstreams of a service that a request may be sent to now.

        Parameters
        ----------
        permitted
            Regions in which the request may run; None for any.
        version
            Software version that began the stream; None for a new request.
        """
        found = EligibleUpstreams()
        for upstream in self.directory.accepting_upstreams(service.name):
            is_cold = self.is_cold(upstream, service, now_s)
            exclusion = self.exclusion(upstream, service, permitted, is_cold, now_s)
            if version is not None and upstream.version != version:
                exclusion = Exclusion.OTHER_VERSION
            if exclusion is not None:
                found.exclusions[exclusion] += 1
                if exclusion is Exclusion.RATE_LIMITED:
                    found.rate_limited.append(upstream)
                continue
            found.upstreams.append(upstream)
            if is_cold:
                found.cold_ids.add(upstream.upstream_id)
        return found

    def is_cold(self, upstream: RegisteredUpstream, service: GatewayService, now_s: float) -> bool:
        """Return whether an upstream is cold, or may be because of a recent evacuation.

        Upstreams of an evacuated data centre may become cold, and their registrations tell it only
        with their next heartbeat.
        """
        if not service.cold_per_s:
            return False
        ended_s = self.evacuations.ended_s(upstream.data_centre)
        is_back_in_use = ended_s is not None and now_s < ended_s + service.cold_start_s
        return is_back_in_use or self.warmup.is_cold(upstream, now_s)

    def note_sent(
        self, upstream: RegisteredUpstream, service: GatewayService, now_s: float
    ) -> None:
        """Count a request that is sent to an upstream that is cold or has a rate limit."""
        self.limits.note_sent(upstream, now_s)
        if self.is_cold(upstream, service, now_s):
            self.warmup.note_sent(upstream, service.cold_per_s, now_s)

    def exclusion(
        self,
        upstream: RegisteredUpstream,
        service: GatewayService,
        permitted: frozenset[Region] | None,
        is_cold: bool,
        now_s: float,
    ) -> Exclusion | None:
        """Return why a new request may not be sent to an upstream now, or None if it may."""
        if self.evacuations.is_evacuated(upstream.data_centre):
            return Exclusion.EVACUATED
        if not self.region_map.permits(permitted, upstream.data_centre):
            return Exclusion.OTHER_REGION
        if is_cold and not self.warmup.may_send(upstream, service.cold_per_s, now_s):
            return Exclusion.COLD
        if not self.limits.may_send(upstream, now_s):
            return Exclusion.RATE_LIMITED
        return None
