"""What the parts of one shard at one instance share."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from ..core.ledger_fold import LedgerFold
from ..core.requests import RequestIndex
from ..log.health import UNREACHABLE_AFTER_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..core.accounts import HolderAccount, WitnessAccount
    from ..core.config import FleetConfig
    from ..core.ledger_state import EpochState
    from ..core.membership import Membership
    from ..settings.instance import TimingSection
    from ..types import BudgetName, Epoch, Shard
    from .calls import PeerCalls


@dataclass(slots=True)
class ShardContext:
    """What all shards of an instance share.

    Parameters
    ----------
    config
        Returns the configuration in force.
    log_silent_s
        Returns for how long the log has not answered; 0 while it does.
    data_centres
        Returns how many data centres share the budgets.
    """

    membership: Membership
    calls: PeerCalls
    clock: Clock
    timing: TimingSection
    config: Callable[[], FleetConfig]
    log_unreachable_s: Callable[[], float]
    data_centre_count: Callable[[], int]

    @property
    def is_log_unreachable(self) -> bool:
        """Whether the log has been silent for long."""
        return self.log_unreachable_s() >= UNREACHABLE_AFTER_S


@dataclass(slots=True)
class ShardState:
    """One shard's fold, and this instance's accounts of its epochs.

    Parameters
    ----------
    needed_tokens
        For each budget, what requests wait for right now.
    """

    shard: Shard
    context: ShardContext
    fold: LedgerFold = field(init=False)
    holders: dict[Epoch, HolderAccount] = field(default_factory=dict)
    witnesses: dict[Epoch, WitnessAccount] = field(default_factory=dict)
    requests: RequestIndex = field(init=False)
    needed_tokens: dict[BudgetName, int] = field(default_factory=dict)
    _progress: anyio.Event = field(default_factory=anyio.Event)

    def __post_init__(self) -> None:
        self.fold = LedgerFold(self.shard)
        self.requests = RequestIndex(self.context.config().answer_kept_s)

    def current_epoch(self) -> EpochState | None:
        """Return the current epoch of this data centre."""
        return self.fold.current_epoch(self.context.membership.data_centre)

    def remote_epochs(self, budget: BudgetName) -> list[EpochState]:
        """Return other data centres' current epochs that were granted escrow of a budget."""
        local_data_centre = self.context.membership.data_centre
        epochs = (
            self.fold.epochs[e]
            for place, e in self.fold.current_epochs.items()
            if place != local_data_centre
        )
        return [state for state in epochs if budget in state.grants]

    def epoch_member_names(self) -> set[str]:
        """Return the names of the current epoch's leaseholder and witness."""
        current = self.current_epoch()
        if current is None:
            return set()
        members = (current.holder, current.witness)
        return {member.name for member in members if member is not None}

    def leading(self) -> tuple[EpochState, HolderAccount] | None:
        """Return the current epoch and its account if this instance may spend in it."""
        state = self.current_epoch()
        if state is None or state.is_closed:
            return None
        account = self.holders.get(state.epoch)
        if account is None or account.has_lost_epoch:
            return None
        return state, account

    def promoted(self) -> tuple[EpochState, WitnessAccount] | None:
        """Return the current epoch and its account if this instance spends as its witness."""
        state = self.current_epoch()
        account = None if state is None else self.witnesses.get(state.epoch)
        if state is None or account is None or not account.is_promoted:
            return None
        return state, account

    @property
    def progress(self) -> anyio.Event:
        """Set when something changes that a waiting request may look at again."""
        return self._progress

    def announce(self) -> None:
        """Wake what waits for `progress`."""
        self._progress.set()
        self._progress = anyio.Event()
