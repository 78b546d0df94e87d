"""The operators' configuration: its data classes and the fold of the ``config`` stream."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from .escrow import EscrowPolicy
from .records import (
    ACCEPTED,
    ConfigPublished,
    ConfigSnapshot,
    Outcome,
    SectionChange,
    refused,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import datetime

    from ..types import BudgetName, DataCentre
    from .records import RecordId

#: Section header to its keys and values, as written.
Sections = dict[str, dict[str, str]]


class UpstreamKind(Enum):
    """Type of an upstream: a model engine or a plain service."""

    ENGINE = "engine"
    SERVICE = "service"


class OrderCheck(Enum):
    """Whether an engine accepts orders, and whether it refuses those with an old fencing number."""

    NONE = "none"
    FENCED = "fenced"
    UNFENCED = "unfenced"


@dataclass(frozen=True, slots=True)
class Model:
    """A model, or an adapter of the model `base`, in the version that engines should load."""

    name: str
    version: str
    base: str = ""


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer of the fleet; a higher `priority` is served first, empty `models` allows all."""

    name: str
    priority: int
    models: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CallerKey:
    """A caller's key, stored as its SHA-256 digest, with its workspace and the budget it spends."""

    name: str
    workspace: str
    budget: BudgetName
    sha256: str


@dataclass(frozen=True, slots=True)
class Budget:
    """A prepaid budget; `paid_tokens` is cumulative and never decreases."""

    name: BudgetName
    workspace: str
    paid_tokens: int


@dataclass(frozen=True, slots=True)
class Service:
    """A plain service: the price of a call and whether a call may be repeated."""

    name: str
    tokens_per_call: int
    idempotent: bool


@dataclass(frozen=True, slots=True)
class Upstream:
    """A model engine or an instance of a plain service.

    Parameters
    ----------
    resumes
        Whether it can continue an answer that another engine has begun.
    orders
        Whether the fleet orders which models it loads.
    role
        Kind of its work, such as ``mixed``, ``prefill`` or ``decode``.
    """

    name: str
    kind: UpstreamKind
    address: str
    data_centre: DataCentre
    serves: tuple[str, ...]
    slots: int
    resumes: bool = False
    orders: OrderCheck = OrderCheck.NONE
    role: str = "mixed"


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A planned stop of an upstream, which gets no new requests from `at_utc` on."""

    upstream: str
    at_utc: datetime


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The validated configuration of the fleet."""

    workspaces: dict[str, Workspace] = field(default_factory=dict)
    keys_by_sha256: dict[str, CallerKey] = field(default_factory=dict)
    budgets: dict[BudgetName, Budget] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    stops: dict[str, PlannedStop] = field(default_factory=dict)
    models: dict[str, Model] = field(default_factory=dict)
    escrow: EscrowPolicy = field(default_factory=EscrowPolicy)
    prompt_overhead_tokens: int = 64
    max_body_bytes: int = 1_000_000
    default_max_tokens: int = 512
    answer_kept_s: float = 600.0
    weight_loads: int = 1
    _upstreams_serving: dict[str, dict[DataCentre, tuple[Upstream, ...]]] = field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        # Indexed once per configuration: scanning 4,000 upstreams for each request is too slow.
        serving: dict[str, dict[DataCentre, tuple[Upstream, ...]]] = {}
        for upstream in self.upstreams.values():
            for name in upstream.serves:
                by_data_centre = serving.setdefault(name, {})
                by_data_centre[upstream.data_centre] = (
                    *by_data_centre.get(upstream.data_centre, ()),
                    upstream,
                )
        object.__setattr__(self, "_upstreams_serving", serving)

    def upstreams_serving(self, name: str) -> dict[DataCentre, tuple[Upstream, ...]]:
        """Return the upstreams that serve a model or a service, by data centre."""
        return self._upstreams_serving.get(name, {})


def diff_sections(old: Sections, new: Sections) -> tuple[SectionChange, ...]:
    """Return the changes from `old` to `new`, sorted by section."""
    changes = []
    for name in sorted(old.keys() | new.keys()):
        if old.get(name) == new.get(name):
            continue
        values = tuple(sorted(new[name].items())) if name in new else None
        changes.append(SectionChange(name, values))
    return tuple(changes)


