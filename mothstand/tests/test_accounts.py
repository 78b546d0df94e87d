"""Tests of the holder's and the witness's account of an epoch."""

from __future__ import annotations

from ..core.accounts import HolderAccount, Lane, MirrorBatch, Reservation, WitnessAccount
from ..core.ledger_state import Grant
from ..types import BudgetName, Epoch

LUND = BudgetName("lund")
EPOCH = Epoch(2)
GRANT = Grant(granted_tokens=100, allowance_tokens=10, promotion_tokens=30)


def reserve(holder: HolderAccount, tokens: int, lane: Lane = Lane.WITNESSED) -> Reservation | None:
    """Reserve tokens for a new request."""
    return holder.reserve(f"r{tokens}", LUND, tokens, grant=GRANT, lane=lane)


def send(holder: HolderAccount, witness: WitnessAccount) -> MirrorBatch:
    """Pass the holder's next batch to the witness and apply its answer."""
    batch = holder.take_batch()
    assert batch is not None
    answer = witness.mirror(batch, {LUND: GRANT})
    assert answer is not None
    holder.batch_acked(batch.number, answer)
    return batch


class TestHolder:
    def test_lanes_have_their_own_limits(self) -> None:
        holder = HolderAccount(EPOCH, witnessed=True)
        assert reserve(holder, 91) is None
        assert reserve(holder, 90) is not None
        assert reserve(holder, 11, Lane.OWN) is None
        assert reserve(holder, 10, Lane.OWN) is not None

    def test_without_witness_all_is_its_own(self) -> None:
        holder = HolderAccount(EPOCH, witnessed=False)
        assert reserve(holder, 1, Lane.WITNESSED) is None
        assert reserve(holder, 100, Lane.OWN) is not None

    def test_settling_makes_room_once(self) -> None:
        holder = HolderAccount(EPOCH, witnessed=False)
        taken = reserve(holder, 100, Lane.OWN)
        assert taken is not None
        assert holder.settle(taken.number, 40) is not None
        assert holder.settle(taken.number, 40) is None
        assert holder.free_tokens(LUND, GRANT, Lane.OWN) == 60

    def test_usage_above_the_bound_is_not_counted(self) -> None:
        holder = HolderAccount(EPOCH, witnessed=False)
        taken = reserve(holder, 50, Lane.OWN)
        assert taken is not None
        holder.settle(taken.number, 70)
        assert holder.spent_tokens(LUND, Lane.OWN) == 50

    def test_same_batch_goes_out_until_it_is_answered(self) -> None:
        """Guards against holder and witness that disagree about what is reserved.

        The answer to a batch is lost, more is reserved, and the holder sends the batch again. New
        reservations must not be added to a batch that has possibly arrived.
        """
        holder = HolderAccount(EPOCH, witnessed=True)
        reserve(holder, 10)
        first = holder.take_batch()
        reserve(holder, 20)
        assert holder.take_batch() is first

    def test_given_up_before_it_was_sent_is_never_sent(self) -> None:
        holder = HolderAccount(EPOCH, witnessed=True)
        taken = reserve(holder, 10)
        assert taken is not None
        holder.settle(taken.number, 0)
        assert holder.take_batch() is None


class TestWitness:
    def test_acknowledges_what_fits(self) -> None:
        holder, witness = HolderAccount(EPOCH, witnessed=True), WitnessAccount(EPOCH)
        reserve(holder, 60)
        send(holder, witness)
        assert witness.spent_tokens(LUND, Lane.WITNESSED) == 60

    def test_older_grant_acknowledges_less(self) -> None:
        """Guards against a witness that certifies tokens of a grant that it has not read.

        The holder has read a new grant in the log and the witness has not; the witness must not
        rely on the holder's grant.
        """
        holder, witness = HolderAccount(EPOCH, witnessed=True), WitnessAccount(EPOCH)
        taken = reserve(holder, 60)
        batch = holder.take_batch()
        assert taken is not None
        assert batch is not None
        answer = witness.mirror(batch, {LUND: Grant(granted_tokens=50)})
        assert answer is not None
        assert answer.rejected == {taken.number}
        assert holder.batch_acked(batch.number, answer) == ()
        assert holder.spent_tokens(LUND, Lane.WITNESSED) == 0

    def test_batch_sent_again_counts_once(self) -> None:
        """Guards against tokens that are reserved or freed twice.

        A batch arrives and its answer is lost; the batch arrives again, and then an old one. Each
        batch must be applied only once.
        """
        holder, witness = HolderAccount(EPOCH, witnessed=True), WitnessAccount(EPOCH)
        reserve(holder, 30)
        batch = send(holder, witness)
        again = witness.mirror(batch, {LUND: GRANT})
        assert again is not None
        assert not again.rejected
        reserve(holder, 20)
        send(holder, witness)
        assert witness.mirror(batch, {LUND: GRANT}) is None
        assert witness.spent_tokens(LUND, Lane.WITNESSED) == 50

    def test_settlement_and_reservation_of_one_batch(self) -> None:
        holder, witness = HolderAccount(EPOCH, witnessed=True), WitnessAccount(EPOCH)
        first = reserve(holder, 90)
        send(holder, witness)
        assert first is not None
        holder.settle(first.number, 15)
        assert reserve(holder, 75) is not None
        send(holder, witness)
        assert witness.spent_tokens(LUND, Lane.WITNESSED) == 90

    def test_sealed_acknowledges_nothing(self) -> None:
        """Guards against a leaseholder that was paused during a takeover and spends freed tokens.

        The witness seals, then the holder resumes and reserves. After the unspent tokens were
        reported as free, no reservation must be acknowledged.
        """
        holder, witness = HolderAccount(EPOCH, witnessed=True), WitnessAccount(EPOCH)
        reserve(holder, 30)
        witness.seal()
        send(holder, witness)
        assert holder.lost
        assert reserve(holder, 1, Lane.OWN) is None

    def test_promotion_spends_its_share_at_most(self) -> None:
        witness = WitnessAccount(EPOCH)
        assert witness.reserve_own("r", LUND, 1, grant=GRANT) is None
        witness.promote()
        assert witness.reserve_own("r", LUND, 31, grant=GRANT) is None
        assert witness.reserve_own("r", LUND, 30, grant=GRANT) is not None

    def test_promotion_spends_only_what_was_left(self) -> None:
        holder, witness = HolderAccount(EPOCH, witnessed=True), WitnessAccount(EPOCH)
        reserve(holder, 80)
        send(holder, witness)
        witness.promote()
        assert witness.free_own_tokens(LUND, GRANT) == 10

    def test_bill_is_remembered_until_it_is_posted(self) -> None:
        holder, witness = HolderAccount(EPOCH, witnessed=True), WitnessAccount(EPOCH)
        taken = reserve(holder, 30)
        assert taken is not None
        send(holder, witness)
        holder.settle(taken.number, 12)
        send(holder, witness)
        assert witness.unposted[taken.number].used_tokens == 12
        holder.posted(taken.number)
        send(holder, witness)
        assert witness.unposted == {}
