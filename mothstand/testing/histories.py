"""Random histories of one ledger shard, with the real fold, accounts, policy and leadership.

Several processes in two data centres share one log. Each step of a history is an action of one
process: it reads records, appends one (twice if the answer is lost), gets an arbitrary membership
view, reserves, mirrors (the request or the answer may be lost, or an old batch repeated), settles,
or restarts with an empty memory. A process without steps is in effect paused or cut off.

Each step is followed by a check. What requests have used, plus the upper bounds of running
requests, is at most what is paid, and in each epoch at most what the fold counts as consumed there.
The fold never grants more than is paid. The check of each epoch finds a fault long before a budget
is overspent, because stranded tokens would hide it.

An `InjectedFault` shows that the checks would find a known fault.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..core.accounts import HolderAccount, Lane, MirrorBatch, Reservation
from ..core.config import FleetConfig
from ..core.escrow import EscrowPolicy
from ..core.ledger_fold import LedgerFold
from ..core.ledger_state import EpochState, Grant
from ..ledger.calls import Ticket
from ..ledger.shard import ShardNode
from ..ledger.state import ShardContext
from ..log.health import UNREACHABLE_AFTER_S
from ..settings.instance import TimingSection
from ..types import BudgetName, DataCentre, Epoch, Member, Shard
from .fakes import FakeClock, FakeMembership, FakeWriter, NoPeers
from .injected_faults import FAULTY_FOLDS, InjectedFault, UncheckedWitness

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..core.records import BillLine, LedgerRecord

SHARD = Shard(0)
BUDGET = BudgetName("lund")
DATA_CENTRES = (DataCentre("sto-a"), DataCentre("sto-b"))
_MAX_BOUND_TOKENS = 40
_TOP_UP_TOKENS = 200


class OverspentError(AssertionError):
    """More was spent or granted than was paid."""


@dataclass(slots=True)
class RunningRequest:
    """A request that was dispatched and has not finished."""

    ticket: Ticket
    bound_tokens: int


@dataclass(slots=True)
class Process:
    """A process of an instance and its view of the log."""

    node: ShardNode
    writer: FakeWriter[LedgerRecord]
    membership: FakeMembership
    clock: FakeClock
    read_offset: int = 0
    log_unreachable_s: float = 0.0
    old_batches: list[MirrorBatch] = field(default_factory=list)


@dataclass(slots=True)
class Counts:
    """Counts of rare events, which show that the histories reach them."""

    dispatched: int = 0
    promoted: int = 0
    allowance: int = 0
    epochs: int = 0
    returned: int = 0
    restarts: int = 0


class History:
    """A random history of a ledger shard.

    Parameters
    ----------
    rng
        Source of all random choices; the same seed gives the same history.
    fault
        Fault to inject.
    """

    def __init__(
        self,
        rng: random.Random,
        *,
        fault: InjectedFault = InjectedFault.NONE,
        per_data_centre: int = 2,
    ) -> None:
        self.rng = rng
        self.fault = fault
        self.counts = Counts()
        self.log: list[LedgerRecord] = []
        self.reference_fold = self._make_fold()
        self.paid_tokens = _TOP_UP_TOKENS
        self.used_tokens = 0
        self.spent_tokens: dict[Epoch, int] = {}
        self.running_requests: dict[str, RunningRequest] = {}
        self.data_centres = {
            f"{data_centre}-{i}": data_centre
            for data_centre in DATA_CENTRES
            for i in range(per_data_centre)
        }
        self.config = FleetConfig(escrow=EscrowPolicy(allowance_percent=10, promotion_percent=30))
        self.processes = {name: self._start(name, 1) for name in self.data_centres}
        self._incarnations = dict.fromkeys(self.data_centres, 1)
        self._requests = 0

    def run(self, steps: int) -> None:
        """Run random steps, then spend all that can still be reserved.

        Raises
        ------
        OverspentError
            If a check fails.
        """
        for _ in range(steps):
            self.step()
        self.exhaust()

    def step(self) -> None:
        """Run one random step and check the invariants."""
        name = self.rng.choice(list(self.processes))
        (action,) = self.rng.choices(self._actions(), weights=_WEIGHTS)
        action(name)
        self.check()

    def check(self) -> None:
        """Check the invariants."""
        spent = self.used_tokens + sum(r.bound_tokens for r in self.running_requests.values())
        paid = self.reference_fold.paid_tokens.get(BUDGET, 0)
        if spent > paid:
            raise OverspentError(f"spent up to {spent} of {paid} paid")
        retired = self.reference_fold.retired_tokens(BUDGET)
        consumed = retired
        consumed += sum(
            state.consumed_tokens(BUDGET) for state in self.reference_fold.epochs.values()
        )
        if consumed > paid or self.reference_fold.ungranted_tokens(BUDGET) != paid - consumed:
            free = self.reference_fold.ungranted_tokens(BUDGET)
            raise OverspentError(f"{consumed} consumed and {free} free of {paid} paid")
        spent_retired = 0
        for epoch, tokens in self.spent_tokens.items():
            if epoch not in self.reference_fold.epochs:
                spent_retired += tokens
                continue
            consumed_in_epoch = self.reference_fold.epochs[epoch].consumed_tokens(BUDGET)
            if tokens > consumed_in_epoch:
                raise OverspentError(
                    f"{tokens} spent in epoch {epoch}, {consumed_in_epoch} counted as consumed"
                )
        if spent_retired > retired:
            raise OverspentError(
                f"{spent_retired} spent in old epochs, {retired} counted as consumed"
            )

    def _actions(self) -> tuple[Callable[[str], None], ...]:
        return (
            self.read,
            self.append,
            self.tick,
            self.change_membership_view,
            self.reserve,
            self.mirror,
            self.repeat_mirror,
            self.settle,
            self.top_up,
            self.restart,
            self.return_escrow,
        )

    # -- steps -------------------------------------------------------------------------------

    def read(self, name: str) -> None:
        """Read a few records of the log."""
        process = self.processes[name]
        for _ in range(self.rng.randint(1, 6)):
            if process.read_offset < len(self.log):
                process.read_offset += 1
                process.node.on_record(process.read_offset, self.log[process.read_offset - 1])

    def append(self, name: str) -> None:
        """Append the oldest queued record, which stays queued if the answer is lost."""
        queue = self.processes[name].writer.queue
        if not queue:
            return
        record = queue[0]
        self.log.append(record)
        outcome = self.reference_fold.apply(len(self.log), record)
        self.counts.epochs += outcome.accepted and record.kind == "epoch_opened"
        self.counts.returned += outcome.accepted and record.kind == "escrow_returned"
        if self.rng.random() > 0.2:
            queue.pop(0)

    def tick(self, name: str) -> None:
        """Advance a process's clock and run the work that is due."""
        process = self.processes[name]
        process.clock.advance(self.rng.choice((0.1, 1.0, 10.0)))
        process.node.agent.ask(BUDGET)
        process.node.tick({BUDGET: self.paid_tokens})

    def change_membership_view(self, name: str) -> None:
        """Set an arbitrary view of the other members and of the log."""
        process = self.processes[name]
        data_centre = self.data_centres[name]
        peers = [
            other.membership.local_member
            for other_name, other in self.processes.items()
            if self.data_centres[other_name] == data_centre and other_name != name
        ]
        alive_peers = [member for member in peers if self.rng.random() < 0.6]
        process.membership.alive_peers = {member.name: member for member in alive_peers}
        process.log_unreachable_s = self.rng.choice((0.0, 0.0, 2 * UNREACHABLE_AFTER_S))

    def reserve(self, name: str) -> None:
        """Reserve tokens as the holder of an epoch, or as a promoted witness."""
        process = self.processes[name]
        # Includes small bounds, so that a history can spend all available tokens.
        bound = self.rng.randint(1, self.rng.choice((4, _MAX_BOUND_TOKENS)))
        process.node.agent.note_bound(BUDGET, bound)
        self._requests += 1
        request_id = f"request-{self._requests}"
        leading = process.node.state.leading()
        if leading is not None:
            self._reserve_leading(process, *leading, request_id, bound)
            return
        promoted = process.node.state.promoted()
        if promoted is None:
            return
        state, witness = promoted
        grant = state.grants.get(BUDGET, Grant())
        reservation = witness.reserve_own(request_id, BUDGET, bound, grant=grant)
        if reservation is not None:
            self.counts.promoted += 1
            self._dispatch(state, reservation)

    def mirror(self, name: str) -> None:
        """Send the next batch to the witness; the request or the answer may be lost."""
        process = self.processes[name]
        leading = process.node.state.leading()
        if leading is None or leading[0].witness is None:
            return
        state, account = leading
        batch = account.next_batch()
        if batch is None:
            return
        process.old_batches.append(batch)
        lost = self.rng.random()
        if lost < 0.1:
            return
        witness = self._pick_false_witness(state) or self._witness_of(state)
        answer = None if witness is None else witness.node.reserver.mirror(batch)
        if answer is None or lost < 0.25:
            return
        for reservation in process.node.reserver.apply_mirror_answer(account, batch, answer):
            is_return = reservation.request_id.startswith("return/")
            if not is_return and self.fault is not InjectedFault.SPENDS_UNACKNOWLEDGED:
                self._dispatch(state, reservation)

    def repeat_mirror(self, name: str) -> None:
        """Deliver an earlier batch again, as a slow network would."""
        process = self.processes[name]
        if not process.old_batches:
            return
        batch = self.rng.choice(process.old_batches)
        state = self.reference_fold.epochs.get(batch.epoch)
        witness = None if state is None else self._witness_of(state)
        if witness is not None:
            witness.node.reserver.mirror(batch)

    def settle(self, name: str) -> None:
        """Settle a running request at a process, which may be the wrong one."""
        if not self.running_requests:
            return
        request_id = self.rng.choice(list(self.running_requests))
        running = self.running_requests[request_id]
        used = self.rng.randint(0, running.bound_tokens)
        process = self.processes[name]
        if not process.node.reserver.settle(running.ticket, used, request_id):
            return
        if self.fault is InjectedFault.SETTLES_TWICE:
            self._settle_twice(process, running, used)
        self._finish_request(request_id, used)

    def top_up(self, _name: str) -> None:
        """Sometimes increase the paid tokens."""
        if self.rng.random() < 0.15:
            self.paid_tokens += _TOP_UP_TOKENS

    def restart(self, name: str) -> None:
        """Sometimes replace a process by a new one at its address, with an empty memory."""
        if self.rng.random() < 0.5:
            return
        self.counts.restarts += 1
        if self.fault is not InjectedFault.RESTART_KEEPS_IDENTITY:
            self._incarnations[name] += 1
        self.processes[name] = self._start(name, self._incarnations[name])

    def return_escrow(self, name: str) -> None:
        """Return some escrow, as if another data centre needed it."""
        lane = self.rng.choice((Lane.WITNESSED, Lane.WITNESSED, Lane.OWN))
        tokens = self.rng.randint(1, 20)
        self.processes[name].node.agent.return_tokens(BUDGET, tokens, lane)

    # -- exhaustion --------------------------------------------------------------------------

    def exhaust(self) -> None:
        """Spend all tokens while all processes are in touch, which exposes latent faults.

        Raises
        ------
        OverspentError
            If a check fails.
        """
        for request_id, running in list(self.running_requests.items()):
            self._finish_request(request_id, running.bound_tokens)
        alive = {name: process.membership.local_member for name, process in self.processes.items()}
        for _ in range(_EXHAUST_ROUNDS):
            for name, process in self.processes.items():
                self._catch_up(name, process, alive)
                self._spend_all(name, process)
                self.check()

    def _catch_up(self, name: str, process: Process, alive: dict[str, Member]) -> None:
        data_centre = self.data_centres[name]
        process.membership.alive_peers = {
            n: member
            for n, member in alive.items()
            if self.data_centres[n] == data_centre and n != name
        }
        process.log_unreachable_s = 0.0
        while process.read_offset < len(self.log):
            process.read_offset += 1
            process.node.on_record(process.read_offset, self.log[process.read_offset - 1])
        self.tick(name)
        while process.writer.queue:
            self.append(name)

    def _spend_all(self, name: str, process: Process) -> None:
        leading = process.node.state.leading()
        if leading is None:
            return
        state, account = leading
        process.node.state.needed_tokens[BUDGET] = 1
        process.node.agent.add_demand(BUDGET, 1)
        grant = state.grants.get(BUDGET, Grant())
        for lane in Lane:
            while account.free_tokens(BUDGET, grant, lane) > 0:
                self._requests += 1
                bound = min(account.free_tokens(BUDGET, grant, lane), _MAX_BOUND_TOKENS)
                reservation = account.reserve(
                    f"request-{self._requests}", BUDGET, bound, grant=grant, lane=lane
                )
                if reservation is not None and lane is Lane.OWN:
                    self._dispatch(state, reservation)
        for _ in range(3):
            self.mirror(name)

    # -- helpers -----------------------------------------------------------------------------

    def _start(self, name: str, incarnation: int) -> Process:
        local_member = Member(name, f"{name}:{incarnation}", f"{name}:0")
        membership = FakeMembership(local_member, self.data_centres[name])
        clock = FakeClock()
        writer: FakeWriter[LedgerRecord] = FakeWriter(local_member.incarnation)
        process: Process

        def log_unreachable_s() -> float:
            return process.log_unreachable_s

        context = ShardContext(
            membership=membership,
            calls=NoPeers(),
            clock=clock,
            timing=TimingSection.model_validate({}),
            config=lambda: self.config,
            log_unreachable_s=log_unreachable_s,
            data_centre_count=lambda: len(DATA_CENTRES),
        )
        node = ShardNode(SHARD, writer, context, _ignore_bill)  # type: ignore[arg-type]
        node.state.fold = self._make_fold()
        process = Process(node, writer, membership, clock)
        return process

    def _make_fold(self) -> LedgerFold:
        return FAULTY_FOLDS.get(self.fault, LedgerFold)(SHARD)

    def _reserve_leading(
        self,
        process: Process,
        state: EpochState,
        account: HolderAccount,
        request_id: str,
        bound: int,
    ) -> None:
        grant = state.grants.get(BUDGET, Grant())
        lane = account.main_lane
        if account.has_witness and self.rng.random() < 0.15:
            lane = Lane.OWN
        reservation = account.reserve(request_id, BUDGET, bound, grant=grant, lane=lane)
        if reservation is None:
            process.node.state.needed_tokens[BUDGET] = bound
            return
        process.node.state.needed_tokens[BUDGET] = 0
        if lane is Lane.OWN or self.fault is InjectedFault.SPENDS_UNACKNOWLEDGED:
            self.counts.allowance += account.has_witness
            self._dispatch(state, reservation)

    def _dispatch(self, state: EpochState, reservation: Reservation) -> None:
        self.counts.dispatched += 1
        ticket = Ticket(SHARD, state.epoch, reservation.number, "", "")
        self.running_requests[reservation.request_id] = RunningRequest(
            ticket, reservation.bound_tokens
        )
        spent = self.spent_tokens.get(state.epoch, 0)
        self.spent_tokens[state.epoch] = spent + reservation.bound_tokens

    def _finish_request(self, request_id: str, used_tokens: int) -> None:
        running = self.running_requests.pop(request_id)
        self.used_tokens += used_tokens
        self.spent_tokens[running.ticket.epoch] += used_tokens - running.bound_tokens

    def _witness_of(self, state: EpochState) -> Process | None:
        """Return the process at the address of an epoch's witness, if it is the witness."""
        assert state.witness is not None
        process = self.processes[state.witness.name]
        return process if state.epoch in process.node.state.witnesses else None

    def _pick_false_witness(self, state: EpochState) -> Process | None:
        """Return a process that wrongly acts as witness (`InjectedFault.HOLDER_PICKS_WITNESS`)."""
        if self.fault is not InjectedFault.HOLDER_PICKS_WITNESS or self.rng.random() < 0.7:
            return None
        assert state.witness is not None
        for name, process in self.processes.items():
            is_local = self.data_centres[name] == state.data_centre
            if is_local and name not in (state.holder.name, state.witness.name):
                witnesses = process.node.state.witnesses
                if state.epoch in process.node.state.fold.epochs:
                    witnesses.setdefault(state.epoch, UncheckedWitness(state.epoch))
                    return process
        return None

    def _settle_twice(self, process: Process, running: RunningRequest, used: int) -> None:
        account = process.node.state.holders.get(running.ticket.epoch)
        if account is not None:
            lane = account.main_lane
            account._sums[lane].add(BUDGET, used - running.bound_tokens)


_EXHAUST_ROUNDS = 8

#: Weights of the steps, in the order of `History._actions`.
_WEIGHTS = (35, 35, 15, 3, 60, 30, 3, 25, 1, 0.5, 1)


def _ignore_bill(_line: BillLine) -> None:
    """Ignore a bill."""
