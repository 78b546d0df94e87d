"""Reservations at another data centre's leaseholder, with two leaseholders and fakes round them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from ..core.accounts import HolderAccount
from ..core.config import FleetConfig
from ..core.records import BudgetPaid, EpochOpened, GrantAsk, GrantAsked, LedgerRecord, RecordId
from ..errors import ErrorKind, Refusal
from ..ledger.calls import KnownKey, ReserveCall, ReserveReply, Ticket
from ..ledger.escrow_agent import EscrowAgent
from ..ledger.reserver import Reserver
from ..ledger.state import ShardContext, ShardState
from ..peers.failures import PeerError
from ..settings.instance import TimingSection
from ..testing.fakes import FakeClock, FakeMembership, FakeWriter, NoPeers
from ..types import NO_EPOCH, BudgetName, DataCentre, Epoch, Member, Shard

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

LUND = BudgetName("lund")
SHARD = Shard(0)
A, B = Member("a", "a:x", "a:0"), Member("b", "b:x", "b:0")
EPOCHS = {A.name: Epoch(2), B.name: Epoch(3)}
CALL = ReserveCall(SHARD, "r1", LUND, 500, "entry:x", is_keyed=False)


class DirectPeers(NoPeers):
    """Peers in the same process."""

    def __init__(self) -> None:
        self.reservers: dict[str, Reserver] = {}
        self.calls: list[ReserveCall] = []

    async def reserve(self, address: str, call: ReserveCall, *, timeout_s: float) -> ReserveReply:
        """Ask the peer."""
        self.calls.append(call)
        if address not in self.reservers:
            raise PeerError("gone")
        return await self.reservers[address].reserve(call)


class TwoDataCentres:
    """Leaseholders `a` with 100 and `b` with 900 tokens of a budget of 1,000; nothing ungranted."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.peers = DirectPeers()
        self.log_unreachable_s = {A.name: 0.0, B.name: 0.0}
        self.writers: dict[str, FakeWriter[LedgerRecord]] = {}
        self.states: dict[str, ShardState] = {}
        for local_member, remote_member in ((A, B), (B, A)):
            self._start(local_member, remote_member)

    def _start(self, local_member: Member, remote_member: Member) -> None:
        membership = FakeMembership(local_member, DataCentre(f"sto-{local_member.name}"))
        membership.alive_remote_members = {remote_member.name: remote_member}
        context = ShardContext(
            membership=membership,
            calls=self.peers,
            clock=self.clock,
            timing=TimingSection.model_validate({}),
            config=FleetConfig,
            log_unreachable_s=lambda: self.log_unreachable_s[local_member.name],
            data_centre_count=lambda: 2,
        )
        state = self.states[local_member.name] = ShardState(SHARD, context)
        for offset, record in enumerate(records(), start=1):
            state.fold.apply(offset, record)
        epoch = EPOCHS[local_member.name]
        state.holders[epoch] = HolderAccount(epoch, has_witness=False)
        reserver = self.peers.reservers[local_member.address] = Reserver(state)
        writer = self.writers[local_member.name] = FakeWriter(local_member.incarnation)
        reserver.attach(EscrowAgent(state, writer, reserver.request_mirror))  # type: ignore[arg-type]

    async def run_appends(self) -> None:
        """Let `b` append what it has queued, again and again."""
        offset = len(records()) + 1
        while True:
            await anyio.lowlevel.checkpoint()
            queue = self.writers[B.name].queue
            while queue:
                offset += 1
                self.states[B.name].fold.apply(offset, queue.pop(0))
                self.states[B.name].announce()

    @property
    def local_reserver(self) -> Reserver:
        """The reserver of `a`."""
        return self.peers.reservers[A.address]

    def local_membership(self) -> FakeMembership:
        """Return whom `a` believes to be alive."""
        membership = self.states[A.name].context.membership
        assert isinstance(membership, FakeMembership)
        return membership

    def spent_tokens(self, name: str) -> int:
        """Return what a leaseholder's account has spent or reserved."""
        account = self.states[name].holders[EPOCHS[name]]
        return sum(spend.own_tokens for spend in account.budget_spends())


def records() -> list[LedgerRecord]:
    """Return the log of the shard."""
    return [
        BudgetPaid(RecordId("o", 1), LUND, 1000),
        EpochOpened(RecordId("seed:a", 1), SHARD, DataCentre("sto-a"), A, None, NO_EPOCH),
        EpochOpened(RecordId("seed:b", 1), SHARD, DataCentre("sto-b"), B, None, NO_EPOCH),
        GrantAsked(RecordId("seed:a", 2), EPOCHS["a"], (GrantAsk(LUND, 100, 0, 0, 0),)),
        GrantAsked(RecordId("seed:b", 2), EPOCHS["b"], (GrantAsk(LUND, 900, 0, 0, 0),)),
    ]


def run(test: Callable[[TwoDataCentres], Awaitable[None]]) -> None:
    """Run a test on a loop of its own, with time moving on."""

    async def main() -> None:
        places = TwoDataCentres()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pass_time, places.clock)
            await test(places)
            tasks.cancel_scope.cancel()

    anyio.run(main)


