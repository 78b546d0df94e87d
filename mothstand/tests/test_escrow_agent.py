"""Tests of asks for escrow and returns of it, with one leaseholder and fakes."""

from __future__ import annotations

from itertools import pairwise

import pytest

from ..core.accounts import HolderAccount, Lane
from ..core.config import FleetConfig
from ..core.records import (
    BudgetPaid,
    EpochOpened,
    EscrowReturned,
    GrantAsk,
    GrantAsked,
    LedgerRecord,
    RecordId,
)
from ..ledger.escrow_agent import EscrowAgent
from ..ledger.state import ShardContext, ShardState
from ..settings.instance import TimingSection
from ..testing.fakes import FakeClock, FakeMembership, FakeWriter, NoPeers
from ..types import NO_EPOCH, BudgetName, DataCentre, Epoch, Member, Shard

LUND = BudgetName("lund")
DATA_CENTRE = DataCentre("sto-a")
EPOCH = Epoch(2)
HOLDER, WITNESS = Member("a", "a:x", "a:0"), Member("b", "b:x", "b:0")


class Leader:
    """A leaseholder with 1,000 tokens of a budget of 1,000."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.writer: FakeWriter[LedgerRecord] = FakeWriter(HOLDER.incarnation)
        context = ShardContext(
            membership=FakeMembership(HOLDER, DATA_CENTRE),
            calls=NoPeers(),
            clock=self.clock,
            timing=TimingSection.model_validate({}),
            config=FleetConfig,
            log_unreachable_s=lambda: 0.0,
            data_centre_count=lambda: 2,
        )
        self.state = ShardState(Shard(0), context)
        opened = EpochOpened(RecordId("seed", 1), Shard(0), DATA_CENTRE, HOLDER, WITNESS, NO_EPOCH)
        ask = GrantAsk(LUND, 1000, 0, 100, 0)
        self.state.fold.apply(1, BudgetPaid(RecordId("o", 1), LUND, 1000))
        self.state.fold.apply(2, opened)
        self.state.fold.apply(3, GrantAsked(RecordId("seed", 2), EPOCH, (ask,)))
        self.account = self.state.holders[EPOCH] = HolderAccount(EPOCH, has_witness=True)
        self.agent = EscrowAgent(self.state, self.writer, lambda: None)  # type: ignore[arg-type]

    def returned_tokens(self) -> list[int]:
        """Return the tokens of each queued return."""
        return [r.tokens for r in self.writer.queue if isinstance(r, EscrowReturned)]


@pytest.fixture
def leader() -> Leader:
    """Return a leaseholder."""
    return Leader()


class TestReturning:
    def test_return_waits_for_witness_acknowledgement(self, leader: Leader) -> None:
        """Guards against tokens that are spent both here and where they were granted next.

        If the leaseholder dies before its witness knows of a return, the witness still counts the
        tokens as free.
        """
        leader.agent.return_tokens(LUND, 300, Lane.WITNESSED)
        assert leader.returned_tokens() == []
        leader.agent.on_reservation_decided(EPOCH, 1, is_acknowledged=True)
        assert leader.returned_tokens() == [300]

    def test_rejected_return_is_forgotten(self, leader: Leader) -> None:
        """Guards against a data centre that holds most of a budget while others wait for seconds.

        The witness has not read the grant yet and rejects the return, which must not stay pending.
        """
        leader.agent.return_tokens(LUND, 300, Lane.WITNESSED)
        assert leader.agent.pending_return_tokens(LUND) == 300
        leader.agent.on_reservation_decided(EPOCH, 1, is_acknowledged=False)
        assert leader.agent.pending_return_tokens(LUND) == 0
        assert leader.returned_tokens() == []

    def test_return_of_allowance_needs_no_acknowledgement(self, leader: Leader) -> None:
        leader.agent.return_tokens(LUND, 60, Lane.OWN)
        assert leader.returned_tokens() == [60]
        assert (
            leader.account.free_tokens(LUND, leader.state.fold.epochs[EPOCH].grants[LUND], Lane.OWN)
            == 40
        )

    def test_return_of_more_than_free_or_zero_tokens_does_nothing(self, leader: Leader) -> None:
        leader.agent.return_tokens(LUND, 901, Lane.WITNESSED)
        leader.agent.return_tokens(LUND, 0, Lane.WITNESSED)
        assert leader.account.next_batch() is None


class TestAsking:
    def test_unfulfilled_asks_back_off(self, leader: Leader) -> None:
        """Guards against two appends for nearly every request at a budget's end.

        Requests wait for tokens that another data centre may return. An ask that got nothing must
        not be repeated at once.
        """
        other = EpochOpened(
            RecordId("c:x", 1),
            Shard(0),
            DataCentre("sto-b"),
            Member("c", "c:x", ""),
            None,
            NO_EPOCH,
        )
        leader.state.fold.apply(4, other)
        leader.state.fold.epochs[Epoch(4)].grants[LUND] = leader.state.fold.epochs[EPOCH].grants[
            LUND
        ]
        leader.agent.note_bound(LUND, 700)
        leader.state.needed_tokens[LUND] = 2000
        asked_at_s: list[float] = []
        for _ in range(40):
            leader.agent.ask_for_waiting()
            if leader.writer.queue:
                asked_at_s.append(leader.clock.monotonic_s())
                record = leader.writer.queue.pop()
                assert isinstance(record, GrantAsked)
                leader.state.fold.apply(leader.state.fold.offset + 1, record)
                leader.agent.on_grant_decided(record)
            leader.clock.advance(0.5)
        gaps = [b - a for a, b in pairwise(asked_at_s)]
        assert gaps == [1.0, 2.0, 4.0, 8.0]