def apply_changes(sections: Sections, changes: tuple[SectionChange, ...]) -> Sections:
    """Return `sections` with `changes` applied."""
    result = dict(sections)
    for change in changes:
        if change.values is None:
            result.pop(change.section, None)
        else:
            result[change.section] = dict(change.values)
    return result


@dataclass(frozen=True, slots=True)
class ConfigState:
    """The accepted configuration and the offset of the record that put it in force."""

    offset: int = 0
    sections: Sections = field(default_factory=dict)
    config: FleetConfig = field(default_factory=FleetConfig)


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """One line of the audit trail of the configuration."""

    offset: int
    time_utc: str
    operator: str
    base_offset: int
    outcome: Outcome
    changes: tuple[SectionChange, ...]


class ConfigFold:
    """Fold of the ``config`` stream.

    A record is accepted only if its base is the accepted configuration, so changes of concurrent
    operators are never mixed: a refusal names the operator of the accepted configuration, and the
    refused operator publishes again from the new base.

    Parameters
    ----------
    validate
        Converts sections to a configuration, or raises `SettingsError`. It must be the same pure
        function in every process.
    """

    def __init__(self, validate: Callable[[Sections], FleetConfig]) -> None:
        self._validate = validate
        self.state = ConfigState()
        self.audit: list[AuditEntry] = []
        self._last_sequence: dict[str, int] = {}

    def apply(self, offset: int, record: ConfigPublished) -> Outcome:
        """Apply the record at `offset` and return whether it is accepted, or why not."""
        if record.record_id.sequence <= self._last_sequence.get(record.record_id.author, 0):
            return refused("appended before, under the same record id")
        self._last_sequence[record.record_id.author] = record.record_id.sequence
        outcome = self._decide(offset, record)
        self.audit.append(
            AuditEntry(
                offset=offset,
                time_utc=record.time_utc,
                operator=record.operator,
                base_offset=record.base_offset,
                outcome=outcome,
                changes=record.changes,
            )
        )
        return outcome

    def snapshot(self, record_id: RecordId, at_offset: int) -> ConfigSnapshot:
        """Return the state as a snapshot record, as of the last offset that was read."""
        return ConfigSnapshot(
            record_id=record_id,
            at_offset=at_offset,
            offset=self.state.offset,
            sections=diff_sections({}, self.state.sections),
            last_sequences=tuple(self._last_sequence.items()),
        )

    def load(self, snapshot: ConfigSnapshot) -> None:
        """Replace the state by that of a snapshot."""
        sections = apply_changes({}, snapshot.sections)
        self.state = ConfigState(snapshot.offset, sections, self._validate(sections))
        self._last_sequence = dict(snapshot.last_sequences)

    def _decide(self, offset: int, record: ConfigPublished) -> Outcome:
        if record.base_offset != self.state.offset:
            author = self._author_of_accepted()
            return refused(f"base {record.base_offset} is not {self.state.offset}, by {author}")
        sections = apply_changes(self.state.sections, record.changes)
        try:
            config = self._validate(sections)
        except ValueError as error:
            return refused(str(error))
        lowered = lowered_budgets(self.state.config, config)
        if lowered:
            return refused("; ".join(lowered))
        self.state = ConfigState(offset=offset, sections=sections, config=config)
        return ACCEPTED

    def _author_of_accepted(self) -> str:
        for entry in reversed(self.audit):
            if entry.outcome.accepted:
                return f"{entry.operator} at {entry.time_utc}"
        return "nobody"


def lowered_budgets(old: FleetConfig, new: FleetConfig) -> list[str]:
    """Return an error message for each budget whose paid total decreased."""
    messages = []
    for name, budget in new.budgets.items():
        prior = old.budgets.get(name)
        if prior is not None and budget.paid_tokens < prior.paid_tokens:
            messages.append(
                f"budget {name}: paid_tokens {budget.paid_tokens} is below {prior.paid_tokens};"
                " it is a running total and only goes up"
            )
    return messages
