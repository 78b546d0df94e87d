"""Data classes of the records in the platform's log, which the folds read.

Streams
-------
``config``
    `ConfigPublished`: the operators' configuration.
``ledger-N``
    Grants of ledger shard N: `BudgetPaid`, `EpochOpened`, `GrantAsked`, `EscrowReturned`,
    `EpochClosed`, `EpochReleased`.
``bills-N``
    `BillsPosted`: one line for each settled request of shard N.
``intents-N``
    `RunIntended`, `RunEnded`: owner and result of the only run of a request that must not be
    repeated.
``orders``
    `EngineOrdered`: orders to model engines, for the audit trail.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Literal

from ..types import BudgetName, DataCentre, Epoch, Member, Shard


@dataclass(frozen=True, slots=True)
class RecordId:
    """Identity of a record, which stays the same if the record is appended again.

    An append whose answer is lost is repeated with the same id; the folds drop the second record.

    Parameters
    ----------
    author
        Incarnation of the writing process.
    sequence
        Number of the record among the author's records on the stream, from 1 without gaps.
    """

    author: str
    sequence: int


class Side(Enum):
    """The process of an epoch that wrote a record: its holder or its witness."""

    HOLDER = "holder"
    WITNESS = "witness"


@dataclass(frozen=True, slots=True)
class BudgetPaid:
    """Cumulative paid total of a budget; a total makes replays and races harmless."""

    record_id: RecordId
    budget: BudgetName
    paid_tokens: int
    kind: Literal["budget_paid"] = "budget_paid"


@dataclass(frozen=True, slots=True)
class EpochOpened:
    """Opens a leaseholder epoch of a shard in a data centre; the record's offset is the epoch.

    Parameters
    ----------
    prior_epoch
        The current epoch as the writer knows it. The fold accepts the record only if that is
        correct, so all readers accept the same one of two concurrent takeovers.
    witness
        The only process whose acknowledgement lets the holder spend; None without a witness.
    """

    record_id: RecordId
    shard: Shard
    data_centre: DataCentre
    holder: Member
    witness: Member | None
    prior_epoch: Epoch
    kind: Literal["epoch_opened"] = "epoch_opened"


@dataclass(frozen=True, slots=True)
class GrantAsk:
    """Asks for escrow of one budget.

    Parameters
    ----------
    tokens
        Additional tokens that the holder requests; the fold grants at most what is left.
    spent_tokens
        Tokens of this budget that the epoch has settled so far. They let every reader distinguish
        an exhausted budget from one whose tokens are held by other epochs.
    allowance_tokens
        Part of `tokens` that the holder may spend without its witness.
    promotion_tokens
        Part of `tokens` that the witness may spend by itself after sealing, while the log is
        unreachable.
    """

    budget: BudgetName
    tokens: int
    spent_tokens: int
    allowance_tokens: int
    promotion_tokens: int


@dataclass(frozen=True, slots=True)
class GrantAsked:
    """Asks for escrow of several budgets in one epoch."""

    record_id: RecordId
    epoch: Epoch
    asks: tuple[GrantAsk, ...]
    kind: Literal["grant_asked"] = "grant_asked"


@dataclass(frozen=True, slots=True)
class EscrowReturned:
    """Returns part of an open grant.

    The holder first reserves the tokens in its epoch, acknowledged by its witness, and never
    settles that reservation, so they cannot be spent in this epoch again.
    """

    record_id: RecordId
    epoch: Epoch
    budget: BudgetName
    tokens: int
    kind: Literal["escrow_returned"] = "escrow_returned"


@dataclass(frozen=True, slots=True)
class BudgetSpend:
    """Total spend of a budget that one side of an epoch confirms.

    Parameters
    ----------
    witnessed_tokens
        Reservations that the witness acknowledged: settled ones at their usage, open ones at
        their upper bound.
    own_tokens
        Tokens that the side spent by itself: the holder from its allowance, the witness after its
        promotion.
    """

    budget: BudgetName
    witnessed_tokens: int
    own_tokens: int


@dataclass(frozen=True, slots=True)
class EpochClosed:
    """Closes one side of an epoch; later records of the same side may only lower the spend."""

    record_id: RecordId
    epoch: Epoch
    side: Side
    spends: tuple[BudgetSpend, ...]
    kind: Literal["epoch_closed"] = "epoch_closed"


@dataclass(frozen=True, slots=True)
class SpentTokens:
    """Tokens of a budget that an epoch spent, as declared by an operator."""

    budget: BudgetName
    tokens: int


@dataclass(frozen=True, slots=True)
class EpochReleased:
    """An operator's statement that unresponsive processes of a superseded epoch never return.

    Tokens that they possibly spent beyond `spent` go back to the budgets.

    Parameters
    ----------
    spent
        One entry for each budget of the epoch.
    """

    record_id: RecordId
    epoch: Epoch
    spent: tuple[SpentTokens, ...]
    operator: str
    time_utc: str
    kind: Literal["epoch_released"] = "epoch_released"


@dataclass(frozen=True, slots=True)
class BillLine:
    """The bill of one request; a request id is billed once, also if several instances post it.

    Parameters
    ----------
    estimated
        Whether the usage was never reported because the instance that ran the request died; the
        line then bills the upper bound of the reservation.
    """

    request_id: str
    budget: BudgetName
    tokens: int
    estimated: bool = False


@dataclass(frozen=True, slots=True)
class BillsPosted:
    """Bills of many requests in one append."""

    record_id: RecordId
    lines: tuple[BillLine, ...]
    kind: Literal["bills_posted"] = "bills_posted"


@dataclass(frozen=True, slots=True)
class RunIntended:
    """Claims the only run of a request that must not be repeated."""

    record_id: RecordId
    request_key: str
    body_digest: str
    owner: Member
    kind: Literal["run_intended"] = "run_intended"


@dataclass(frozen=True, slots=True)
class RunEnded:
    """Status with which the only run of a request ended, for retries at other instances."""

    record_id: RecordId
    request_key: str
    status: int
    kind: Literal["run_ended"] = "run_ended"


@dataclass(frozen=True, slots=True)
class SectionChange:
    """One changed section of the operators' folder.

    Parameters
    ----------
    section
        Header of the section, such as ``budget lund-2026``.
    values
        Keys and values; None if the section is removed.
    """

    section: str
    values: tuple[tuple[str, str], ...] | None


@dataclass(frozen=True, slots=True)
class ConfigPublished:
    """A new configuration, as changes to the one accepted at `base_offset`."""

    record_id: RecordId
    base_offset: int
    changes: tuple[SectionChange, ...]
    operator: str
    time_utc: str
    kind: Literal["config_published"] = "config_published"


@dataclass(frozen=True, slots=True)
class EngineOrdered:
    """An order to an engine and its outcome, for the audit trail.

    Parameters
    ----------
    fencing
        Offset of the configuration that the order applies.
    setup
        Setup that the engine should load, as text.
    outcome
        Answer of the engine, or that there was none.
    """

    record_id: RecordId
    engine: str
    fencing: int
    setup: str
    outcome: str
    time_utc: str
    kind: Literal["engine_ordered"] = "engine_ordered"


@dataclass(frozen=True, slots=True)
class ConfigSnapshot:
    """The accepted configuration as of `at_offset`, for readers that start after trimming.

    Parameters
    ----------
    offset
        Offset of the record that put it in force.
    """

    record_id: RecordId
    at_offset: int
    offset: int
    sections: tuple[SectionChange, ...]
    last_sequences: tuple[tuple[str, int], ...]
    kind: Literal["config_snapshot"] = "config_snapshot"


@dataclass(frozen=True, slots=True)
class GrantImage:
    """One grant in a snapshot, with the fields of `ledger_state.Grant`."""

    budget: BudgetName
    granted_tokens: int
    allowance_tokens: int
    promotion_tokens: int
    returned_tokens: int
    reported_tokens: int
    holder: BudgetSpend | None
    witness: BudgetSpend | None


@dataclass(frozen=True, slots=True)
class EpochImage:
    """One epoch in a snapshot, with the fields of `ledger_state.EpochState`."""

    epoch: Epoch
    data_centre: DataCentre
    holder: Member
    witness: Member | None
    prior_epoch: Epoch
    holder_closed: bool
    witness_closed: bool
    grants: tuple[GrantImage, ...]
    released: bool = False


@dataclass(frozen=True, slots=True)
class LedgerSnapshot:
    """A ledger shard as of `at_offset`, for readers that start after trimming.

    Parameters
    ----------
    retired
        Total consumption of epochs that are no longer stored individually, by budget.
    current
        The current epoch of each data centre.
    """

    record_id: RecordId
    at_offset: int
    paid: tuple[tuple[BudgetName, int], ...]
    retired: tuple[tuple[BudgetName, int], ...]
    epochs: tuple[EpochImage, ...]
    current: tuple[tuple[DataCentre, Epoch], ...]
    last_sequences: tuple[tuple[str, int], ...]
    kind: Literal["ledger_snapshot"] = "ledger_snapshot"


SnapshotRecord = ConfigSnapshot | LedgerSnapshot
LedgerRecord = BudgetPaid | EpochOpened | GrantAsked | EscrowReturned | EpochClosed | EpochReleased
IntentRecord = RunIntended | RunEnded
Record = (
    LedgerRecord | IntentRecord | BillsPosted | ConfigPublished | SnapshotRecord | EngineOrdered
)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Decision of a fold about one record."""

    accepted: bool
    reason: str = ""


ACCEPTED = Outcome(accepted=True)


def refused(reason: str) -> Outcome:
    """Return the outcome of a record that the fold did not accept."""
    return Outcome(accepted=False, reason=reason)
