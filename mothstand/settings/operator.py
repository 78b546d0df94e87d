"""The settings file of the operators' commands."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pydantic import Field

from ..errors import SettingsError
from .ini import SectionModel, read_ini_file, read_section
from .instance import PlatformSection, SecretsSection

if TYPE_CHECKING:
    from pathlib import Path


class OperatorSection(SectionModel):
    """``[operator]``: who publishes, for the audit trail."""

    name: str = Field(min_length=1, description="the operator's name")
    ledger_shards: int = Field(
        2, gt=0, le=4096, description="the fleet's number of ledger shards, the same everywhere"
    )


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Everything an operator's command is told."""

    operator: OperatorSection
    platform: PlatformSection
    secrets: SecretsSection


def read_operator_settings(path: Path) -> OperatorSettings:
    """Return the settings of an operator's command.

    Raises
    ------
    SettingsError
        Naming file, section, key, bad value and what to write.
    """
    sections = read_ini_file(path)
    known = {"operator", "platform", "secrets"}
    unknown = sorted(set(sections) - known)
    if unknown:
        raise SettingsError(
            f"{path.name}: [{unknown[0]}] is unknown; write one of {', '.join(sorted(known))}"
        )

    def values(name: str) -> dict[str, str]:
        return sections.get(name, {})

    return OperatorSettings(
        operator=read_section(
            OperatorSection, values("operator"), section="operator", source=path.name
        ),
        platform=read_section(
            PlatformSection, values("platform"), section="platform", source=path.name
        ),
        secrets=read_section(
            SecretsSection, values("secrets"), section="secrets", source=path.name
        ),
    )
