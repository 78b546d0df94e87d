"""The two accounts of an epoch."""

from __future__ import annotations

from ..core.accounts import HolderAccount, Lane, MirrorBatch, Reservation, WitnessAccount
from ..core.ledger_state import Grant
from ..types import BudgetName, Epoch

LUND = BudgetName("lund")
EPOCH = Epoch(2)
GRANT = Grant(granted_tokens=100, allowance_tokens=10, promotion_tokens=30)


def reserve(holder: HolderAccount, tokens: int, lane: Lane = Lane.WITNESSED) -> Reservation | None:
    """Reserve for a request of its own."""
    return holder.reserve(f"r{tokens}", LUND, tokens, grant=GRANT, lane=lane)


def send_next_batch(holder: HolderAccount, witness: WitnessAccount) -> MirrorBatch:
    """Send the holder's next batch and take the answer."""
    batch = holder.next_batch()
    assert batch is not None
    answer = witness.apply_batch(batch, {LUND: GRANT})
    assert answer is not None
    holder.apply_answer(batch.number, answer)
    return batch


class TestHolder:
    def test_each_lane_has_its_own_limit(self) -> None:
        holder = HolderAccount(EPOCH, has_witness=True)
        assert reserve(holder, 91) is None
        assert reserve(holder, 90) is not None
        assert reserve(holder, 11, Lane.OWN) is None
        assert reserve(holder, 10, Lane.OWN) is not None

    def test_without_witness_whole_grant_is_in_own_lane(self) -> None:
        holder = HolderAccount(EPOCH, has_witness=False)
        assert reserve(holder, 1, Lane.WITNESSED) is None
        assert reserve(holder, 100, Lane.OWN) is not None

    def test_settling_twice_frees_tokens_once(self) -> None:
        holder = HolderAccount(EPOCH, has_witness=False)
        reservation = reserve(holder, 100, Lane.OWN)
        assert reservation is not None
        assert holder.settle(reservation.number, 40) is not None
        assert holder.settle(reservation.number, 40) is None
        assert holder.free_tokens(LUND, GRANT, Lane.OWN) == 60

    def test_usage_above_the_bound_is_not_counted(self) -> None:
        holder = HolderAccount(EPOCH, has_witness=False)
        reservation = reserve(holder, 50, Lane.OWN)
        assert reservation is not None
        holder.settle(reservation.number, 70)
        assert holder.spent_tokens(LUND, Lane.OWN) == 50

    def test_unanswered_batch_is_sent_again_unchanged(self) -> None:
        """Symptom: holder and witness disagree about what is reserved.

        Sequence: the answer to a batch is lost, more is reserved, the holder sends again.
        Cause it guards against: putting new reservations into a batch that may have arrived.
        """
        holder = HolderAccount(EPOCH, has_witness=True)
        reserve(holder, 10)
        first = holder.next_batch()
        reserve(holder, 20)
        assert holder.next_batch() is first

    def test_reservation_settled_before_sending_is_not_sent(self) -> None:
        holder = HolderAccount(EPOCH, has_witness=True)
        reservation = reserve(holder, 10)
        assert reservation is not None
        holder.settle(reservation.number, 0)
        assert holder.next_batch() is None


class TestWitness:
    def test_reservation_within_grant_is_acknowledged(self) -> None:
        holder, witness = HolderAccount(EPOCH, has_witness=True), WitnessAccount(EPOCH)
        reserve(holder, 60)
        send_next_batch(holder, witness)
        assert witness.spent_tokens(LUND, Lane.WITNESSED) == 60

    def test_witness_with_older_grant_rejects_excess(self) -> None:
        """Symptom: the witness certifies what the log has not told it of.

        Sequence: the holder has read a new grant, the witness has not.
        Cause it guards against: taking the holder's word for the grant.
        """
        holder, witness = HolderAccount(EPOCH, has_witness=True), WitnessAccount(EPOCH)
        reservation = reserve(holder, 60)
        batch = holder.next_batch()
        assert reservation is not None
        assert batch is not None
        answer = witness.apply_batch(batch, {LUND: Grant(granted_tokens=50)})
        assert answer is not None
        assert answer.rejected == {reservation.number}
        assert holder.apply_answer(batch.number, answer) == ()
        assert holder.spent_tokens(LUND, Lane.WITNESSED) == 0

    def test_repeated_batch_counts_once(self) -> None:
        """Symptom: room for a request is taken, or made, twice.

        Sequence: a batch arrives, its answer is lost, it arrives again; then an old one does.
        Cause it guards against: applying a batch each time it comes.
        """
        holder, witness = HolderAccount(EPOCH, has_witness=True), WitnessAccount(EPOCH)
        reserve(holder, 30)
        batch = send_next_batch(holder, witness)
        again = witness.apply_batch(batch, {LUND: GRANT})
        assert again is not None
        assert not again.rejected
        reserve(holder, 20)
        send_next_batch(holder, witness)
        assert witness.apply_batch(batch, {LUND: GRANT}) is None
        assert witness.spent_tokens(LUND, Lane.WITNESSED) == 50

    def test_settlement_frees_tokens_for_reservation_of_same_batch(self) -> None:
        holder, witness = HolderAccount(EPOCH, has_witness=True), WitnessAccount(EPOCH)
        first = reserve(holder, 90)
        send_next_batch(holder, witness)
        assert first is not None
        holder.settle(first.number, 15)
        assert reserve(holder, 75) is not None
        send_next_batch(holder, witness)
        assert witness.spent_tokens(LUND, Lane.WITNESSED) == 90

    def test_sealed_witness_acknowledges_nothing(self) -> None:
        """Symptom: a leaseholder that slept past its takeover spends what was given back.

        Sequence: the witness seals, the holder wakes and reserves.
        Cause it guards against: acknowledging after the rest was reported as free.
        """
        holder, witness = HolderAccount(EPOCH, has_witness=True), WitnessAccount(EPOCH)
        reserve(holder, 30)
        witness.seal()
        send_next_batch(holder, witness)
        assert holder.has_lost_epoch
        assert reserve(holder, 1, Lane.OWN) is None

    def test_promoted_witness_spends_at_most_its_share(self) -> None:
        witness = WitnessAccount(EPOCH)
        assert witness.reserve_own("r", LUND, 1, grant=GRANT) is None
        witness.promote()
        assert witness.reserve_own("r", LUND, 31, grant=GRANT) is None
        assert witness.reserve_own("r", LUND, 30, grant=GRANT) is not None

    def test_promoted_witness_spends_at_most_what_is_unspent(self) -> None:
        holder, witness = HolderAccount(EPOCH, has_witness=True), WitnessAccount(EPOCH)
        reserve(holder, 80)
        send_next_batch(holder, witness)
        witness.promote()
        assert witness.free_own_tokens(LUND, GRANT) == 10

    def test_settled_request_is_retained_until_its_bill_is_posted(self) -> None:
        holder, witness = HolderAccount(EPOCH, has_witness=True), WitnessAccount(EPOCH)
        reservation = reserve(holder, 30)
        assert reservation is not None
        send_next_batch(holder, witness)
        holder.settle(reservation.number, 12)
        send_next_batch(holder, witness)
        assert witness.unposted_requests[reservation.number].used_tokens == 12
        holder.note_posted(reservation.number)
        send_next_batch(holder, witness)
        assert witness.unposted_requests == {}
