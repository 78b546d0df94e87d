"""The settings file of one instance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pydantic import Field

from ..types import DataCentre
from .ini import SectionModel, Words, read_sections

if TYPE_CHECKING:
    from pathlib import Path


class InstanceSection(SectionModel):
    """``[instance]``: who the process is."""

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9._-]*$", description="a name of a-z 0-9 . _ -")
    data_centre: str = Field(min_length=1, description="the name of its data centre")
    ledger_shards: int = Field(
        2, gt=0, le=4096, description="the fleet's number of ledger shards, the same everywhere"
    )


class ListenSection(SectionModel):
    """``[listen]``: the process's addresses."""

    callers: str = Field(pattern=r"^[0-9.]+:[0-9]+$", description="IP:PORT for callers")
    peers: str = Field(pattern=r"^[0-9.]+:[0-9]+$", description="IP:PORT for peers")


class PlatformSection(SectionModel):
    """``[platform]``: where the platform's services are."""

    address: str = Field(pattern=r"^https?://", description="the URL of the platform's log")


class SecretsSection(SectionModel):
    """``[secrets]``: what peers and operators prove themselves with."""

    fleet_key: str = Field(
        min_length=16, description="at least 16 characters, the same in the whole fleet"
    )
    previous_fleet_key: str = Field(
        "", description="the key before, accepted while keys are rotated; empty for none"
    )


class PeersSection(SectionModel):
    """``[peers]``: whom to ask when the platform is out at start."""

    seeds: Words = Field((), description="IP:PORT of other instances' peer protocol, or nothing")


class TimingSection(SectionModel):
    """``[timing]``: intervals and timeouts."""

    heartbeat_s: float = Field(
        0.4, gt=0, description="seconds between two heartbeats to a partner, above 0"
    )
    probes_per_s: float = Field(
        2.0, gt=0, description="heartbeats a second to all other peers together, above 0"
    )
    suspect_after_s: float = Field(1.0, gt=0, description="seconds of silence, above 0")
    ledger_append_s: float = Field(0.2, gt=0, description="least seconds between ledger appends")
    bills_append_s: float = Field(
        120.0, gt=0, description="seconds that a bill waits for more to share its append, above 0"
    )
    bills_append_lines: int = Field(500, gt=0, description="bills that do not wait, above 0")
    mirror_timeout_s: float = Field(0.3, gt=0, description="seconds above 0")
    grant_wait_s: float = Field(1.5, gt=0, description="seconds above 0")
    log_timeout_s: float = Field(1.0, gt=0, description="seconds above 0")
    connect_timeout_s: float = Field(1.0, gt=0, description="seconds above 0")
    upstream_idle_s: float = Field(30.0, gt=0, description="seconds between two bytes, above 0")
    orders_look_s: float = Field(
        2.0, gt=0, description="seconds between two looks at engines that take orders, above 0"
    )
    lame_duck_s: float = Field(
        1.0, ge=0, description="seconds a stopping instance still takes requests, 0 or more"
    )
    drain_s: float = Field(60.0, ge=0, description="seconds given to running requests at a stop")


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Return ``IP:PORT`` as an address."""
        host, _, port = text.rpartition(":")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Everything one instance is told at start."""

    instance: InstanceSection
    listen: ListenSection
    platform: PlatformSection
    secrets: SecretsSection
    peers: PeersSection
    timing: TimingSection

    @property
    def data_centre(self) -> DataCentre:
        """The instance's data centre."""
        return DataCentre(self.instance.data_centre)


INSTANCE_SECTIONS: dict[str, type[SectionModel]] = {
    "instance": InstanceSection,
    "listen": ListenSection,
    "platform": PlatformSection,
    "secrets": SecretsSection,
    "peers": PeersSection,
    "timing": TimingSection,
}


def read_instance_settings(path: Path) -> InstanceSettings:
    """Return the settings of an instance.

    Raises
    ------
    SettingsError
        Naming file, section, key, bad value and what to write.
    """
    return InstanceSettings(**read_sections(path, INSTANCE_SECTIONS))  # type: ignore[arg-type]
