"""Tests of the fold of a ledger shard."""

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
    """Writer that numbers records and applies them to a fold."""

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
        """Raise the paid tokens to a total."""
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
        """Guards against a repeated or late top-up that counts twice or removes tokens.

        A total of 1,500 arrives and then an older one of 1,200; the highest total counts, and
        amounts are not added up.
        """
        assert stream.pay(1500).accepted
        assert not stream.pay(1200).accepted
        assert stream.fold.paid_tokens[LUND] == 1500

    def test_record_appended_twice_counts_once(self, stream: StreamWriter) -> None:
        """Guards against a grant that counts twice.

        The answer to an append is lost and the writer appends the record again. A record is
        identified by its id, not by its offset.
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
        """Guards against new escrow for a leaseholder that lost its epoch.

        Its ask is appended after the epoch of its successor. The current epoch decides, not the
        author of the ask.
        """
        stream.open(prior=2, holder=WITNESS, witness=None)
        assert not stream.ask(2, 100).accepted


class TestTakeover:
    def test_second_successor_of_an_epoch_is_refused(self, stream: StreamWriter) -> None:
        """Guards against two leaders of one shard in one data centre.

        Two instances both consider the leaseholder dead and open the next epoch. The second one
        must be refused, as its prior epoch is no longer current.
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
        """Guards against overspend by a leaseholder that is cut off only from its witness.

        The witness seals and closes while the holder continues to spend its allowance. What a side
        that has not closed possibly spends must not be freed.
        """
        stream.close(2, Side.WITNESS, 150, 0)
        assert stream.fold.ungranted_tokens(LUND) == 1000 - 150 - 20

    def test_promotion_share_is_consumed_until_witness_closes(self, stream: StreamWriter) -> None:
        """Guards against overspend by a witness that was promoted while cut off from the log.

        The holder opens an epoch with a new witness and closes the old one, while the old witness
        spends its promotion share. A holder that replaces its witness must not free that share.
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
        """Guards against overspend after a witness restarted at its address.

        The new process has no account of the epoch and closes it with nothing spent. The same
        address does not mean the same process.
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
        """Guards against returned tokens that count twice.

        The holder reserves a return, its witness closes the epoch with that return counted as
        spent, and then the return is appended. It must not apply once spend is reported.
        """
        stream.close(2, Side.WITNESS, 300, 0)
        free = stream.fold.ungranted_tokens(LUND)
        assert not self._return(stream, 100).accepted
        assert stream.fold.ungranted_tokens(LUND) == free


class TestSnapshots:
    def test_loaded_snapshot_decides_like_original(self, stream: StreamWriter) -> None:
        """Guards against state that is missing in a snapshot.

        A snapshot is taken; one reader continues and another loads the snapshot. Both must agree on
        the free tokens.
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
        """Guards against tokens that are spent twice, once by a live leaseholder.

        An operator releases the wrong epoch. The log shows that it is current, which overrides the
        operator's statement.
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
        """Guards against overspend by what a process spent without its witness.

        An epoch is released while its leaseholder is only paused; the leaseholder resumes and
        closes its side. The declared sum must not be lowered by one side's part of it.
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
