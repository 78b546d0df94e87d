"""Tests of an instance that starts in a store outage and gets its state from peers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import anyio

from ..core.fleet import Member
from ..core.loans import Peer
from ..gateway.bootstrap import Bootstrap
from ..gateway.feeds import ConfigFeed
from ..gateway.lending import Knowledge
from ..gateway.member_feed import MemberFeed, encode_member
from ..gateway.quarantine_feed import QuarantineFeed
from ..gateway.store import KeyedRecord
from ..gateway.upstream_feed import UpstreamFeed
from ..log.health import LogHealth
from ..peers.failures import PeerError
from ..platform.records import (
    CONFIG_KEY,
    CONFIG_STREAM,
    UPSTREAMS_STREAM,
    decode_config,
    decode_upstream,
)
from ..testing.fakes import RETRIES, NoWitness, SilentPeers
from ..testing.memory_store import MemoryStore, StoreLink
from ..testing.registrations import registration
from ..testing.virtual_time import VirtualClock, run_in_virtual_time
from ..types import DataCentre, Shard

if TYPE_CHECKING:
    from collections.abc import Callable

_HERE = DataCentre("sto-a")
_UPSTREAM = registration("llm", "10.0.0.9:1")


def member(name: str) -> Member:
    return Member(Peer(name, f"{name}-1", f"{name}:1"), _HERE)


def knowledge(version: int) -> Knowledge:
    return Knowledge(
        json.dumps({"version": version}).encode(),
        (KeyedRecord("e-1", json.dumps(_UPSTREAM).encode()),),
        (encode_member(member("b")), encode_member(member("c"))),
    )


class _Peers(SilentPeers):
    """Peers by address; other addresses do not answer."""

    def __init__(self, known: dict[str, Knowledge]) -> None:
        self.asked: list[str] = []
        self._known = known

    async def knowledge(self, address: str) -> Knowledge:
        self.asked.append(address)
        if address not in self._known:
            raise PeerError(address)
        return self._known[address]


class _Starting:
    """An instance that has just started and is cut off from the store."""

    def __init__(self, peers: dict[str, Knowledge], seeds: tuple[str, ...]) -> None:
        clock = VirtualClock()
        health = LogHealth(clock)
        self.link = StoreLink(MemoryStore())
        self.link.is_cut = True
        self.peers = _Peers(peers)
        self.config = ConfigFeed(
            self.link, CONFIG_STREAM, CONFIG_KEY, clock, health, decode_config, lambda _: None
        )
        self.upstreams = UpstreamFeed(
            self.link,
            UPSTREAMS_STREAM,
            clock,
            health,
            decode_upstream,
            lambda _: None,
            1.0,
            NoWitness(),
        )
        self.members = MemberFeed(
            self.link, member("a"), clock, health, lambda: None, RETRIES, started_s=0.0
        )
        self.quarantine = QuarantineFeed(
            self.link, clock, health, "a", self.peers, lambda: [], lambda: 1
        )
        self._bootstrap = Bootstrap(
            seeds,
            "a:1",
            self.peers,
            self.config,
            self.upstreams,
            self.members,
            self.quarantine,
            clock,
        )

    async def run(self, for_s: float, then: Callable[[], None] = lambda: None) -> None:
        async with anyio.create_task_group() as tasks:
            for work in (self.config.run, self.upstreams.run, self.members.run):
                tasks.start_soon(work)
            tasks.start_soon(self._bootstrap.run)
            await anyio.sleep(for_s)
            then()
            tasks.cancel_scope.cancel()


class TestBootstrap:
    def test_a_start_in_an_outage_serves_by_what_a_seed_knows(self) -> None:
        """Guards against an instance that refuses all requests if restarted in a store outage.

        Configuration, upstreams and lenders were read from the store only.
        """
        starting = _Starting({"b:1": knowledge(7)}, ("a:1", "b:1"))
        run_in_virtual_time(lambda: starting.run(3.0))
        assert starting.config.config is not None
        assert starting.config.config.version == 7
        assert [u.address for u in starting.upstreams.directory.of_service("llm")] == ["10.0.0.9:1"]
        assert starting.members.is_settled
        lenders = starting.members.fleet.lenders(Shard(0))
        assert {peer.address for peer in lenders} == {"b:1", "c:1"}

    def test_dead_seeds_are_passed_over_and_itself_is_not_asked(self) -> None:
        starting = _Starting({"c:1": knowledge(3)}, ("a:1", "x:1", "c:1"))
        run_in_virtual_time(lambda: starting.run(5.0))
        assert starting.config.config is not None
        assert "a:1" not in starting.peers.asked

    def test_a_peer_that_is_behind_does_not_bring_back_what_was_replaced(self) -> None:
        """Guards against a removed route that is served again.

        A peer's older configuration replaced the one from the store.
        """
        starting = _Starting({}, ())
        starting.config.offer(KeyedRecord(CONFIG_KEY, json.dumps({"version": 9}).encode()))
        starting.config.offer(KeyedRecord("", knowledge(7).config))
        assert starting.config.config is not None
        assert starting.config.config.version == 9

    def test_members_by_hearsay_after_the_store_was_read(self) -> None:
        """Guards against loan requests to dead claimants, for which callers wait.

        An instance read the members from the store but not yet the configuration, asked a peer that
        was cut off, and applied that peer's expired members.
        """
        starting = _Starting({}, ())
        starting.link.is_cut = False

        async def run() -> None:
            await starting.members.look()
            starting.members.offer(knowledge(1).members)

        run_in_virtual_time(run)
        assert not starting.members.fleet.knows("c")
