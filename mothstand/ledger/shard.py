"""One ledger shard of an instance: reads its stream and leads or witnesses its epochs.

The decisions are made in ``core``. Everything runs on one event loop, so state changes between two
awaits are atomic.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.accounts import HolderAccount, SettledRequest, WitnessAccount
from ..core.leadership import plan_epoch
from ..core.ledger_fold import LedgerFold
from ..core.records import (
    BillLine,
    BudgetSpend,
    EpochClosed,
    EpochOpened,
    GrantAsked,
    LedgerRecord,
    LedgerSnapshot,
    RecordId,
    Side,
)
from ..events import Event, emit
from ..types import Epoch
from .escrow_agent import EscrowAgent
from .reserver import Reserver
from .state import ShardState

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.ledger_state import EpochState
    from ..log.writer import LogWriter
    from ..types import BudgetName, Shard
    from .state import ShardContext

#: Seconds for which the reservation of a dead instance's request is retained for the caller's
#: retry. Then it is billed at its upper bound.
ORPHAN_HOLD_S = 120.0

#: Seconds between two checks for requests whose instance died.
SWEEP_INTERVAL_S = 2.0

#: Offsets of a shard's stream between two snapshots.
SNAPSHOT_EVERY_RECORDS = 200


class ShardNode:
    """One ledger shard of an instance.

    Parameters
    ----------
    writer
        Appends to the shard's stream.
    bill
        Appends a line to the bills stream; used for requests whose instance died.
    """

    def __init__(
        self,
        shard: Shard,
        writer: LogWriter[LedgerRecord | LedgerSnapshot],
        context: ShardContext,
        bill: Callable[[BillLine], None],
    ) -> None:
        self.state = ShardState(shard, context)
        self.reserver = Reserver(self.state)
        self.agent = EscrowAgent(self.state, writer, self.reserver.request_mirror)
        self.reserver.attach(self.agent)
        self._writer = writer
        self._context = context
        self._bill = bill
        self._opening_record_id: RecordId | None = None
        self._reported_spends: dict[tuple[Epoch, Side], tuple[BudgetSpend, ...]] = {}
        self._orphaned_at_s: dict[str, float] = {}
        self._sweep_at_s = 0.0
        self._paid_tokens: dict[BudgetName, int] | None = None
        self._snapshot_offset = 0

    def on_record(self, offset: int, record: LedgerRecord | LedgerSnapshot) -> None:
        """Apply one record of the shard's stream."""
        if isinstance(record, LedgerSnapshot):
            self._snapshot_offset = max(self._snapshot_offset, record.at_offset)
            return
        prior = self.state.current_epoch()
        outcome = self.state.fold.apply(offset, record)
        if record.record_id == self._opening_record_id:
            self._opening_record_id = None
        if isinstance(record, GrantAsked):
            self.agent.on_grant_decided(record)
        if outcome.accepted and isinstance(record, EpochOpened):
            self._on_epoch_opened(Epoch(offset), prior)
        self.agent.return_surplus()
        self.state.announce()

    def load(self, snapshot: LedgerSnapshot) -> None:
        """Load the shard's state from a snapshot that replaces the trimmed records."""
        self.state.fold = LedgerFold.load(self.state.shard, snapshot)
        self._snapshot_offset = snapshot.at_offset
        self.state.announce()

    def tick(self, paid_tokens: dict[BudgetName, int]) -> None:
        """Run the due work: open an epoch, promote, ask for escrow, bill for dead instances.

        Parameters
        ----------
        paid_tokens
            Configured paid totals of this shard's budgets; a new mapping if they have changed.
        """
        now_s = self._context.clock.monotonic_s()
        self._open_if_due(now_s)
        self._promote_if_due(now_s)
        if self.state.leading() is not None:
            if paid_tokens is not self._paid_tokens:
                self._paid_tokens = paid_tokens
                self.agent.submit_paid_tokens(paid_tokens)
            self.agent.ask_for_waiting()
            self.agent.return_surplus()
            self._snapshot_if_due()
        if now_s >= self._sweep_at_s:
            # These go through all open reservations, so they do not run with each tick.
            self._sweep_at_s = now_s + SWEEP_INTERVAL_S
            self._bill_for_dead_owners(now_s)
            self._report_late_settlements()
            self._drop_retired_accounts()
            self.state.requests.expire(now_s)

    def close(self) -> None:
        """Close the led epoch without a successor when the instance stops."""
        leading = self.state.leading()
        if leading is not None:
            leading[1].has_lost_epoch = True
            self._report_closed(leading[0].epoch)

    def _snapshot_if_due(self) -> None:
        """Append a snapshot if enough records were read since the last one.

        The leaseholder of the first data centre by name is due first, the others a little later, in
        case the first is cut off from the log.
        """
        order = sorted(self.state.fold.current_epochs)
        turn = order.index(self._context.membership.data_centre)
        due = SNAPSHOT_EVERY_RECORDS * (4 + turn) // 4
        if self.state.fold.offset - self._snapshot_offset < due:
            return
        self._snapshot_offset = self.state.fold.offset
        self._writer.submit(self.state.fold.snapshot)

    def _on_epoch_opened(self, epoch: Epoch, prior: EpochState | None) -> None:
        opened = self.state.fold.epochs[epoch]
        membership = self._context.membership
        if opened.data_centre != membership.data_centre:
            return
        if opened.holder == membership.local_member:
            self.state.holders[epoch] = HolderAccount(epoch, has_witness=opened.witness is not None)
            self.reserver.is_witness_reachable = True
            self.agent.on_epoch_opened()
            emit(
                Event.EPOCH_OPENED,
                shard=self.state.shard,
                epoch=epoch,
                prior_epoch=opened.prior_epoch,
                witness=opened.witness.name if opened.witness else None,
            )
        if opened.witness == membership.local_member:
            self.state.witnesses[epoch] = WitnessAccount(epoch)
        if prior is not None:
            self._close_superseded_epoch(prior.epoch)

    def _close_superseded_epoch(self, epoch: Epoch) -> None:
        """Stop spending in a superseded epoch and close this instance's side of it."""
        holder = self.state.holders.get(epoch)
        if holder is not None:
            holder.has_lost_epoch = True
            emit(Event.EPOCH_LOST, shard=self.state.shard, epoch=epoch)
        witness = self.state.witnesses.get(epoch)
        if witness is not None:
            witness.seal()
            witness.stop_promotion()
            self._adopt_requests(witness)
            emit(Event.EPOCH_SEALED, shard=self.state.shard, epoch=epoch)
        self._report_closed(epoch)
        self.reserver.request_mirror()

    def _adopt_requests(self, witness: WitnessAccount) -> None:
        """Index the keys of the former leaseholder's requests, so that retries do not run twice."""
        now_s = self._context.clock.monotonic_s()
        for reservation in witness.open_reservations.values():
            self.state.requests.start(reservation.request_id, reservation.owner)
        for settled in witness.unposted_requests.values():
            self.state.requests.start(settled.reservation.request_id, settled.reservation.owner)
            self.state.requests.finish(settled.reservation.request_id, now_s)

    def _report_closed(self, epoch: Epoch) -> None:
        """Append the spend of this instance's sides of an epoch, if it has changed."""
        if epoch not in self.state.fold.epochs:
            return
        for side, account in self._sides(epoch):
            spends = account.budget_spends()
            if self._reported_spends.get((epoch, side)) == spends:
                continue
            self._reported_spends[epoch, side] = spends
            self._writer.submit(_closed_record(epoch, side, spends))
            emit(Event.EPOCH_CLOSED, shard=self.state.shard, epoch=epoch, side=side.value)

    def _sides(self, epoch: Epoch) -> list[tuple[Side, HolderAccount | WitnessAccount]]:
        sides: list[tuple[Side, HolderAccount | WitnessAccount]] = []
        if epoch in self.state.holders:
            sides.append((Side.HOLDER, self.state.holders[epoch]))
        if epoch in self.state.witnesses:
            sides.append((Side.WITNESS, self.state.witnesses[epoch]))
        return sides

    def _report_late_settlements(self) -> None:
        """Report the lower spend of closed epochs whose last reservations were settled since."""
        current = self.state.current_epoch()
        for epoch in {*self.state.holders, *self.state.witnesses}:
            if current is None or epoch == current.epoch:
                continue
            if not any(account.open_reservations for _, account in self._sides(epoch)):
                self._report_closed(epoch)

    def _open_if_due(self, now_s: float) -> None:
        if self._opening_record_id is not None or self._context.log_unreachable_s() > 0:
            return
        plan = plan_epoch(self.state.fold, self._context.membership, now_s)
        if plan is None:
            return
        record = self._writer.submit(
            lambda record_id: plan.to_record(record_id, self.state.fold, self._context.membership)
        )
        self._opening_record_id = record.record_id

    def _promote_if_due(self, now_s: float) -> None:
        """Let the witness spend its promotion share if the holder and the log are unreachable."""
        current = self.state.current_epoch()
        if current is None or not self._context.is_log_unreachable:
            return
        witness = self.state.witnesses.get(current.epoch)
        if witness is None or witness.is_sealed:
            return
        if self._context.membership.is_alive(current.holder, now_s):
            return
        witness.promote()
        self._adopt_requests(witness)
        emit(Event.WITNESS_PROMOTED, shard=self.state.shard, epoch=current.epoch)

    def _drop_retired_accounts(self) -> None:
        """Drop the accounts of epochs that the fold no longer retains."""
        for accounts in (self.state.holders, self.state.witnesses):
            for epoch in [e for e in accounts if e not in self.state.fold.epochs]:
                # Running requests still settle in these accounts, if only for their bills.
                if not accounts[epoch].open_reservations:
                    del accounts[epoch]

    def _bill_for_dead_owners(self, now_s: float) -> None:
        """Post the bills of instances that died before they could post them."""
        for _, account in self._billable_accounts():
            for number, settled in list(account.unposted_requests.items()):
                if self._is_dead(settled.reservation.owner, now_s, dead_for_s=0.0):
                    self._bill(_bill_line(settled))
                    account.note_posted(number)
            for number, reservation in list(account.open_reservations.items()):
                if self._is_dead(reservation.owner, now_s, dead_for_s=ORPHAN_HOLD_S):
                    account.settle(number, reservation.bound_tokens)
                    line = _bill_line(SettledRequest(reservation, reservation.bound_tokens))
                    self._bill(BillLine(line.request_id, line.budget, line.tokens, estimated=True))
                    account.note_posted(number)

    def _billable_accounts(self) -> list[tuple[Epoch, HolderAccount | WitnessAccount]]:
        """Return accounts that may bill for their epoch: holders', and witnesses' once sealed."""
        sealed = [(e, w) for e, w in self.state.witnesses.items() if w.is_sealed]
        return [*self.state.holders.items(), *sealed]

    def _is_dead(self, owner: str, now_s: float, *, dead_for_s: float) -> bool:
        # Reservations for a return of escrow have no owner and are never settled.
        if not owner or self._context.membership.find(owner, now_s) is not None:
            self._orphaned_at_s.pop(owner, None)
            return False
        return now_s - self._orphaned_at_s.setdefault(owner, now_s) >= dead_for_s


def _closed_record(
    epoch: Epoch, side: Side, spends: tuple[BudgetSpend, ...]
) -> Callable[[RecordId], EpochClosed]:
    return lambda record_id: EpochClosed(record_id=record_id, epoch=epoch, side=side, spends=spends)


def _bill_line(settled: SettledRequest) -> BillLine:
    return BillLine(settled.reservation.request_id, settled.reservation.budget, settled.used_tokens)
