"""Reads the state of a fleet of real processes from the log, for tests and benchmarks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ..log.client import HttpLog
from ..operators.log_view import LogView, read_all

if TYPE_CHECKING:
    from ..core.ledger_state import EpochState
    from ..types import BudgetName, DataCentre
    from .fleet import Fleet


def view_of(fleet: Fleet) -> LogView:
    """Return the log's current state."""

    async def read() -> LogView:
        log = HttpLog(fleet.platform.url, caller="test", timeout_s=5.0)
        return await read_all(log, fleet.shards)

    return anyio.run(read)


def epoch_of(fleet: Fleet, budget: BudgetName, data_centre: DataCentre) -> EpochState:
    """Return the current epoch of a budget's shard in a data centre.

    Raises
    ------
    AssertionError
        If no ledger has the budget, or its shard has no epoch in the data centre.
    """
    for fold in view_of(fleet).ledgers.values():
        if budget in fold.paid_tokens:
            state = fold.current_epoch(data_centre)
            assert state is not None, f"no epoch of {budget} in {data_centre}"
            return state
    raise AssertionError(f"{budget} is in no ledger")


def holder_of(fleet: Fleet, budget: BudgetName, data_centre: DataCentre) -> tuple[str, str]:
    """Return the names of a budget's holder in a data centre and of the witness, if any."""
    state = epoch_of(fleet, budget, data_centre)
    return state.holder.name, state.witness.name if state.witness else ""


def all_witnessed(fleet: Fleet, *, data_centres: int) -> bool:
    """Return whether each shard has an epoch with a witness in each data centre."""
    ledgers = view_of(fleet).ledgers.values()
    epochs = [fold.epochs[epoch] for fold in ledgers for epoch in fold.current_epochs.values()]
    return len(epochs) == fleet.shards * data_centres and all(e.witness for e in epochs)
