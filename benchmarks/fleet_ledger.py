"""Implementations of `world.Ledger`: mothstand's ledger and an even split as the baseline."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mothstand.core.accounts import Lane
from mothstand.core.config import Budget, FleetConfig, Upstream, UpstreamKind
from mothstand.core.ledger_state import Grant
from mothstand.core.membership import shard_of
from mothstand.ledger.calls import ReserveCall, Ticket
from mothstand.ledger.remote_reserve import remote_epochs_with_tokens
from mothstand.ledger.shard import ShardNode
from mothstand.ledger.state import ShardContext
from mothstand.settings.instance import TimingSection
from mothstand.testing.fakes import FakeClock, FakeMembership, FakeWriter, NoPeers
from mothstand.types import BudgetName, DataCentre, Member, Shard

from .world import DATA_CENTRES, STEP_S, Ledger, Request, Result

if TYPE_CHECKING:
    from mothstand.core.escrow import EscrowPolicy
    from mothstand.core.records import LedgerRecord

SUSPECT_AFTER_S = 1.0
REPLACED_AFTER_S = 30.0
SHARDS = 2


@dataclass(slots=True)
class _Process:
    """A simulated instance: its shard nodes and its membership view."""

    member: Member
    data_centre: DataCentre
    membership: FakeMembership
    clock: FakeClock
    nodes: dict[Shard, ShardNode] = field(default_factory=dict)
    writers: dict[Shard, FakeWriter[LedgerRecord]] = field(default_factory=dict)
    read_offsets: dict[Shard, int] = field(default_factory=dict)
    dead_at_s: float | None = None
    log_unreachable_s: float = 0.0


class _NoWitnessMembership(FakeMembership):
    """Membership view in which a leaseholder finds no other instance for a witness."""

    def local_alive(self, now_s: float) -> dict[str, Member]:
        """Return only the instance that is first by name."""
        alive = super().local_alive(now_s)
        first = min(alive)
        return (
            {self.local_member.name: self.local_member}
            if first == self.local_member.name
            else {first: alive[first]}
        )


class FleetLedger(Ledger):
    """Mothstand's ledger with simulated instances, peers and logs.

    Parameters
    ----------
    witnessed
        Whether epochs have witnesses; without a witness, a kill writes off the grant.
    """

    def __init__(
        self,
        policy: EscrowPolicy,
        paid: dict[BudgetName, int],
        result: Result,
        *,
        witnessed: bool = True,
    ) -> None:
        budgets = {name: Budget(name, "w", tokens) for name, tokens in paid.items()}
        upstreams = {
            str(data_centre): Upstream(data_centre, UpstreamKind.ENGINE, "", data_centre, ("m",), 1)
            for data_centre in DATA_CENTRES
        }
        self.config = FleetConfig(budgets=budgets, upstreams=upstreams, escrow=policy)
        self.result = result
        self._witnessed = witnessed
        self._now_s = 1000.0
        self._logs: dict[Shard, list[LedgerRecord]] = {Shard(i): [] for i in range(SHARDS)}
        self._cut_since_s: dict[DataCentre, float] = {}
        self._isolated: set[DataCentre] = set()
        self._paid_tokens: dict[Shard, dict[BudgetName, int]] = {
            Shard(i): {} for i in range(SHARDS)
        }
        for name, tokens in paid.items():
            self._paid_tokens[self._shard(name)][name] = tokens
        self._start_count = 0
        self.processes = {
            f"{data_centre}-{i}": self._start(f"{data_centre}-{i}", data_centre)
            for data_centre in DATA_CENTRES
            for i in (1, 2)
        }

    def step(self, now_s: float) -> None:
        """Read the log, act and append, for each live instance."""
        self._now_s = now_s
        self._replace_dead(now_s)
        self._update_memberships(now_s)
        for process in self._live_processes():
            process.clock.advance(STEP_S)
            cut_since_s = self._cut_since_s.get(process.data_centre)
            process.log_unreachable_s = 0.0 if cut_since_s is None else now_s - cut_since_s
            for shard, node in process.nodes.items():
                if cut_since_s is None:
                    self._read(process, shard)
                node.tick(self._paid_tokens[shard])
                node.state.needed_tokens.clear()
                self._mirror(node)
        for process in self._live_processes():
            if process.data_centre not in self._cut_since_s:
                self._append(process)

    def reserve(self, request: Request, now_s: float) -> bool:
        """Reserve at the local leaseholder or promoted witness, else at a remote leaseholder."""
        shard = self._shard(request.budget)
        for process in self._live_processes(request.data_centre):
            node = process.nodes[shard]
            if node.state.leading() is not None:
                if self._reserve_as_leader(node, request):
                    return True
                return self._reserve_remotely(node, request) or self._wait_for_grant(node, request)
            if node.state.promoted() is not None:
                if self._reserve_as_promoted(node, request):
                    return True
                return self._reserve_remotely(node, request)
        return False

    def settle(self, request: Request) -> None:
        """Settle at the first instance that accepts the ticket."""
        ticket = request.handle
        assert isinstance(ticket, Ticket)
        for process in self._live_processes(request.remote_holder or request.data_centre):
            reserver = process.nodes[ticket.shard].reserver
            if reserver.settle(ticket, request.used_tokens, ""):
                reserver.note_posted(ticket)
                return

    def kill(self, data_centre: DataCentre, role: str) -> None:
        """Kill the instance that leads the most shards, the other one, or both."""
        live = self._live_processes(data_centre)

        def led_shards(process: _Process) -> int:
            return sum(node.state.leading() is not None for node in process.nodes.values())

        live.sort(key=led_shards, reverse=True)
        victims = {"holder": live[:1], "witness": live[1:], "both": live}[role]
        for process in victims:
            process.dead_at_s = self._now_s

    def cut(self, data_centre: DataCentre, *, is_cut: bool, is_isolated: bool = False) -> None:
        """Cut a data centre off from the platform, or reconnect it."""
        if is_cut:
            self._cut_since_s[data_centre] = self._now_s
            if is_isolated:
                self._isolated.add(data_centre)
        else:
            del self._cut_since_s[data_centre]
            self._isolated.discard(data_centre)

    def top_up(self, tokens: dict[BudgetName, int]) -> None:
        """Add to the paid totals of the configuration."""
        for name, added_tokens in tokens.items():
            shard = self._shard(name)
            # A node detects changed totals by the identity of the mapping.
            self._paid_tokens[shard] = {
                **self._paid_tokens[shard],
                name: self._paid_tokens[shard][name] + added_tokens,
            }

    def stranded_tokens(self) -> int:
        """Return the tokens stranded in superseded epochs, by the log."""
        process = next(p for p in self._live_processes() if p.data_centre not in self._cut_since_s)
        return sum(
            process.nodes[self._shard(name)].state.fold.stranded_tokens(name)
            for name in self.config.budgets
        )

    def _shard(self, budget: BudgetName) -> Shard:
        return Shard(shard_of(budget, SHARDS))

    def _live_processes(self, data_centre: DataCentre | None = None) -> list[_Process]:
        return [
            p
            for p in self.processes.values()
            if p.dead_at_s is None and (data_centre is None or p.data_centre == data_centre)
        ]

    def _start(self, name: str, data_centre: DataCentre) -> _Process:
        self._start_count += 1
        member = Member(name, f"{name}:{self._start_count}", name)
        clock = FakeClock()
        clock.advance(self._now_s - clock.monotonic_s())
        membership = (FakeMembership if self._witnessed else _NoWitnessMembership)(
            member, data_centre
        )
        process = _Process(member, data_centre, membership, clock)
        context = ShardContext(
            membership=process.membership,
            calls=NoPeers(),
            clock=clock,
            timing=TimingSection.model_validate({}),
            config=lambda: self.config,
            log_unreachable_s=lambda: process.log_unreachable_s,
            data_centre_count=lambda: len(DATA_CENTRES),
        )
        for number in range(SHARDS):
            shard = Shard(number)
            writer: FakeWriter[LedgerRecord] = FakeWriter(member.incarnation)
            process.writers[shard] = writer
            process.read_offsets[shard] = 0
            process.nodes[shard] = ShardNode(shard, writer, context, lambda _line: None)  # type: ignore[arg-type]
        return process

    def _replace_dead(self, now_s: float) -> None:
        for name, process in list(self.processes.items()):
            if process.dead_at_s is not None and now_s - process.dead_at_s > REPLACED_AFTER_S:
                self.processes[name] = self._start(name, process.data_centre)

    def _update_memberships(self, now_s: float) -> None:
        for process in self._live_processes():
            alive = {
                p.member.name: p.member
                for p in self.processes.values()
                if p.data_centre == process.data_centre
                and p is not process
                and (p.dead_at_s is None or now_s - p.dead_at_s < SUSPECT_AFTER_S)
            }
            process.membership.alive_peers = alive
            process.membership.alive_remote_members = {
                p.member.name: p.member
                for p in self._live_processes()
                if p.data_centre != process.data_centre
            }

    def _read(self, process: _Process, shard: Shard) -> None:
        log = self._logs[shard]
        while process.read_offsets[shard] < len(log):
            process.read_offsets[shard] += 1
            process.nodes[shard].on_record(
                process.read_offsets[shard], log[process.read_offsets[shard] - 1]
            )

    def _append(self, process: _Process) -> None:
        for shard, writer in process.writers.items():
            if writer.queue:
                self._logs[shard].extend(writer.queue)
                writer.queue.clear()
                self.result.ledger_appends += 1

    def _mirror(self, node: ShardNode) -> None:
        leading = node.state.leading()
        if leading is None or leading[0].witness is None:
            return
        state, account = leading
        assert state.witness is not None
        witness = self.processes[state.witness.name]
        while (batch := account.next_batch()) is not None:
            answer = None
            if (
                witness.dead_at_s is None
                and state.epoch in witness.nodes[node.state.shard].state.witnesses
            ):
                answer = witness.nodes[node.state.shard].reserver.mirror(batch)
            node.reserver.is_witness_reachable = answer is not None
            if answer is None:
                return
            node.reserver.apply_mirror_answer(account, batch, answer)

    def _reserve_as_leader(self, node: ShardNode, request: Request) -> bool:
        leading = node.state.leading()
        assert leading is not None
        state, account = leading
        node.agent.note_bound(request.budget, request.bound_tokens)
        grant = state.grants.get(request.budget, Grant())
        reservation = None
        for lane in node.reserver.lanes(account, request.budget):
            reservation = account.reserve(
                "", request.budget, request.bound_tokens, grant=grant, lane=lane
            )
            if reservation is not None and lane is Lane.WITNESSED:
                self._mirror(node)
                if (
                    reservation.number not in account.open_reservations
                    or not node.reserver.is_witness_reachable
                ):
                    account.settle(reservation.number, 0)
                    reservation = None
            if reservation is not None:
                break
        if reservation is None:
            return False
        node.agent.ask(request.budget)
        request.handle = Ticket(node.state.shard, state.epoch, reservation.number, "", "")
        return True

    def _reserve_remotely(self, node: ShardNode, request: Request) -> bool:
        """Reserve at a remote leaseholder if the log has fewer tokens than needed."""
        call = _make_call(node, request)
        if request.data_centre in self._isolated or not node.reserver.log_lacks_tokens(call):
            return False
        epochs = remote_epochs_with_tokens(node.state, request.budget, request.bound_tokens)
        for epoch in epochs:
            holder = self.processes[epoch.holder.name]
            remote_node = holder.nodes[node.state.shard]
            if holder.data_centre in self._isolated or remote_node.state.leading() is None:
                continue
            if self._reserve_as_leader(remote_node, request):
                request.remote_holder = holder.data_centre
                self.result.reserved_remotely += 1
                return True
            if not remote_node.reserver.log_lacks_tokens(call):
                # The remote holder asks for a grant; the request is retried in the next step.
                self._ask_for_grant(remote_node, request)
                request.waits_for_remote_grant = True
                return False
        return False

    def _wait_for_grant(self, node: ShardNode, request: Request) -> bool:
        """Ask for a grant, or end the wait if the ledger rules one out; return False."""
        if request.waits_for_remote_grant:
            request.waits_for_remote_grant = False
            return False
        if (
            node.reserver.shortage_refusal(_make_call(node, request), is_wait_over=False)
            is not None
        ):
            request.deadline_s = 0.0
            return False
        self._ask_for_grant(node, request)
        return False

    def _ask_for_grant(self, node: ShardNode, request: Request) -> None:
        needed = node.state.needed_tokens
        needed[request.budget] = needed.get(request.budget, 0) + request.bound_tokens
        node.agent.ask(request.budget)

    def _reserve_as_promoted(self, node: ShardNode, request: Request) -> bool:
        promoted = node.state.promoted()
        assert promoted is not None
        state, account = promoted
        grant = state.grants.get(request.budget, Grant())
        reservation = account.reserve_own("", request.budget, request.bound_tokens, grant=grant)
        if reservation is None:
            return False
        request.handle = Ticket(node.state.shard, state.epoch, reservation.number, "", "")
        return True


def _make_call(node: ShardNode, request: Request) -> ReserveCall:
    shard = node.state.shard
    return ReserveCall(shard, "", request.budget, request.bound_tokens, "", is_keyed=False)


class EvenSplitLedger(Ledger):
    """Baseline that gives each data centre a fixed, equal share of each budget.

    One instance holds the share in memory; the share is written off when that instance dies.
    """

    def __init__(self, paid: dict[BudgetName, int]) -> None:
        self._share_tokens = {
            (data_centre, name): tokens // len(DATA_CENTRES)
            for data_centre in DATA_CENTRES
            for name, tokens in paid.items()
        }
        self._stranded_tokens = 0

    def step(self, now_s: float) -> None:
        """Do nothing, since shares are fixed."""

    def reserve(self, request: Request, now_s: float) -> bool:
        """Reserve from the data centre's share."""
        key = (request.data_centre, request.budget)
        if self._share_tokens[key] < request.bound_tokens:
            return False
        self._share_tokens[key] -= request.bound_tokens
        request.handle = key
        return True

    def settle(self, request: Request) -> None:
        """Return the unused tokens to the share."""
        key = (request.data_centre, request.budget)
        if self._share_tokens[key] >= 0 and request.handle == key:
            self._share_tokens[key] += request.bound_tokens - request.used_tokens

    def kill(self, data_centre: DataCentre, role: str) -> None:
        """Write off the data centre's shares when their holder dies."""
        if role == "witness":
            return
        for key, tokens in self._share_tokens.items():
            if key[0] == data_centre:
                self._stranded_tokens += tokens
                self._share_tokens[key] = -1

    def cut(self, data_centre: DataCentre, *, is_cut: bool, is_isolated: bool = False) -> None:
        """Do nothing, since shares don't depend on the platform."""

    def top_up(self, tokens: dict[BudgetName, int]) -> None:
        """Add an equal share in each data centre whose share is not written off."""
        for (data_centre, name), share_tokens in self._share_tokens.items():
            if share_tokens >= 0:
                self._share_tokens[data_centre, name] = share_tokens + tokens[name] // len(
                    DATA_CENTRES
                )

    def stranded_tokens(self) -> int:
        """Return the tokens that were written off."""
        return self._stranded_tokens
