"""Models and reader of a gateway instance's settings file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated

from pydantic import BeforeValidator, Field

from ..core.homes import RegionMap
from ..core.load_sharing import LoadSharingPolicy
from ..types import DataCentre, Region
from .ini import SectionModel, Words, read_sections, split_words

if TYPE_CHECKING:
    from pathlib import Path

_ADDRESS = r"^[0-9.]+:[0-9]+$"


class GatewayInstanceSection(SectionModel):
    """``[instance]``: identity and machine of the process."""

    name: str = Field(min_length=1, description="the instance's name")
    data_centre: str = Field(min_length=1, description="the name of its data centre")
    core_share: float = Field(
        1.0, gt=0, description="fraction of a core that the process gets, above 0; see core_speed"
    )
    core_speed: float = Field(
        1.0, gt=0, description="speed of that core relative to a usual one, above 0"
    )
    link_mbit_per_s: float = Field(
        0.0, ge=0, description="bandwidth of the machine's own link; 0 if unknown"
    )


class CallersSection(SectionModel):
    """``[callers]``: what callers can make the instance hold."""

    memory_mb: float = Field(
        160.0,
        gt=0,
        description="megabytes of memory that the process may take, above 0",
    )
    file_descriptors: int = Field(
        3075,
        ge=64,
        description="file descriptors that the process may open, 64 or more; the limit of the "
        "operating system counts if it is lower",
    )


class GatewayListenSection(SectionModel):
    """``[listen]``: addresses on which the process listens."""

    callers: str = Field(pattern=_ADDRESS, description="IP:PORT for callers")
    ready: str = Field(pattern=_ADDRESS, description="IP:PORT of the readiness check")
    peers: str = Field(pattern=_ADDRESS, description="IP:PORT for other instances")
    metrics: str = Field(pattern=_ADDRESS, description="IP:PORT of the metrics")
    relay: str = Field(
        "",
        pattern=rf"^$|{_ADDRESS}",
        description="IP:PORT for requests of other instances that cannot reach an upstream, or "
        "empty to relay none",
    )


class StoreSection(SectionModel):
    """``[store]``: the platform's store."""

    address: str = Field(pattern=_ADDRESS, description="IP:PORT of the store")
    timeout_s: float = Field(
        1.0, gt=0, description="timeout of a call in seconds, above 0; three times a slow call's"
    )
    connect_timeout_s: float = Field(
        0.3,
        gt=0,
        description="connect timeout in seconds, above 0; a hundred times the usual",
    )
    claim_shards: int = Field(
        1, gt=0, le=100, description="partitions of the claims, the same in the whole fleet"
    )


class SeedsSection(SectionModel):
    """``[seeds]``: instances to ask if the store is unreachable at start."""

    peers: Words = Field((), description="IP:PORT of other instances' peer protocol, or empty")


class RetriesSection(SectionModel):
    """``[retries]``: limits on the retries that the whole fleet sends to a service."""

    ratio: float = Field(0.2, ge=0, description="retries allowed per request, 0 or more")
    burst: float = Field(50.0, ge=0, description="additional retries in a window, 0 or more")
    window_s: float = Field(10.0, gt=0, description="length of the window in seconds, above 0")


class WarmupSection(SectionModel):
    """``[warmup]``: limit on the requests that the whole fleet sends to a cold upstream."""

    overshoot: float = Field(
        1.0, ge=0, description="factor on the rate that a service states, 0 or more"
    )
    slack: float = Field(0.0, ge=0, description="additional requests in any second, 0 or more")


class LoadSharingSection(SectionModel):
    """``[load_sharing]``: how a fleet shares uneven load; all parts are off by default."""

    min_instances: int = Field(
        0, ge=0, description="fleet size from which the parts are in force, or 0 for never"
    )
    redirects: bool = Field(
        False, description="true if a busy instance sends callers to other instances, else false"
    )
    prefill_schedule: bool = Field(
        False,
        description="true if long prompts are spread in time at each engine, else false",
    )


class RegionsSection(SectionModel):
    """``[regions]``: the regions of the data centres, for routes and workspaces with homes."""

    data_centres: Annotated[
        tuple[Annotated[str, Field(pattern=r"^[^=]+=[^=]+$")], ...], BeforeValidator(split_words)
    ] = Field((), description="DATA_CENTRE=REGION for each data centre, or empty")


class GatewayTimingSection(SectionModel):
    """``[timing]``: intervals and timeouts."""

    grace_s: float = Field(8.0, gt=0, description="seconds from SIGTERM to SIGKILL, above 0")
    configuration_ms: float = Field(
        2000.0,
        gt=0,
        description="milliseconds within which a version is in force after its acknowledgement, "
        "above 0",
    )
    upstream_timeout_s: float = Field(
        0.8, gt=0, description="seconds without an acknowledgement by an upstream, above 0"
    )
    connect_timeout_s: float = Field(
        0.2, gt=0, description="connect timeout of upstreams in seconds, above 0"
    )
    registrations_s: float = Field(
        1.0,
        gt=0,
        le=1.5,
        description="seconds that a read of registrations waits for changes, above 0, at most 1.5",
    )
    claims_s: float = Field(
        0.35, gt=0, le=1.0, description="poll interval of claims in seconds, above 0, at most 1"
    )


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway instance."""

    instance: GatewayInstanceSection
    listen: GatewayListenSection
    store: StoreSection
    seeds: SeedsSection
    retries: RetriesSection
    timing: GatewayTimingSection
    warmup: WarmupSection
    regions: RegionsSection
    load_sharing: LoadSharingSection
    callers: CallersSection

    @property
    def load_sharing_policy(self) -> LoadSharingPolicy:
        """The parts of load sharing that are switched on."""
        section = self.load_sharing
        return LoadSharingPolicy(
            min_instances=section.min_instances,
            redirects=section.redirects,
            prefill_schedule=section.prefill_schedule,
        )

    @property
    def data_centre(self) -> DataCentre:
        """The instance's data centre."""
        return DataCentre(self.instance.data_centre)

    @property
    def region_map(self) -> RegionMap:
        """The region of each data centre."""
        pairs = (pair.split("=") for pair in self.regions.data_centres)
        return RegionMap({DataCentre(name): Region(region) for name, region in pairs})


GATEWAY_SECTIONS: dict[str, type[SectionModel]] = {
    "instance": GatewayInstanceSection,
    "listen": GatewayListenSection,
    "store": StoreSection,
    "seeds": SeedsSection,
    "retries": RetriesSection,
    "timing": GatewayTimingSection,
    "warmup": WarmupSection,
    "regions": RegionsSection,
    "load_sharing": LoadSharingSection,
    "callers": CallersSection,
}


def read_gateway_settings(path: Path) -> GatewaySettings:
    """Read and validate the settings of a gateway instance.

    Raises
    ------
    SettingsError
        Naming file, section, key, bad value and what to write.
    """
    return GatewaySettings(**read_sections(path, GATEWAY_SECTIONS))  # type: ignore[arg-type]
