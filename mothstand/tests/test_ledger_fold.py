"""The fold of a ledger shard."""

from __future__ import annotations

import pytest

from ..core.ledger_fold import LedgerFold
from ..core.records import (
    BudgetPaid,
    BudgetSpend,
    EpochClosed,
    EpochOpened,
    EpochReleased,
    EscrowReturned,
    GrantAsk,
    GrantAsked,
    LedgerRecord,
    Outcome,
    RecordId,
    Side,
    SpentTokens,
)
from ..types import BudgetName, DataCentre, Epoch, Member, Shard

LUND = BudgetName("lund")
STO_A, STO_B = DataCentre("sto-a"), DataCentre("sto-b")
HOLDER = Member("sto-a-1", "sto-a-1:x", "127.0.0.1:1")
WITNESS = Member("sto-a-2", "sto-a-2:x", "127.0.0.1:2")


class StreamWriter:
    """Numbers records and applies them."""

    def __init__(self) -> None:
        self.fold = LedgerFold(Shard(0))
        self.offset = 0
        self._sequences: dict[str, int] = {}

    def next_id(self, author: str) -> RecordId:
        """Return the author's next record id."""
        self._sequences[author] = self._sequences.get(author, 0) + 1
        return RecordId(author, self._sequences[author])

    def apply(self, record: LedgerRecord) -> Outcome:
        """Append and apply a record."""
        self.offset += 1
        return self.fold.apply(self.offset, record)

    def pay(self, tokens: int) -> Outcome:
        """Pay up to a total."""
        return self.apply(BudgetPaid(self.next_id("operator"), LUND, tokens))

    def open(
        self,
        *,
        prior: int = 0,
        data_centre: DataCentre = STO_A,
        holder: Member = HOLDER,
        witness: Member | None = WITNESS,
    ) -> Outcome:
        """Open an epoch."""
        record_id = self.next_id(holder.incarnation)
        return self.apply(
            EpochOpened(record_id, Shard(0), data_centre, holder, witness, Epoch(prior))
        )

    def ask(
        self, epoch: int, tokens: int, *, allowance: int = 0, promotion: int = 0, spent: int = 0
    ) -> Outcome:
        """Ask for escrow."""
        ask = GrantAsk(LUND, tokens, spent, allowance, promotion)
        return self.apply(GrantAsked(self.next_id(HOLDER.incarnation), Epoch(epoch), (ask,)))

    def close(
        self, epoch: int, side: Side, witnessed: int, own: int, author: Member | None = None
    ) -> Outcome:
        """Close one side of an epoch."""
        member = author or (HOLDER if side is Side.HOLDER else WITNESS)
        record_id = self.next_id(member.incarnation)
        spends = (BudgetSpend(LUND, witnessed, own),)
        return self.apply(EpochClosed(record_id, Epoch(epoch), side, spends))


@pytest.fixture
def stream() -> StreamWriter:
    """Return a stream with 1,000 tokens paid and epoch 2 open, 400 granted in it."""
    stream = StreamWriter()
    stream.pay(1000)
    stream.open()
    stream.ask(2, 400, allowance=20, promotion=100)
    return stream


class TestPaying:
    def test_lower_paid_total_is_refused(self, stream: StreamWriter) -> None:
        """Symptom: a replayed or overtaken top-up counts twice, or takes tokens away.

        Sequence: 1,500 and then an older 1,200 arrive.
        Cause it guards against: adding amounts in place of keeping the highest total.
        """
        assert stream.pay(1500).accepted
        assert not stream.pay(1200).accepted
        assert stream.fold.paid_tokens[LUND] == 1500

    def test_record_appended_twice_counts_once(self, stream: StreamWriter) -> None:
        """Symptom: a grant counts twice.

        Sequence: the answer to an append is lost, the writer appends the record again.
        Cause it guards against: taking offsets for identity.
        """
        ask = GrantAsk(LUND, 100, 0, 0, 0)
        record = GrantAsked(stream.next_id(HOLDER.incarnation), Epoch(2), (ask,))
        assert stream.apply(record).accepted
        assert not stream.apply(record).accepted
        assert stream.fold.ungranted_tokens(LUND) == 500


class TestGranting:
    def test_grant_is_limited_to_ungranted_tokens(self, stream: StreamWriter) -> None:
        assert stream.ask(2, 5000).accepted
        assert stream.fold.ungranted_tokens(LUND) == 0
        assert stream.fold.epochs[Epoch(2)].grants[LUND].granted_tokens == 1000

    def test_unfulfilled_ask_is_retained_until_next_ask(self, stream: StreamWriter) -> None:
        stream.ask(2, 700)
        assert stream.fold.unfulfilled_tokens[LUND] == {STO_A: 100}
        stream.pay(2000)
        stream.ask(2, 100)
        assert LUND not in stream.fold.unfulfilled_tokens

    def test_ask_of_superseded_epoch_is_refused(self, stream: StreamWriter) -> None:
        """Symptom: a leaseholder that lost its epoch gets new escrow.

        Sequence: it asked before, its ask lands after its successor's epoch.
        Cause it guards against: deciding by who asks in place of by the current epoch.
        """
        stream.open(prior=2, holder=WITNESS, witness=None)
        assert not stream.ask(2, 100).accepted


