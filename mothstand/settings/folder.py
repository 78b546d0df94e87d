"""The operators' folder: INI files merged in the order of their names, validated whole."""

from __future__ import annotations

import re
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any, Literal

from pydantic import Field

from ..core.config import (
    Budget,
    CallerKey,
    FleetConfig,
    Model,
    OrderCheck,
    PlannedStop,
    Sections,
    Service,
    Upstream,
    UpstreamKind,
    Workspace,
)
from ..core.escrow import EscrowPolicy
from ..errors import SettingsError
from ..types import BudgetName, DataCentre
from .ini import SectionModel, Words, read_ini_file, read_section

if TYPE_CHECKING:
    from pathlib import Path

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")


def _percent(default: int) -> Any:
    return Field(default, ge=0, le=100, description="a whole number from 0 to 100")


class PolicySection(SectionModel):
    """``[policy]``: the deployment's weightings."""

    ride_through_s: float = Field(
        4500.0, gt=0, description="seconds of demand that a grant should cover, above 0"
    )
    refill_below_percent: int = _percent(85)
    end_share_percent: int = _percent(50)
    allowance_percent: int = _percent(2)
    promotion_percent: int = _percent(5)
    unwitnessed_percent: int = _percent(10)
    demand_window_s: float = Field(60.0, gt=0, description="seconds above 0")
    prompt_overhead_tokens: int = Field(64, ge=0, description="tokens the chat template adds")
    max_body_bytes: int = Field(1_000_000, gt=0, description="bytes above 0")
    default_max_tokens: int = Field(512, gt=0, description="tokens above 0")
    answer_kept_s: float = Field(600.0, ge=0, description="seconds, 0 or more")
    weight_loads: int = Field(
        1, gt=0, description="how many engines of a data centre may load weights at once, above 0"
    )


class WorkspaceSection(SectionModel):
    """``[workspace NAME]``."""

    priority: int = Field(0, description="a whole number; higher goes first")
    models: Words = Field((), description="names of models, apart by spaces; empty allows all")


class KeySection(SectionModel):
    """``[key NAME]``: a caller's key, as its digest."""

    workspace: str = Field(description="the name of a [workspace NAME] section")
    budget: str = Field(description="the name of a [budget NAME] section")
    sha256: str = Field(
        pattern=r"^[0-9a-f]{64}$",
        description="the key's SHA-256 in 64 hexadecimal digits, as 'mothstand hash KEY' prints",
    )


class BudgetSection(SectionModel):
    """``[budget NAME]``."""

    workspace: str = Field(description="the name of a [workspace NAME] section")
    paid_tokens: int = Field(ge=0, description="all tokens ever paid for, a running total")


class ServiceSection(SectionModel):
    """``[service NAME]``."""

    tokens_per_call: int = Field(ge=0, description="what one call costs, in tokens")
    idempotent: bool = Field(description="yes if a call may be repeated, else no")


class ModelSection(SectionModel):
    """``[model NAME]``: a model or adapter that engines are ordered to load."""

    version: str = Field(pattern=r"^[A-Za-z0-9._-]+$", description="the version to load")
    base: str = Field("", description="for an adapter the name of its [model NAME], else nothing")


class UpstreamSection(SectionModel):
    """``[upstream NAME]``."""

    kind: UpstreamKind = Field(description="engine or service")
    address: str = Field(pattern=r"^[0-9.]+:[0-9]+$", description="IP:PORT")
    data_centre: str = Field(description="the name of its data centre")
    serves: Words = Field(min_length=1, description="models (engine) or the service's name")
    slots: int = Field(8, gt=0, description="how many requests it runs at once, above 0")
    resumes: bool = Field(
        False, description="yes if it goes on with an answer that another engine began, else no"
    )
    orders: OrderCheck = Field(
        OrderCheck.NONE,
        description="none if the fleet does not say what it loads, fenced if it refuses orders"
        " with an old fencing number, unfenced if it takes any",
    )
    role: Literal["mixed", "prefill", "decode"] = Field(
        "mixed", description="mixed, prefill or decode; for engines that take orders"
    )


class StopSection(SectionModel):
    """``[stop UPSTREAM]``: a planned stop."""

    at_utc: datetime = Field(description="a UTC time as 2026-12-24T03:00:00Z")


SECTION_MODELS: dict[str, type[SectionModel]] = {
    "policy": PolicySection,
    "workspace": WorkspaceSection,
    "key": KeySection,
    "budget": BudgetSection,
    "service": ServiceSection,
    "model": ModelSection,
    "upstream": UpstreamSection,
    "stop": StopSection,
}


def read_folder(folder: Path) -> Sections:
    """Return the merged sections of the folder's ``*.ini`` files.

    A later file's keys replace an earlier one's, section by section.

    Raises
    ------
    SettingsError
        If the folder holds no INI file, or one that cannot be read or is not valid.
    """
    files = sorted(folder.glob("*.ini"))
    if not files:
        raise SettingsError(f"{folder.name}: holds no *.ini file; write at least one")
    merged: Sections = {}
    source: dict[str, str] = {}
    for path in files:
        for section, values in read_ini_file(path).items():
            merged.setdefault(section, {}).update(values)
            source[section] = path.name
    validate_sections(merged, source=source)
    return merged


