"""Tests reservations at another data centre's leaseholder, with two leaseholders and fakes."""

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
        """Reserve at the peer, if it has not been removed."""
        self.calls.append(call)
        if address not in self.reservers:
            raise PeerError("gone")
        return await self.reservers[address].reserve(call)


class TwoDataCentres:
    """Leaseholders `a` with 100 and `b` with 900 tokens of a budget of 1,000, all of it granted."""

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
        """Append what `b` has queued to its log, until cancelled."""
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
        """Return the membership view of `a`."""
        membership = self.states[A.name].context.membership
        assert isinstance(membership, FakeMembership)
        return membership

    def spent_tokens(self, name: str) -> int:
        """Return the tokens spent or reserved in a leaseholder's account."""
        account = self.states[name].holders[EPOCHS[name]]
        return sum(spend.own_tokens for spend in account.budget_spends())


def records() -> list[LedgerRecord]:
    """Return the records of the shard's log."""
    return [
        BudgetPaid(RecordId("o", 1), LUND, 1000),
        EpochOpened(RecordId("seed:a", 1), SHARD, DataCentre("sto-a"), A, None, NO_EPOCH),
        EpochOpened(RecordId("seed:b", 1), SHARD, DataCentre("sto-b"), B, None, NO_EPOCH),
        GrantAsked(RecordId("seed:a", 2), EPOCHS["a"], (GrantAsk(LUND, 100, 0, 0, 0),)),
        GrantAsked(RecordId("seed:b", 2), EPOCHS["b"], (GrantAsk(LUND, 900, 0, 0, 0),)),
    ]


def run(test: Callable[[TwoDataCentres], Awaitable[None]]) -> None:
    """Run a test on its own event loop, with advancing fake time."""

    async def main() -> None:
        data_centres = TwoDataCentres()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pass_time, data_centres.clock)
            await test(data_centres)
            tasks.cancel_scope.cancel()

    anyio.run(main)


async def pass_time(clock: FakeClock) -> None:
    """Advance the fake clock with each turn of the loop."""
    while True:
        await anyio.lowlevel.checkpoint()
        clock.advance(0.01)


class TestRemoteReserve:
    def test_remote_leaseholder_reserves_when_local_escrow_is_short(self) -> None:
        """A paid request was refused if another data centre held nearly all of the budget's rest.

        Tokens had to move through the log before they could be spent locally.
        """

        async def test(data_centres: TwoDataCentres) -> None:
            ticket = await data_centres.local_reserver.reserve(CALL)
            assert isinstance(ticket, Ticket)
            assert ticket.holder == B.address
            assert ticket.key_holder == ""
            assert data_centres.spent_tokens(B.name) == 500
            assert data_centres.spent_tokens(A.name) == 0

        run(test)

    def test_remote_leaseholder_reserves_during_platform_outage(self) -> None:
        async def test(data_centres: TwoDataCentres) -> None:
            data_centres.log_unreachable_s = {A.name: 60.0, B.name: 60.0}
            assert isinstance(await data_centres.local_reserver.reserve(CALL), Ticket)
            second = await data_centres.local_reserver.reserve(replace(CALL, request_id="r2"))
            assert isinstance(second, Refusal)
            assert second.kind is ErrorKind.BUDGET_OUT_OF_REACH

        run(test)

    def test_remote_leaseholder_gets_escrow_when_local_one_cannot_reach_log(self) -> None:
        """A data centre that alone was cut off from the platform ran out of escrow.

        The cut outlasts the ride-through, or a leaseholder dies in it. The log has tokens and other
        data centres reach it, but only escrow that they already held could be reserved there.
        """

        async def test(data_centres: TwoDataCentres) -> None:
            data_centres.log_unreachable_s[A.name] = 60.0
            paid = BudgetPaid(RecordId("o", 2), LUND, 2000)
            data_centres.states[B.name].fold.apply(len(records()) + 1, paid)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(data_centres.run_appends)
                ticket = await data_centres.local_reserver.reserve(replace(CALL, bound_tokens=990))
                tasks.cancel_scope.cancel()
            assert isinstance(ticket, Ticket)
            assert data_centres.spent_tokens(B.name) == 990

        run(test)

    def test_key_of_remote_reservation_is_known_locally(self) -> None:
        """Guards against a retry that runs again, or is always refused as still running.

        A keyed request is reserved remotely, retried while it runs, and ends. The local leaseholder
        must know the key and its end.
        """

        async def test(data_centres: TwoDataCentres) -> None:
            call = replace(CALL, is_keyed=True)
            ticket = await data_centres.local_reserver.reserve(call)
            assert isinstance(ticket, Ticket)
            assert ticket.key_holder == A.address
            data_centres.local_membership().alive_peers["entry"] = Member("entry", "entry:x", "e:0")
            assert await data_centres.local_reserver.reserve(call) == KnownKey(
                "entry:x", is_finished=False
            )
            assert data_centres.peers.reservers[B.address].settle(ticket, 50, "r1")
            assert data_centres.spent_tokens(B.name) == 50
            assert data_centres.local_reserver.settle(ticket, 50, "r1")
            assert await data_centres.local_reserver.reserve(call) == KnownKey(
                "entry:x", is_finished=True
            )

        run(test)

    def test_unresponsive_data_centre_is_not_asked(self) -> None:
        """Guards against refusals that come seconds late in a partition.

        The data centres cannot reach each other and the local escrow is short. No request may wait
        for the timeout of a call to an unreachable leaseholder.
        """

        async def test(data_centres: TwoDataCentres) -> None:
            data_centres.local_membership().alive_remote_members = {}
            refused = await data_centres.local_reserver.reserve(CALL)
            assert isinstance(refused, Refusal)
            assert data_centres.peers.calls == []

        run(test)

    def test_exhausted_budget_is_refused_without_remote_call(self) -> None:
        async def test(data_centres: TwoDataCentres) -> None:
            refused = await data_centres.local_reserver.reserve(replace(CALL, bound_tokens=1001))
            assert isinstance(refused, Refusal)
            assert refused.kind is ErrorKind.BUDGET_EXHAUSTED
            assert data_centres.peers.calls == []

        run(test)

    def test_remote_call_is_not_passed_on(self) -> None:
        """Guards against a request that circulates between data centres.

        Two data centres are both short and call each other. A remote call must not be passed on.
        """

        async def test(data_centres: TwoDataCentres) -> None:
            call = replace(CALL, bound_tokens=950, is_from_remote=True)
            refused = await data_centres.peers.reservers[B.address].reserve(call)
            assert isinstance(refused, Refusal)
            assert data_centres.peers.calls == []

        run(test)

    def test_request_is_refused_when_remote_call_fails(self) -> None:
        async def test(data_centres: TwoDataCentres) -> None:
            del data_centres.peers.reservers[B.address]
            refused = await data_centres.peers.reservers[A.address].reserve(CALL)
            assert isinstance(refused, Refusal)
            assert len(data_centres.peers.calls) == 1

        run(test)