class TestTakeover:
    def test_second_successor_of_an_epoch_is_refused(self, stream: StreamWriter) -> None:
        """Symptom: two instances lead one shard in one data centre.

        Sequence: both take the leaseholder for dead and open the next epoch.
        Cause it guards against: accepting an epoch whose prior one is no longer current.
        """
        assert stream.open(prior=2, holder=WITNESS, witness=None).accepted
        assert not stream.open(prior=2, holder=HOLDER, witness=None).accepted

    def test_epoch_of_other_data_centre_stays_current(self, stream: StreamWriter) -> None:
        assert stream.open(data_centre=STO_B, holder=WITNESS, witness=None).accepted
        assert stream.fold.current_epochs[STO_A] == 2


class TestClosing:
    def test_open_epoch_consumes_its_whole_grant(self, stream: StreamWriter) -> None:
        assert stream.fold.ungranted_tokens(LUND) == 600

    def test_allowance_is_consumed_until_holder_closes(self, stream: StreamWriter) -> None:
        """Symptom: overspend by a leaseholder that was cut off from its witness only.

        Sequence: the witness seals and closes, the holder goes on with its allowance.
        Cause it guards against: giving back what the silent side may be spending.
        """
        stream.close(2, Side.WITNESS, 150, 0)
        assert stream.fold.ungranted_tokens(LUND) == 1000 - 150 - 20

    def test_promotion_share_is_consumed_until_witness_closes(self, stream: StreamWriter) -> None:
        """Symptom: overspend by a witness that promoted itself while cut off from the log.

        Sequence: the holder opens an epoch with a new witness and closes the old one; the old
        witness, unaware, spends its share.
        Cause it guards against: letting a holder replace its witness and keep the whole grant.
        """
        stream.close(2, Side.HOLDER, 150, 5)
        assert stream.fold.ungranted_tokens(LUND) == 1000 - 150 - 5 - 100

    def test_epoch_closed_by_both_sides_consumes_only_spend(self, stream: StreamWriter) -> None:
        stream.close(2, Side.HOLDER, 150, 5)
        stream.close(2, Side.WITNESS, 140, 30)
        assert stream.fold.ungranted_tokens(LUND) == 1000 - 140 - 5 - 30

    def test_closed_side_can_only_lower_its_spend(self, stream: StreamWriter) -> None:
        stream.close(2, Side.HOLDER, 150, 5)
        stream.close(2, Side.WITNESS, 150, 0)
        stream.close(2, Side.HOLDER, 120, 5)
        stream.close(2, Side.HOLDER, 170, 5)
        assert stream.fold.ungranted_tokens(LUND) == 1000 - 120 - 5

    def test_close_by_restarted_witness_is_refused(self, stream: StreamWriter) -> None:
        """Symptom: overspend after a witness was replaced at its address.

        Sequence: the new process, which knows nothing, closes the epoch with nothing spent.
        Cause it guards against: taking an address for an identity.
        """
        restarted = Member(WITNESS.name, "sto-a-2:y", WITNESS.address)
        assert not stream.close(2, Side.WITNESS, 0, 0, author=restarted).accepted
        assert stream.fold.ungranted_tokens(LUND) == 600

    def test_epoch_without_witness_is_settled_by_its_holder(self) -> None:
        stream = StreamWriter()
        stream.pay(1000)
        stream.open(witness=None)
        stream.ask(2, 400)
        stream.close(2, Side.HOLDER, 0, 90)
        assert stream.fold.ungranted_tokens(LUND) == 910
        assert stream.fold.stranded_tokens(LUND) == 0


class TestReturning:
    def _return(self, stream: StreamWriter, tokens: int) -> Outcome:
        record_id = stream.next_id(HOLDER.incarnation)
        return stream.apply(EscrowReturned(record_id, Epoch(2), LUND, tokens))

    def test_returned_tokens_are_ungranted(self, stream: StreamWriter) -> None:
        assert self._return(stream, 300).accepted
        assert stream.fold.ungranted_tokens(LUND) == 900

    def test_return_above_held_tokens_is_refused(self, stream: StreamWriter) -> None:
        assert not self._return(stream, 401).accepted

    def test_return_after_close_is_refused(self, stream: StreamWriter) -> None:
        """Symptom: tokens given back count twice.

        Sequence: the holder reserves a return, its witness closes the epoch with that return
        counted as spent, the return lands.
        Cause it guards against: applying a return to an epoch whose spend is reported.
        """
        stream.close(2, Side.WITNESS, 300, 0)
        free = stream.fold.ungranted_tokens(LUND)
        assert not self._return(stream, 100).accepted
        assert stream.fold.ungranted_tokens(LUND) == free


