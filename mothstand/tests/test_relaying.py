"""Tests of the choice of peers that relay requests."""

from __future__ import annotations

from ..core.fleet import Capacity, Member
from ..core.loans import Peer
from ..core.relaying import RelayOffer, RelayPeers, RelayPolicy
from ..types import DataCentre

_POLICY = RelayPolicy()
_LOCAL = DataCentre("sto-a")


def _member(number: int, data_centre: str = "sto-b") -> Member:
    peer = Peer(f"p{number}", "inc", f"10.0.0.{number}:1")
    return Member(peer, DataCentre(data_centre), Capacity(1.0, 10.0))


def _offer(number: int, *services: str, age_s: float = 0.1) -> RelayOffer:
    return RelayOffer(f"10.0.0.{number}:2", dict.fromkeys(services, age_s))


def _peers(*services: str) -> RelayPeers:
    peers = RelayPeers("me", _LOCAL)
    for service in services:
        peers.note_needed(service, 0.0)
    return peers


def _anywhere(_: DataCentre) -> bool:
    return True


def _chosen(peers: RelayPeers, service: str = "llm", now_s: float = 0.1) -> str | None:
    peer = peers.choose(service, _anywhere, now_s)
    return None if peer is None else peer.member.peer.instance


class TestSearch:
    def test_every_member_is_asked_in_turn(self) -> None:
        members = [_member(number) for number in range(10)]
        peers = _peers("llm")
        rounds = [peers.peers_to_ask(members, 0.1 * number) for number in range(3)]
        assert [len(asked) for asked in rounds] == [4, 4, 4]
        assert {m.peer.instance for asked in rounds for m in asked} == {
            m.peer.instance for m in members
        }

    def test_instances_ask_in_different_orders(self) -> None:
        members = [_member(number) for number in range(100)]
        first_asked = set()
        for number in range(20):
            peers = RelayPeers(f"i{number}", _LOCAL)
            peers.note_needed("llm", 0.0)
            first_asked.add(peers.peers_to_ask(members, 0.0)[0].peer.instance)
        assert len(first_asked) > 1

    def test_other_data_centres_are_asked_in_the_first_round(self) -> None:
        # Guards against a long search when a whole data centre is partitioned.
        members = [*(_member(n, "sto-a") for n in range(30)), _member(50), _member(51)]
        asked = _peers("llm").peers_to_ask(members, 0.0)
        assert {m.data_centre for m in asked} == {"sto-a", "sto-b"}

    def test_members_that_left_are_not_asked(self) -> None:
        peers = _peers("llm")
        peers.note_offer(_member(1), _offer(1, "llm"), 0.0)
        assert peers.peers_to_ask([_member(2)], 0.1) == [_member(2)]
        assert _chosen(peers) is None

    def test_peers_that_reach_only_other_services_take_no_place(self) -> None:
        # Guards against refusals while all places are taken by peers that cannot serve the request.
        peers = _peers("llm")
        for number in range(8):
            peers.note_offer(_member(number), _offer(number, "forms"), 0.0)
        peers.note_offer(_member(9), _offer(9, "forms", "llm"), 0.0)
        assert peers.usable_peers(0.1) == ["p9"]
        assert _chosen(peers) == "p9"

    def test_each_needed_service_has_places_of_its_own(self) -> None:
        peers = _peers("llm", "forms")
        for number in range(8):
            peers.note_offer(_member(number), _offer(number, "forms"), 0.0)
        assert len(peers.usable_peers(0.1)) == _POLICY.max_peers
        assert not peers.has_peers_for_all(0.1)
        peers.note_offer(_member(9), _offer(9, "llm"), 0.0)
        assert peers.has_peers_for_all(0.1)


class TestChoice:
    def test_peer_with_fewest_of_our_requests_for_its_machine_is_chosen(self) -> None:
        peers = _peers("llm")
        for number in range(3):
            peers.note_offer(_member(number), _offer(number, "llm"), 0.0)
        used = set()
        for _ in range(3):
            peer = peers.choose("llm", _anywhere, 0.1)
            assert peer is not None
            peer.running += 1
            used.add(peer.member.peer.instance)
        assert used == {"p0", "p1", "p2"}

    def test_peer_that_reached_the_service_recently_is_preferred(self) -> None:
        peers = _peers("llm")
        peers.note_offer(_member(1), _offer(1, "llm", age_s=60.0), 0.0)
        peers.note_offer(_member(2), _offer(2, "llm", age_s=0.5), 0.0)
        assert _chosen(peers) == "p2"

    def test_body_goes_only_where_it_may(self) -> None:
        # Guards against a request of a region with homes that reaches an instance elsewhere.
        peers = _peers("llm")
        peers.note_offer(_member(1), _offer(1, "llm"), 0.0)
        assert peers.choose("llm", lambda data_centre: data_centre == "sto-a", 0.1) is None

    def test_peer_that_could_not_serve_is_avoided_for_that_service(self) -> None:
        peers = _peers("llm", "forms")
        peers.note_offer(_member(1), _offer(1, "llm", "forms"), 0.0)
        peer = peers.choose("llm", _anywhere, 0.1)
        assert peer is not None
        peers.note_cannot_serve(peer, "llm", 0.1)
        assert _chosen(peers, "llm", 0.2) is None
        assert _chosen(peers, "forms", 0.2) == "p1"
        assert _chosen(peers, "llm", 0.1 + _POLICY.avoided_s) == "p1"

    def test_offer_expires(self) -> None:
        peers = _peers("llm")
        peers.note_offer(_member(1), _offer(1, "llm"), 0.0)
        assert _chosen(peers, now_s=_POLICY.offer_valid_s) == "p1"
        assert _chosen(peers, now_s=_POLICY.offer_valid_s + 0.1) is None

    def test_peer_that_lost_its_path_is_dropped(self) -> None:
        peers = _peers("llm")
        peers.note_offer(_member(1), _offer(1, "llm"), 0.0)
        peers.note_offer(_member(1), _offer(1), 0.1)
        assert _chosen(peers, now_s=0.2) is None
