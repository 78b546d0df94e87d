"""Implementations of `world.Ledger`: mothstand's ledger and an even split as the baseline."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mothstand.core.accounts import Lane
from mothstand.core.config import Budget, FleetConfig, Upstream, UpstreamKind
from mothstand.core.ledger_state import Grant
from mothstand.core.membership import shard_of
from mothstand.ledger.calls import ReserveCall, Ticket
from mothstand.ledger.remote_reserve import epochs_with_room
from mothstand.ledger.shard import ShardNode
from mothstand.ledger.state import ShardContext
from mothstand.settings.instance import TimingSection
from mothstand.testing.fakes import FakeClock, FakeMembership, FakeWriter, NoPeers
from mothstand.types import BudgetName, DataCentre, Member, Shard

from .world import PLACES, STEP_S, Ledger, Request, Result

if TYPE_CHECKING:
    from mothstand.core.escrow import EscrowPolicy
    from mothstand.core.records import LedgerRecord

SUSPECT_AFTER_S = 1.0
REPLACED_AFTER_S = 30.0
SHARDS = 2


@dataclass(slots=True)
class _Process:
    """A simulated instance: its shard nodes and its membership view."""

    me: Member
    place: DataCentre
    beliefs: FakeMembership
    clock: FakeClock
    nodes: dict[Shard, ShardNode] = field(default_factory=dict)
    writers: dict[Shard, FakeWriter[LedgerRecord]] = field(default_factory=dict)
    read: dict[Shard, int] = field(default_factory=dict)
    dead_at_s: float | None = None
    log_silent_s: float = 0.0


class _LoneBeliefs(FakeMembership):
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
            str(place): Upstream(place, UpstreamKind.ENGINE, "", place, ("m",), 1)
            for place in PLACES
        }
        self.config = FleetConfig(budgets=budgets, upstreams=upstreams, escrow=policy)
        self.result = result
        self._witnessed = witnessed
        self._now_s = 1000.0
        self._logs: dict[Shard, list[LedgerRecord]] = {Shard(i): [] for i in range(SHARDS)}
        self._cut: dict[DataCentre, float] = {}
        self._alone: set[DataCentre] = set()
        self._paid: dict[Shard, dict[BudgetName, int]] = {Shard(i): {} for i in range(SHARDS)}
        for name, tokens in paid.items():
            self._paid[self._shard(name)][name] = tokens
        self._started = 0
        self.processes = {
            f"{place}-{i}": self._start(f"{place}-{i}", place) for place in PLACES for i in (1, 2)
        }

    def step(self, now_s: float) -> None:
        """Read the log, act and append, for each live instance."""
        self._now_s = now_s
        self._replace_dead(now_s)
        self._believe(now_s)
        for process in self._live():
            process.clock.advance(STEP_S)
            since = self._cut.get(process.place)
            process.log_silent_s = 0.0 if since is None else now_s - since
            for shard, node in process.nodes.items():
                if since is None:
                    self._read(process, shard)
                node.tick(self._paid[shard])
                node.state.needed_tokens.clear()
                self._mirror(node)
        for process in self._live():
            if process.place not in self._cut:
                self._append(process)

    def reserve(self, request: Request, now_s: float) -> bool:
        """Reserve at the local leaseholder or promoted witness, else at a remote leaseholder."""
        shard = self._shard(request.budget)
        for process in self._live(request.place):
            node = process.nodes[shard]
            if node.state.leading() is not None:
                if self._reserve_leading(node, request):
                    return True
                return self._reserve_elsewhere(node, request) or self._wait(node, request)
            if node.state.promoted() is not None:
                if self._reserve_promoted(node, request):
                    return True
                return self._reserve_elsewhere(node, request)
        return False

    def settle(self, request: Request) -> None:
        """Settle at the first instance that accepts the ticket."""
        ticket = request.handle
        assert isinstance(ticket, Ticket)
        for process in self._live(request.held_at or request.place):
            reserver = process.nodes[ticket.shard].reserver
            if reserver.settle(ticket, request.used_tokens, ""):
                reserver.posted(ticket)
                return

    def kill(self, place: DataCentre, who: str) -> None:
        """Kill the instance that leads the most shards, the other one, or both."""
        live = self._live(place)

        def led(process: _Process) -> int:
            return sum(node.state.leading() is not None for node in process.nodes.values())

        live.sort(key=led, reverse=True)
        victims = {"holder": live[:1], "witness": live[1:], "both": live}[who]
        for process in victims:
            process.dead_at_s = self._now_s

    def cut(self, place: DataCentre, *, off: bool, alone: bool = False) -> None:
        """Cut a data centre off from the platform, or reconnect it."""
        if off:
            self._cut[place] = self._now_s
            if alone:
                self._alone.add(place)
        else:
            del self._cut[place]
            self._alone.discard(place)

    def top_up(self, tokens: dict[BudgetName, int]) -> None:
        """Add to the paid totals of the configuration."""
        for name, more in tokens.items():
            shard = self._shard(name)
            # A node detects changed totals by the identity of the mapping.
            self._paid[shard] = {**self._paid[shard], name: self._paid[shard][name] + more}

    def stranded_tokens(self) -> int:
        """Return the tokens stranded in superseded epochs, by the log."""
        process = next(p for p in self._live() if p.place not in self._cut)
        return sum(
            process.nodes[self._shard(name)].state.fold.stranded_tokens(name)
            for name in self.config.budgets
        )

    def _shard(self, budget: BudgetName) -> Shard:
        return Shard(shard_of(budget, SHARDS))

    def _live(self, place: DataCentre | None = None) -> list[_Process]:
        return [
            p
            for p in self.processes.values()
            if p.dead_at_s is None and (place is None or p.place == place)
        ]

    def _start(self, name: str, place: DataCentre) -> _Process:
        self._started += 1
        me = Member(name, f"{name}:{self._started}", name)
        clock = FakeClock()
        clock.advance(self._now_s - clock.monotonic_s())
        beliefs = (FakeMembership if self._witnessed else _LoneBeliefs)(me, place)
        process = _Process(me, place, beliefs, clock)
        context = ShardContext(
            membership=process.beliefs,
            calls=NoPeers(),
            clock=clock,
            timing=TimingSection.model_validate({}),
            config=lambda: self.config,
            log_silent_s=lambda: process.log_silent_s,
            data_centres=lambda: len(PLACES),
        )
        for number in range(SHARDS):
            shard = Shard(number)
            writer: FakeWriter[LedgerRecord] = FakeWriter(me.incarnation)
            process.writers[shard] = writer
            process.read[shard] = 0
            process.nodes[shard] = ShardNode(shard, writer, context, lambda _line: None)  # type: ignore[arg-type]
        return process

    def _replace_dead(self, now_s: float) -> None:
        for name, process in list(self.processes.items()):
            if process.dead_at_s is not None and now_s - process.dead_at_s > REPLACED_AFTER_S:
                self.processes[name] = self._start(name, process.place)

    def _believe(self, now_s: float) -> None:
        for process in self._live():
            believed = {
                p.me.name: p.me
                for p in self.processes.values()
                if p.place == process.place
                and p is not process
                and (p.dead_at_s is None or now_s - p.dead_at_s < SUSPECT_AFTER_S)
            }
            process.beliefs.believed_alive = believed
            process.beliefs.believed_elsewhere = {
                p.me.name: p.me for p in self._live() if p.place != process.place
            }

    def _read(self, process: _Process, shard: Shard) -> None:
        log = self._logs[shard]
        while process.read[shard] < len(log):
            process.read[shard] += 1
            process.nodes[shard].on_record(process.read[shard], log[process.read[shard] - 1])

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
            node.reserver.witness_reachable = answer is not None
            if answer is None:
                return
            node.reserver.take_answer(account, batch, answer)

    def _reserve_leading(self, node: ShardNode, request: Request) -> bool:
        leading = node.state.leading()
        assert leading is not None
        state, account = leading
        node.agent.note_bound(request.budget, request.bound_tokens)
        grant = state.grants.get(request.budget, Grant())
        taken = None
        for lane in node.reserver.lanes(account, request.budget):
            taken = account.reserve(
                "", request.budget, request.bound_tokens, grant=grant, lane=lane
            )
            if taken is not None and lane is Lane.WITNESSED:
                self._mirror(node)
                if (
                    taken.number not in account.open_reservations
                    or not node.reserver.witness_reachable
                ):
                    account.settle(taken.number, 0)
                    taken = None
            if taken is not None:
                break
        if taken is None:
            return False
        node.agent.ask(request.budget)
        request.handle = Ticket(node.state.shard, state.epoch, taken.number, "", "")
        return True

    def _reserve_elsewhere(self, node: ShardNode, request: Request) -> bool:
        """Reserve at a remote leaseholder if the log has fewer tokens than needed."""
        call = _call(node, request)
        if request.place in self._alone or not node.reserver.log_has_less(call):
            return False
        found = epochs_with_room(node.state, request.budget, request.bound_tokens)
        for epoch in found:
            holder = self.processes[epoch.holder.name]
            asked = holder.nodes[node.state.shard]
            if holder.place in self._alone or asked.state.leading() is None:
                continue
            if self._reserve_leading(asked, request):
                request.held_at = holder.place
                self.result.reserved_elsewhere += 1
                return True
            if not asked.reserver.log_has_less(call):
                # The remote holder asks for a grant; the request is retried in the next step.
                self._ask(asked, request)
                request.waits_elsewhere = True
                return False
        return False

    def _wait(self, node: ShardNode, request: Request) -> bool:
        """Ask for a grant, or end the wait if the ledger rules one out; return False."""
        if request.waits_elsewhere:
            request.waits_elsewhere = False
            return False
        if node.reserver.shortage(_call(node, request), waited=False) is not None:
            request.deadline_s = 0.0
            return False
        self._ask(node, request)
        return False

    def _ask(self, node: ShardNode, request: Request) -> None:
        needed = node.state.needed_tokens
        needed[request.budget] = needed.get(request.budget, 0) + request.bound_tokens
        node.agent.ask(request.budget)

    def _reserve_promoted(self, node: ShardNode, request: Request) -> bool:
        promoted = node.state.promoted()
        assert promoted is not None
        state, account = promoted
        grant = state.grants.get(request.budget, Grant())
        taken = account.reserve_own("", request.budget, request.bound_tokens, grant=grant)
        if taken is None:
            return False
        request.handle = Ticket(node.state.shard, state.epoch, taken.number, "", "")
        return True


def _call(node: ShardNode, request: Request) -> ReserveCall:
    shard = node.state.shard
    return ReserveCall(shard, "", request.budget, request.bound_tokens, "", keyed=False)


class EvenSplitLedger(Ledger):
    """Baseline that gives each data centre a fixed, equal share of each budget.

    One instance holds the share in memory; the share is written off when that instance dies.
    """

    def __init__(self, paid: dict[BudgetName, int]) -> None:
        self._left = {
            (place, name): tokens // len(PLACES)
            for place in PLACES
            for name, tokens in paid.items()
        }
        self._stranded = 0

    def step(self, now_s: float) -> None:
        """Do nothing, since shares are fixed."""

    def reserve(self, request: Request, now_s: float) -> bool:
        """Reserve from the data centre's share."""
        key = (request.place, request.budget)
        if self._left[key] < request.bound_tokens:
            return False
        self._left[key] -= request.bound_tokens
        request.handle = key
        return True

    def settle(self, request: Request) -> None:
        """Return the unused tokens to the share."""
        key = (request.place, request.budget)
        if self._left[key] >= 0 and request.handle == key:
            self._left[key] += request.bound_tokens - request.used_tokens

    def kill(self, place: DataCentre, who: str) -> None:
        """Write off the data centre's shares when their holder dies."""
        if who == "witness":
            return
        for key, left in self._left.items():
            if key[0] == place:
                self._stranded += left
                self._left[key] = -1

    def cut(self, place: DataCentre, *, off: bool, alone: bool = False) -> None:
        """Do nothing, since shares don't depend on the platform."""

    def top_up(self, tokens: dict[BudgetName, int]) -> None:
        """Add an equal share in each data centre whose share is not written off."""
        for (place, name), left in self._left.items():
            if left >= 0:
                self._left[place, name] = left + tokens[name] // len(PLACES)

    def stranded_tokens(self) -> int:
        """Return the tokens that were written off."""
        return self._stranded
