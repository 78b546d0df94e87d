"""Who opens an epoch, and when."""

from __future__ import annotations

from ..core.leadership import plan_epoch
from ..core.ledger_fold import LedgerFold
from ..core.membership import Membership, PeerState, ProbeRates, rank_for_shard
from ..core.records import EpochClosed, EpochOpened, RecordId, Side
from ..types import NO_EPOCH, DataCentre, Epoch, Member, Shard

DATA_CENTRE = DataCentre("sto-a")
SHARD = Shard(0)
MEMBERS = {n: Member(n, f"{n}:x", f"{n}:0") for n in ("sto-a-1", "sto-a-2", "sto-a-3")}
ORDER = [MEMBERS[n] for n in rank_for_shard(MEMBERS, DATA_CENTRE, SHARD)]
NOW_S = 100.0


def membership_of(local_member: Member, *alive: Member) -> Membership:
    """Return the beliefs of one who sees just these alive."""
    membership = Membership(local_member, DATA_CENTRE, suspect_after_s=1.0)
    for member in alive:
        membership.peers[member.name] = PeerState(
            member.name, member.address, DATA_CENTRE, NOW_S, member
        )
    return membership


def fold_with(holder: Member, witness: Member | None) -> LedgerFold:
    """Return a fold with one open epoch."""
    fold = LedgerFold(SHARD)
    record_id = RecordId(holder.incarnation, 1)
    fold.apply(5, EpochOpened(record_id, SHARD, DATA_CENTRE, holder, witness, NO_EPOCH))
    return fold


class TestPlan:
    def test_first_in_order_opens_with_the_second_as_witness(self) -> None:
        plan = plan_epoch(LedgerFold(SHARD), membership_of(ORDER[0], *ORDER[1:]), NOW_S)
        assert plan is not None
        assert (plan.holder, plan.witness) == (ORDER[0], ORDER[1])
        assert plan_epoch(LedgerFold(SHARD), membership_of(ORDER[1], ORDER[0]), NOW_S) is None

    def test_live_holder_is_not_replaced_by_first_in_order(self) -> None:
        fold = fold_with(ORDER[1], ORDER[2])
        assert plan_epoch(fold, membership_of(ORDER[0], *ORDER[1:]), NOW_S) is None

    def test_witness_of_dead_holder_takes_over(self) -> None:
        """Symptom: after a takeover the old epoch's rest comes back late.

        Sequence: the leaseholder dies, a third instance comes first by rendezvous hash.
        Cause it guards against: passing by the witness, which alone can vouch for the epoch.
        """
        fold = fold_with(ORDER[0], ORDER[2])
        plan = plan_epoch(fold, membership_of(ORDER[2], ORDER[1]), NOW_S)
        assert plan is not None
        assert plan.holder == ORDER[2]
        assert plan_epoch(fold, membership_of(ORDER[1], ORDER[2]), NOW_S) is None

    def test_single_instance_opens_epoch_without_witness(self) -> None:
        plan = plan_epoch(fold_with(ORDER[0], ORDER[1]), membership_of(ORDER[1]), NOW_S)
        assert plan is not None
        assert plan.witness is None

    def test_holder_replaces_dead_witness_by_new_epoch(self) -> None:
        plan = plan_epoch(fold_with(ORDER[0], ORDER[1]), membership_of(ORDER[0], ORDER[2]), NOW_S)
        assert plan is not None
        assert (plan.prior_epoch, plan.witness) == (Epoch(5), ORDER[2])

    def test_restarted_holder_is_replaced(self) -> None:
        """Symptom: a shard has no leader after a quick restart.

        Sequence: the leaseholder restarts at its address and answers heartbeats.
        Cause it guards against: taking an address for an identity.
        """
        restarted = Member(ORDER[0].name, "reborn", ORDER[0].address)
        plan = plan_epoch(fold_with(ORDER[0], ORDER[1]), membership_of(ORDER[1], restarted), NOW_S)
        assert plan is not None

    def test_closed_epoch_is_followed_by_a_new_one(self) -> None:
        fold = fold_with(ORDER[0], None)
        fold.apply(6, EpochClosed(RecordId(ORDER[0].incarnation, 2), Epoch(5), Side.HOLDER, ()))
        assert plan_epoch(fold, membership_of(ORDER[0]), NOW_S) is not None

    def test_stopping_holder_is_followed_by_its_witness(self) -> None:
        membership = membership_of(ORDER[1], ORDER[0])
        membership.peers[ORDER[0].name].is_stopping = True
        plan = plan_epoch(fold_with(ORDER[0], ORDER[1]), membership, NOW_S)
        assert plan is not None
        assert plan.holder == ORDER[1]


class TestProbing:
    PACE = ProbeRates(partner_interval_s=0.25, other_probes_per_s=2.0)

    def test_probe_rate_does_not_grow_with_fleet(self) -> None:
        """Symptom: control costs more and more as instances are added.

        Sequence: 100 peers, 2 of them partners, 10 seconds.
        Cause it guards against: probing everybody as often as those who matter.
        """
        membership = Membership(ORDER[0], DATA_CENTRE, suspect_after_s=1.0)
        membership.apply_listing(
            [PeerState(f"p{n}", "a", DATA_CENTRE, 0.0) for n in range(100)], 0.0
        )
        membership.due_probes({"p0", "p1"}, self.PACE, 0.0)
        sent = [
            peer.name
            for step in range(1, 41)
            for peer in membership.due_probes({"p0", "p1"}, self.PACE, step * 0.25)
        ]
        assert sent.count("p0") == 40
        assert len(sent) <= 80 + 20 + 1

    def test_rarely_probed_peer_is_suspected_later(self) -> None:
        """Symptom: live peers are taken for dead in a large data centre.

        Sequence: a peer that is probed every 10 s has not answered for 2 s.
        Cause it guards against: one suspicion time for every probing interval.
        """
        membership = membership_of(ORDER[0], ORDER[1])
        membership.peers[ORDER[1].name].interval_s = 10.0
        assert membership.is_alive(ORDER[1], NOW_S + 2.0)
        assert not membership.is_alive(ORDER[1], NOW_S + 41.0)


class TestMembership:
    def test_unresponsive_member_is_not_alive(self) -> None:
        membership = membership_of(ORDER[0], ORDER[1])
        assert membership.is_alive(ORDER[1], NOW_S + 0.9)
        assert not membership.is_alive(ORDER[1], NOW_S + 1.1)

    def test_listed_peer_without_response_is_not_alive(self) -> None:
        membership = membership_of(ORDER[0])
        membership.apply_listing([PeerState("sto-a-2", "a:1", DATA_CENTRE, 0.0)], NOW_S)
        assert set(membership.local_alive(NOW_S)) == {ORDER[0].name}

    def test_unlisted_peer_is_retained_while_it_responds(self) -> None:
        membership = membership_of(ORDER[0], ORDER[1])
        membership.apply_listing([], NOW_S)
        assert membership.is_alive(ORDER[1], NOW_S)
        membership.apply_listing([], NOW_S + 5.0)
        assert ORDER[1].name not in membership.peers
