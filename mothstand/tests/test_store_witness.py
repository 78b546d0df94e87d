"""Whether the store was up while it did not answer here, as peers tell it."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import anyio

from ..core.fleet import Member
from ..core.loans import Peer
from ..gateway.lending import (
    BootstrapState,
    GrpcPeerLink,
    LendingService,
    LoanReply,
    LoanRequest,
    serve_peers,
)
from ..gateway.member_feed import MemberFeed
from ..gateway.store_witness import PeerWitness
from ..gateway.upstream_feed import UpstreamFeed
from ..log.health import PlatformHealth
from ..peers.failures import PeerError
from ..platform.records import UPSTREAMS_STREAM, decode_upstream
from ..testing.fakes import RETRIES, NoWitness, UnreachablePeers
from ..testing.fleet import free_port
from ..testing.memory_store import MemoryStore, StoreLink
from ..testing.registrations import registration
from ..testing.virtual_time import VirtualClock, run_in_virtual_time
from ..types import DataCentre

if TYPE_CHECKING:
    from collections.abc import Callable

_HERE = DataCentre("sto-a")
_CUT_S = 10.0


class _Peers(UnreachablePeers):
    """Peers by address, each with its reader of registrations."""

    def __init__(self) -> None:
        self.feeds: dict[str, UpstreamFeed] = {}

    async def registrations_gapless_s(self, address: str) -> float:
        if address not in self.feeds:
            await anyio.sleep(0.25)
            raise PeerError(address)
        return self.feeds[address].gapless_s()


class _Fleet:
    """One instance that is cut off from the store, and peers that may be so too."""

    def __init__(self, *, peers: int, dead: int = 0) -> None:
        self.store = MemoryStore()
        self.clock = VirtualClock()
        self.link = StoreLink(self.store)
        self.peer_link = StoreLink(self.store)
        calls = _Peers()
        members = MemberFeed(
            self.link,
            _member("me"),
            self.clock,
            PlatformHealth(self.clock),
            lambda: None,
            RETRIES,
            started_s=0.0,
        )
        for number in range(peers + dead):
            members.fleet.apply_announcement(_member(f"peer-{number}"), 0.0)
        for number in range(peers):
            calls.feeds[f"peer-{number}:1"] = self._feed(self.peer_link, NoWitness())
        self.peers = list(calls.feeds.values())
        self.feed = self._feed(self.link, PeerWitness(calls, members))
        for upstream_id in ("stays", "leaves"):
            entry = json.dumps(registration("llm", "10.0.0.1:80")).encode()
            self.store.put(UPSTREAMS_STREAM, upstream_id, entry)

    def _feed(self, link: StoreLink, witness: PeerWitness | NoWitness) -> UpstreamFeed:
        return UpstreamFeed(
            link,
            UPSTREAMS_STREAM,
            self.clock,
            PlatformHealth(self.clock),
            decode_upstream,
            lambda _: None,
            wait_s=1.0,
            witness=witness,
        )

    def used_after_cut(self, cut: Callable[[bool], None]) -> set[str]:
        """Return the upstreams in use a second after a cut in which one's registration ended."""

        async def run() -> set[str]:
            async with anyio.create_task_group() as tasks:
                for feed in (self.feed, *self.peers):
                    tasks.start_soon(feed.run)
                await anyio.sleep(1.0)
                cut(True)
                await anyio.sleep(_CUT_S / 2)
                self.store.put(UPSTREAMS_STREAM, "leaves", None)
                await anyio.sleep(_CUT_S / 2)
                cut(False)
                await anyio.sleep(1.0)
                tasks.cancel_scope.cancel()
            return {u.upstream_id for u in self.feed.directory.accepting_upstreams("llm")}

        return run_in_virtual_time(run)

    def cut_me(self, is_cut: bool) -> None:
        self.link.is_cut_off = is_cut

    def cut_all(self, is_cut: bool) -> None:
        self.link.is_cut_off = self.peer_link.is_cut_off = is_cut


def _member(name: str) -> Member:
    return Member(Peer(name, f"{name}-1", f"{name}:1"), _HERE)


class TestPeerWitness:
    def test_upstream_that_left_while_a_peer_heard_the_store(self) -> None:
        """Symptom: requests go to an upstream that left long ago, for seconds after a cut.

        Sequence: an instance alone loses the store, an upstream's registration ends, the cut ends.
        Cause: the instance could not tell its own cut from an outage, and asked nobody.
        """
        fleet = _Fleet(peers=1)
        assert fleet.used_after_cut(fleet.cut_me) == {"stays"}

    def test_dead_peers_beside_one_that_heard_the_store(self) -> None:
        fleet = _Fleet(peers=1, dead=3)
        assert fleet.used_after_cut(fleet.cut_me) == {"stays"}

    def test_outage_that_all_had(self) -> None:
        """Symptom: after an outage of the store all requests are refused for up to two seconds.

        Sequence: the store is away for all, registrations lapse, it comes back.
        Cause: a peer that has just found the store again was taken for one that never lost it.
        """
        fleet = _Fleet(peers=3)
        assert fleet.used_after_cut(fleet.cut_all) == {"stays", "leaves"}

    def test_no_peer_answers(self) -> None:
        fleet = _Fleet(peers=0, dead=4)
        assert fleet.used_after_cut(fleet.cut_me) == {"stays", "leaves"}


class TestGrpcPeerLink:
    def test_how_long_a_peer_has_followed_the_registrations(self) -> None:
        async def run() -> float:
            address = f"127.0.0.1:{free_port()}"
            service = LendingService(
                _no_loan, lambda _: None, _nothing_known, lambda: 12.5, lambda _: None
            )
            server = await serve_peers(service, address)
            link = GrpcPeerLink()
            try:
                return await link.registrations_gapless_s(address)
            finally:
                link.close()
                server.close()
                await server.wait_closed()

        assert anyio.run(run) == 12.5


async def _no_loan(request: LoanRequest) -> LoanReply:
    return LoanReply(0, 0)


def _nothing_known() -> BootstrapState:
    return BootstrapState(b"", (), ())
