"""The records of the platform's log, as the folds read them.

Streams
-------
``config``
    `ConfigPublished`: the operators' configuration.
``ledger-N``
    The grants of ledger shard N: `BudgetPaid`, `EpochOpened`, `GrantAsked`, `EscrowReturned`,
    `EpochClosed`, `EpochReleased`.
``bills-N``
    `BillsPosted`: one line for each settled request of shard N.
``intents-N``
    `RunIntended`: who may run a request that must not be repeated.
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
    """Identifies one record, however often it is appended.

    An append whose answer is lost is sent again with the same id; the folds drop the second.

    Parameters
    ----------
    author
        Incarnation of the writing process.
    sequence
        Counts the author's records on one stream, from 1, without gaps in order.
    """

    author: str
    sequence: int


class Side(Enum):
    """Which of an epoch's two processes speaks."""

    HOLDER = "holder"
    WITNESS = "witness"


@dataclass(frozen=True, slots=True)
class BudgetPaid:
    """States a budget's cumulative paid total, so that replays and races are harmless."""

    record_id: RecordId
    budget: BudgetName
    paid_tokens: int
    kind: Literal["budget_paid"] = "budget_paid"


@dataclass(frozen=True, slots=True)
class EpochOpened:
    """Opens a leaseholder epoch of a shard in a data centre; its offset is the epoch.

    Parameters
    ----------
    prior_epoch
        The epoch that the writer believes current. The fold accepts the record only if it is, so
        that of two racing takeovers one loses everywhere.
    witness
        The only process whose acknowledgement lets the holder spend; None when it stands alone.
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
        How many more tokens the holder wants; the fold grants at most what is left.
    spent_tokens
        What the epoch has settled of this budget so far, which lets every reader tell
        "exhausted" from "held elsewhere".
    allowance_tokens
        Of `tokens`, what the holder may spend without its witness.
    promotion_tokens
        Of `tokens`, what the witness may spend by itself after sealing, while the log is out.
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
    """Gives back part of an open grant.

    The holder reserves the tokens in its epoch first, with its witness's acknowledgement, and
    never settles that reservation: nobody can spend them there again.
    """

    record_id: RecordId
    epoch: Epoch
    budget: BudgetName
    tokens: int
    kind: Literal["escrow_returned"] = "escrow_returned"


@dataclass(frozen=True, slots=True)
class BudgetSpend:
    """What one side of an epoch vouches for, as absolute totals.

    Parameters
    ----------
    witnessed_tokens
        Reservations that the witness acknowledged: settled ones at their usage, open ones at
        their upper bound.
    own_tokens
        What the side spent by itself: the holder from its allowance, the witness after its
        promotion.
    """

    budget: BudgetName
    witnessed_tokens: int
    own_tokens: int


@dataclass(frozen=True, slots=True)
class EpochClosed:
    """Closes one side of an epoch; later ones of the same side may only lower the spend."""

    record_id: RecordId
    epoch: Epoch
    side: Side
    spends: tuple[BudgetSpend, ...]
    kind: Literal["epoch_closed"] = "epoch_closed"


@dataclass(frozen=True, slots=True)
class SpentTokens:
    """What an operator declares that an epoch spent of a budget."""

    budget: BudgetName
    tokens: int


@dataclass(frozen=True, slots=True)
class EpochReleased:
    """An operator's word that the silent processes of a superseded epoch will never speak.

    What they may have spent beyond `spent` goes back to the budgets.

    Parameters
    ----------
    spent
        For each of the epoch's budgets.
    """

    record_id: RecordId
    epoch: Epoch
    spent: tuple[SpentTokens, ...]
    operator: str
    time_utc: str
    kind: Literal["epoch_released"] = "epoch_released"


@dataclass(frozen=True, slots=True)
class BillLine:
    """The bill of one request; its request id is billed once, whoever posts it.

    Parameters
    ----------
    estimated
        The usage was never reported, since the instance that ran the request died; the line bills
        the reservation's upper bound.
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
    """Says how the only run of a request ended, so that retries elsewhere learn it."""

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
        The section's header, as ``budget lund-2026``.
    values
        Its keys and values; None when the section is gone.
    """

    section: str
    values: tuple[tuple[str, str], ...] | None


@dataclass(frozen=True, slots=True)
class ConfigPublished:
    """A new configuration as its changes against the accepted one at `base_offset`."""

    record_id: RecordId
    base_offset: int
    changes: tuple[SectionChange, ...]
    operator: str
    time_utc: str
    kind: Literal["config_published"] = "config_published"


@dataclass(frozen=True, slots=True)
class EngineOrdered:
    """States an order to an engine and what became of it, for the audit trail.

    Parameters
    ----------
    fencing
        Offset of the configuration that the order carries out.
    setup
        What the engine should load, as text.
    outcome
        What the engine answered, or that it did not.
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
        Of the record that put it in force.
    """

    record_id: RecordId
    at_offset: int
    offset: int
    sections: tuple[SectionChange, ...]
    last_sequences: tuple[tuple[str, int], ...]
    kind: Literal["config_snapshot"] = "config_snapshot"


@dataclass(frozen=True, slots=True)
class GrantImage:
    """One grant in a snapshot; the fields are those of `ledger_state.Grant`."""

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
    """One epoch in a snapshot; the fields are those of `ledger_state.EpochState`."""

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
        What epochs consumed that are no longer kept one by one.
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
    """What a fold decided about one record."""

    accepted: bool
    reason: str = ""


ACCEPTED = Outcome(accepted=True)


def refused(reason: str) -> Outcome:
    """Return the outcome of a record that the fold did not accept."""
    return Outcome(accepted=False, reason=reason)
