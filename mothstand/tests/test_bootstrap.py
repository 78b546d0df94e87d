"""Tests of an instance that starts in a store outage and gets its state from peers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import anyio

from ..core.config_freshness import ConfigFreshness
from ..core.evacuation import Evacuations
from ..core.fleet import Member
from ..core.loans import Peer
from ..gateway.bootstrap import Bootstrap
from ..gateway.evacuations import EvacuationTracker
from ..gateway.feeds import ConfigFeed
from ..gateway.lending import BOOTSTRAP_TIMEOUT_S, BootstrapState
from ..gateway.member_feed import MemberFeed, encode_member
from ..gateway.metrics import GatewayMetrics
from ..gateway.quarantine.feed import QuarantineFeed
from ..gateway.store import KeyedRecord
from ..gateway.upstream_feed import UpstreamFeed
from ..log.health import PlatformHealth
from ..peers.failures import PeerError
from ..platform.records import (
    CONFIG_KEY,
    CONFIG_STREAM,
    UPSTREAMS_STREAM,
    decode_config,
    decode_upstream,
    evacuated_data_centre,
)
from ..testing.fakes import RETRIES, NoWitness, UnreachablePeers
from ..testing.memory_store import MemoryStore, StoreLink
from ..testing.registrations import registration
from ..testing.virtual_time import VirtualClock, run_in_virtual_time
from ..types import DataCentre, Shard

if TYPE_CHECKING:
    from collections.abc import Callable

_DATA_CENTRE = DataCentre("sto-a")
_UPSTREAM = registration("llm", "10.0.0.9:1")


def member(name: str) -> Member:
    return Member(Peer(name, f"{name}-1", f"{name}:1"), _DATA_CENTRE)


def bootstrap_state(version: int) -> BootstrapState:
    return BootstrapState(
        json.dumps({"version": version}).encode(),
        (KeyedRecord("e-1", json.dumps(_UPSTREAM).encode()),),
        (encode_member(member("b")), encode_member(member("c"))),
    )


class _FakePeers(UnreachablePeers):
    """Peers by address; other addresses do not answer."""

    def __init__(self, states: dict[str, BootstrapState]) -> None:
        self.asked_addresses: list[str] = []
        self._states = states

    async def bootstrap_state(
        self, address: str, *, timeout_s: float = BOOTSTRAP_TIMEOUT_S
    ) -> BootstrapState:
        self.asked_addresses.append(address)
        if address not in self._states:
            raise PeerError(address)
        return self._states[address]


class _StartingInstance:
    """An instance that has just started and is cut off from the store."""

    def __init__(self, peers: dict[str, BootstrapState], seeds: tuple[str, ...]) -> None:
        clock = VirtualClock()
        health = PlatformHealth(clock)
        self.link = StoreLink(MemoryStore())
        self.link.is_cut_off = True
        self.peers = _FakePeers(peers)
        self.evacuations = EvacuationTracker(Evacuations(), evacuated_data_centre, clock)
        self.config = ConfigFeed(
            self.link,
            CONFIG_STREAM,
            CONFIG_KEY,
            clock,
            health,
            decode_config,
            lambda _: None,
            self.evacuations,
            ConfigFreshness(3.0),
            GatewayMetrics(),
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
            self.evacuations,
            clock,
        )

    async def run(self, duration_s: float, then: Callable[[], None] = lambda: None) -> None:
        async with anyio.create_task_group() as tasks:
            for work in (self.config.run, self.upstreams.run, self.members.run):
                tasks.start_soon(work)
            tasks.start_soon(self._bootstrap.run)
            await anyio.sleep(duration_s)
            then()
            tasks.cancel_scope.cancel()


class TestBootstrap:
    def test_start_in_a_store_outage_uses_the_state_of_a_seed(self) -> None:
        """Guards against an instance that refuses all requests if restarted in a store outage.

        Configuration, upstreams and lenders were read from the store only.
        """
        starting = _StartingInstance({"b:1": bootstrap_state(7)}, ("a:1", "b:1"))
        run_in_virtual_time(lambda: starting.run(3.0))
        assert starting.config.config is not None
        assert starting.config.config.version == 7
        assert [u.address for u in starting.upstreams.directory.accepting_upstreams("llm")] == [
            "10.0.0.9:1"
        ]
        assert starting.members.is_settled
        lenders = starting.members.fleet.lenders(Shard(0))
        assert {peer.address for peer in lenders} == {"b:1", "c:1"}

    def test_unreachable_seeds_are_skipped_and_own_address_is_not_asked(self) -> None:
        starting = _StartingInstance({"c:1": bootstrap_state(3)}, ("a:1", "x:1", "c:1"))
        run_in_virtual_time(lambda: starting.run(5.0))
        assert starting.config.config is not None
        assert "a:1" not in starting.peers.asked_addresses

    def test_older_configuration_of_a_peer_does_not_replace_a_newer_one(self) -> None:
        """Guards against a removed route that is served again.

        A peer's older configuration replaced the one from the store.
        """
        starting = _StartingInstance({}, ())
        starting.config.apply_record(KeyedRecord(CONFIG_KEY, json.dumps({"version": 9}).encode()))
        starting.config.apply_record(KeyedRecord("", bootstrap_state(7).config))
        assert starting.config.config is not None
        assert starting.config.config.version == 9

    def test_second_hand_members_are_ignored_after_a_store_read(self) -> None:
        """Guards against loan requests to dead claimants, for which callers wait.

        An instance read the members from the store but not yet the configuration, asked a peer that
        was cut off, and applied that peer's expired members.
        """
        starting = _StartingInstance({}, ())
        starting.link.is_cut_off = False

        async def run() -> None:
            await starting.members.poll()
            starting.members.apply_second_hand(bootstrap_state(1).members)

        run_in_virtual_time(run)
        assert not starting.members.fleet.has_announced("c")