def validate_sections(sections: Sections, *, source: dict[str, str] | None = None) -> FleetConfig:
    """Return the sections as a validated configuration.

    Parameters
    ----------
    source
        File of each section, for the errors.

    Raises
    ------
    SettingsError
        Naming file, section, key, bad value and what to write.
    """
    models: dict[str, dict[str, SectionModel]] = {kind: {} for kind in SECTION_MODELS}
    for header, values in sections.items():
        kind, _, name = header.partition(" ")
        file_name = (source or {}).get(header, "configuration")
        _check_header(header, kind, name, file_name)
        models[kind][name] = read_section(
            SECTION_MODELS[kind], values, section=header, source=file_name
        )
    config = _build_config(models)
    _check_references(config, source or {})
    return config


def _check_header(header: str, kind: str, name: str, file_name: str) -> None:
    if kind not in SECTION_MODELS:
        raise SettingsError(
            f"{file_name}: [{header}] is unknown; write one of {', '.join(SECTION_MODELS)}"
        )
    if kind == "policy":
        if name:
            raise SettingsError(f"{file_name}: [{header}]: write [policy], without a name")
    elif not _NAME.fullmatch(name):
        raise SettingsError(
            f"{file_name}: [{header}]: the name {name!r} must be 1 to 63 of a-z 0-9 . _ -"
        )


def _build_config(models: dict[str, dict[str, SectionModel]]) -> FleetConfig:
    # model_dump of a validated model gives just the keyword arguments of its data class.
    policy = models["policy"].get("", PolicySection.model_validate({})).model_dump()
    escrow = {name: policy.pop(name) for name in EscrowPolicy.__dataclass_fields__}
    keys = {
        str(section.model_dump()["sha256"]): CallerKey(name=name, **section.model_dump())
        for name, section in models["key"].items()
    }
    return FleetConfig(
        workspaces={n: Workspace(name=n, **s.model_dump()) for n, s in models["workspace"].items()},
        keys_by_sha256=keys,
        budgets={
            BudgetName(n): Budget(name=BudgetName(n), **s.model_dump())
            for n, s in models["budget"].items()
        },
        services={n: Service(name=n, **s.model_dump()) for n, s in models["service"].items()},
        upstreams={n: Upstream(name=n, **s.model_dump()) for n, s in models["upstream"].items()},
        models={n: Model(name=n, **s.model_dump()) for n, s in models["model"].items()},
        stops={n: _stop(n, s) for n, s in models["stop"].items() if isinstance(s, StopSection)},
        escrow=EscrowPolicy(**escrow),
        **policy,
    )


def _stop(name: str, section: StopSection) -> PlannedStop:
    at_utc = section.at_utc
    if at_utc.tzinfo is None:
        at_utc = at_utc.replace(tzinfo=UTC)
    return PlannedStop(upstream=name, at_utc=at_utc)


def _check_references(config: FleetConfig, source: dict[str, str]) -> None:
    for key in config.keys_by_sha256.values():
        header = f"key {key.name}"
        _check_declared(key.workspace, config.workspaces, header, "workspace", source)
        _check_declared(key.budget, config.budgets, header, "budget", source)
        if config.budgets[key.budget].workspace != key.workspace:
            raise SettingsError(
                f"{source.get(header, 'configuration')}: [{header}] budget = {key.budget!r}"
                f" belongs to workspace {config.budgets[key.budget].workspace!r};"
                " write a budget of the key's own workspace"
            )
    for budget in config.budgets.values():
        header = f"budget {budget.name}"
        _check_declared(budget.workspace, config.workspaces, header, "workspace", source)
    for stop in config.stops.values():
        _check_declared(stop.upstream, config.upstreams, f"stop {stop.upstream}", "name", source)
    for upstream in config.upstreams.values():
        if upstream.kind is UpstreamKind.SERVICE:
            for name in upstream.serves:
                header = f"upstream {upstream.name}"
                _check_declared(name, config.services, header, "serves", source)
    _check_models(config, source)


def _check_models(config: FleetConfig, source: dict[str, str]) -> None:
    for model in config.models.values():
        if model.base:
            _check_declared(model.base, config.models, f"model {model.name}", "base", source)
    for upstream in config.upstreams.values():
        if upstream.orders is OrderCheck.NONE:
            continue
        header = f"upstream {upstream.name}"
        for name in upstream.serves:
            _check_declared(name, config.models, header, "serves", source)
            base = config.models[name].base
            if base and base not in upstream.serves:
                raise SettingsError(
                    f"{source.get(header, 'configuration')}: [{header}] serves ="
                    f" {' '.join(upstream.serves)!r} has adapter {name!r} without its model;"
                    f" write {base!r} too"
                )


def _check_declared(
    value: str, declared: object, header: str, key: str, source: dict[str, str]
) -> None:
    if isinstance(declared, dict) and value not in declared:
        names = ", ".join(sorted(declared)[:5]) or "none yet"
        raise SettingsError(
            f"{source.get(header, 'configuration')}: [{header}] {key} = {value!r} is not declared;"
            f" write one of: {names}"
        )


def data_centres(config: FleetConfig) -> set[DataCentre]:
    """Return the data centres that the configuration names."""
    return {DataCentre(upstream.data_centre) for upstream in config.upstreams.values()}