class TestSnapshots:
    def test_loaded_snapshot_decides_like_original(self, stream: StreamWriter) -> None:
        """Symptom: two instances disagree on what is free, one of them having started later.

        Sequence: a snapshot is taken in mid-stream, one reader goes on, another loads it.
        Cause it guards against: state that a snapshot leaves out.
        """
        stream.close(2, Side.WITNESS, 150, 0)
        stream.open(prior=2, holder=WITNESS, witness=None)
        loaded = LedgerFold.load(Shard(0), stream.fold.snapshot(RecordId("x", 1)))
        record_id = stream.next_id(HOLDER.incarnation)
        spends = (BudgetSpend(LUND, 120, 5),)
        closed = EpochClosed(record_id, Epoch(2), Side.HOLDER, spends)
        for fold in (stream.fold, loaded):
            assert fold.apply(9, closed).accepted
            assert not fold.apply(10, closed).accepted
            assert fold.ungranted_tokens(LUND) == 1000 - 120 - 5
            assert fold.current_epochs == stream.fold.current_epochs

    def test_old_epochs_are_retained_as_a_sum(self) -> None:
        stream = StreamWriter()
        stream.pay(1000)
        prior = 0
        for _ in range(10):
            stream.open(prior=prior, witness=None)
            prior = stream.offset
            stream.ask(prior, 50)
            stream.close(prior, Side.HOLDER, 0, 30)
        assert len(stream.fold.epochs) <= 5
        assert stream.fold.ungranted_tokens(LUND) == 700
        assert stream.fold.reported_tokens(LUND) == 300
        loaded = LedgerFold.load(Shard(0), stream.fold.snapshot(RecordId("x", 1)))
        assert loaded.ungranted_tokens(LUND) == 700


class TestRelease:
    def release(self, stream: StreamWriter, epoch: int, spent: int) -> Outcome:
        """Release an epoch as an operator."""
        declared = (SpentTokens(LUND, spent),)
        record_id = stream.next_id("ito:1")
        return stream.apply(EpochReleased(record_id, Epoch(epoch), declared, "ito", "2026"))

    def test_release_replaces_spend_of_unclosed_side(self, stream: StreamWriter) -> None:
        stream.open(prior=2, holder=WITNESS, witness=None)
        stream.close(2, Side.WITNESS, 150, 0)
        assert stream.fold.ungranted_tokens(LUND) == 1000 - 150 - 20
        assert self.release(stream, 2, 160).accepted
        assert stream.fold.ungranted_tokens(LUND) == 1000 - 160
        assert stream.fold.stranded_tokens(LUND) == 0
        assert not self.release(stream, 2, 150).accepted

    def test_release_without_closed_sides(self, stream: StreamWriter) -> None:
        stream.apply(EscrowReturned(stream.next_id(HOLDER.incarnation), Epoch(2), LUND, 50))
        stream.open(prior=2, holder=WITNESS, witness=None)
        assert stream.fold.ungranted_tokens(LUND) == 1000 - 350
        assert self.release(stream, 2, 200).accepted
        assert stream.fold.ungranted_tokens(LUND) == 1000 - 200

    def test_release_of_current_epoch_is_refused(self, stream: StreamWriter) -> None:
        """Symptom: tokens are spent twice, once by a leaseholder that is alive.

        Sequence: an operator releases the wrong epoch.
        Cause it guards against: taking an operator's word for what the log knows better.
        """
        assert not self.release(stream, 2, 0).accepted
        assert stream.fold.ungranted_tokens(LUND) == 600

    @pytest.mark.parametrize("spent", [149, 401])
    def test_release_below_known_or_above_granted_spend_is_refused(
        self, stream: StreamWriter, spent: int
    ) -> None:
        stream.open(prior=2, holder=WITNESS, witness=None)
        stream.close(2, Side.WITNESS, 150, 0)
        assert not self.release(stream, 2, spent).accepted

    def test_close_after_release_is_refused(self, stream: StreamWriter) -> None:
        """Symptom: a budget is overspent by what a process spent without its witness.

        Sequence: an epoch is released, its leaseholder was only paused, wakes and closes its side.
        Cause it guards against: lowering the declared sum by one part of it.
        """
        stream.open(prior=2, holder=WITNESS, witness=None)
        stream.close(2, Side.WITNESS, 150, 0)
        assert self.release(stream, 2, 170).accepted
        assert not stream.close(2, Side.HOLDER, 100, 20).accepted
        assert stream.fold.ungranted_tokens(LUND) == 1000 - 170

    def test_snapshot_retains_release(self, stream: StreamWriter) -> None:
        stream.open(prior=2, holder=WITNESS, witness=None)
        assert self.release(stream, 2, 200).accepted
        snapshot = stream.fold.snapshot(stream.next_id("s"))
        loaded = LedgerFold.load(Shard(0), snapshot)
        assert loaded.epochs[Epoch(2)].released
        assert loaded.ungranted_tokens(LUND) == stream.fold.ungranted_tokens(LUND)