async def pass_time(clock: FakeClock) -> None:
    """Let a little fake time pass with each turn of the loop."""
    while True:
        await anyio.lowlevel.checkpoint()
        clock.advance(0.01)


class TestRemoteReserve:
    def test_remote_leaseholder_reserves_when_local_escrow_is_short(self) -> None:
        """Symptom: a request that is paid for is refused, since its tokens are held elsewhere.

        Sequence: a budget nears its end; one data centre holds nearly all of the rest.
        Cause: tokens had to move through the log before they could be spent here.
        """

        async def test(places: TwoDataCentres) -> None:
            ticket = await places.local_reserver.reserve(CALL)
            assert isinstance(ticket, Ticket)
            assert ticket.holder == B.address
            assert ticket.key_holder == ""
            assert places.spent_tokens(B.name) == 500
            assert places.spent_tokens(A.name) == 0

        run(test)

    def test_remote_leaseholder_reserves_during_platform_outage(self) -> None:
        async def test(places: TwoDataCentres) -> None:
            places.log_unreachable_s = {A.name: 60.0, B.name: 60.0}
            assert isinstance(await places.local_reserver.reserve(CALL), Ticket)
            second = await places.local_reserver.reserve(replace(CALL, request_id="r2"))
            assert isinstance(second, Refusal)
            assert second.kind is ErrorKind.BUDGET_OUT_OF_REACH

        run(test)

    def test_remote_leaseholder_gets_escrow_when_local_one_cannot_reach_log(self) -> None:
        """Symptom: a data centre that is cut off from the platform alone runs out of escrow.

        Sequence: a cut from the platform that is longer than the ride-through, or a leaseholder
        that dies in it; the log has tokens, other data centres can reach it.
        Cause: only what others held already could be reserved there.
        """

        async def test(places: TwoDataCentres) -> None:
            places.log_unreachable_s[A.name] = 60.0
            paid = BudgetPaid(RecordId("o", 2), LUND, 2000)
            places.states[B.name].fold.apply(len(records()) + 1, paid)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(places.run_appends)
                ticket = await places.local_reserver.reserve(replace(CALL, bound_tokens=990))
                tasks.cancel_scope.cancel()
            assert isinstance(ticket, Ticket)
            assert places.spent_tokens(B.name) == 990

        run(test)

    def test_key_of_remote_reservation_is_known_locally(self) -> None:
        """Symptom: a retry runs again, or is told for ever that its request still runs.

        Sequence: a keyed request is reserved elsewhere, retried while it runs, and ends.
        Cause it guards against: a key that only the other data centre knows, or that nobody ends.
        """

        async def test(places: TwoDataCentres) -> None:
            call = replace(CALL, is_keyed=True)
            ticket = await places.local_reserver.reserve(call)
            assert isinstance(ticket, Ticket)
            assert ticket.key_holder == A.address
            places.local_membership().alive_peers["entry"] = Member("entry", "entry:x", "e:0")
            assert await places.local_reserver.reserve(call) == KnownKey(
                "entry:x", is_finished=False
            )
            assert places.peers.reservers[B.address].settle(ticket, 50, "r1")
            assert places.spent_tokens(B.name) == 50
            assert places.local_reserver.settle(ticket, 50, "r1")
            assert await places.local_reserver.reserve(call) == KnownKey(
                "entry:x", is_finished=True
            )

        run(test)

    def test_unresponsive_data_centre_is_not_asked(self) -> None:
        """Symptom: refusals come seconds late in a partition.

        Sequence: the data centres are cut off from each other, a budget is short here.
        Cause it guards against: waiting out a timeout to ask one who is not there.
        """

        async def test(places: TwoDataCentres) -> None:
            places.local_membership().alive_remote_members = {}
            refused = await places.local_reserver.reserve(CALL)
            assert isinstance(refused, Refusal)
            assert places.peers.calls == []

        run(test)

    def test_exhausted_budget_is_refused_without_remote_call(self) -> None:
        async def test(places: TwoDataCentres) -> None:
            refused = await places.local_reserver.reserve(replace(CALL, bound_tokens=1001))
            assert isinstance(refused, Refusal)
            assert refused.kind is ErrorKind.BUDGET_EXHAUSTED
            assert places.peers.calls == []

        run(test)

    def test_remote_call_is_not_passed_on(self) -> None:
        """Symptom: one request goes round all data centres again and again.

        Sequence: two data centres are both short and ask each other.
        Cause it guards against: an ask from elsewhere treated as a request of its own.
        """

        async def test(places: TwoDataCentres) -> None:
            call = replace(CALL, bound_tokens=950, is_from_remote=True)
            refused = await places.peers.reservers[B.address].reserve(call)
            assert isinstance(refused, Refusal)
            assert places.peers.calls == []

        run(test)

    def test_request_is_refused_when_remote_call_fails(self) -> None:
        async def test(places: TwoDataCentres) -> None:
            del places.peers.reservers[B.address]
            refused = await places.peers.reservers[A.address].reserve(CALL)
            assert isinstance(refused, Refusal)
            assert len(places.peers.calls) == 1

        run(test)
