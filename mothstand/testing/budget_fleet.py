"""A simulated fleet that shares one prepaid budget, in one process and in virtual time.

Real accounts, claim managers and loans run against a store in memory. Calls to the store and
between instances take as long as on the users' platform.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio

from ..core.claims import Usage
from ..core.fleet import CLAIMANTS_PER_DATA_CENTRE, FleetView, Member
from ..core.loans import Peer
from ..errors import ErrorKind, Refusal
from ..gateway.accounts import Accounts
from ..gateway.member_feed import MEMBERS_STREAM, MemberFeed
from ..log.health import PlatformHealth
from ..peers.failures import PeerError
from ..settings.gateway import (
    CallersSection,
    GatewayInstanceSection,
    GatewayListenSection,
    GatewaySettings,
    GatewayTimingSection,
    LoadSharingSection,
    RegionsSection,
    RetriesSection,
    SeedsSection,
    StoreSection,
    WarmupSection,
)
from ..types import BudgetName, DataCentre
from .fakes import RETRIES, UnreachablePeers
from .memory_store import MemoryStore, StoreLink
from .virtual_time import VirtualClock

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from anyio.abc import TaskGroup

    from ..gateway.lending import Handover, LoanReply, LoanRequest
    from ..gateway.store import KeyedRecord, Stream, StreamPage

#: Seconds that a call to the store, or to another instance, takes on the users' platform.
STORE_CALL_S = 0.006
PEER_CALL_S = 0.002

_BUDGET = BudgetName("seniors")

#: Seconds that a stopping instance has to return and hand over its tokens, if its requests end at
#: once: of a grace period of 8 s, 3 s are spent as a lame duck.
_STOP_S = 4.8


class _SlowStoreLink(StoreLink):
    """A store client whose calls take time and are counted."""

    def __init__(self, store: MemoryStore, fleet: BudgetFleet) -> None:
        super().__init__(store)
        self._fleet = fleet
        self._counts = fleet.counts

    async def append(
        self, stream: Stream, records: tuple[KeyedRecord, ...], *, at_offset: int | None = None
    ) -> None:
        """Append after half of the call's time, and answer after the other half."""
        self._counts["store calls"] += 1
        await anyio.sleep(self._fleet.store_call_s / 2)
        await super().append(stream, records, at_offset=at_offset)
        await anyio.sleep(self._fleet.store_call_s / 2)

    async def read(self, stream: Stream, from_offset: int, *, wait_s: float = 0.0) -> StreamPage:
        """Read at the end of the call's time."""
        self._counts["store calls"] += 1
        await anyio.sleep(self._fleet.store_call_s)
        page = await super().read(stream, from_offset, wait_s=wait_s)
        self._counts["records read"] += len(page.records)
        if stream == MEMBERS_STREAM:
            self._counts["announcements read"] += len(page.records)
        return page


class _InProcessPeers(UnreachablePeers):
    """Calls to other simulated instances in this process."""

    def __init__(self, fleet: BudgetFleet) -> None:
        self._fleet = fleet

    async def borrow(self, address: str, request: LoanRequest) -> LoanReply:
        """Borrow tokens from another instance."""
        self._fleet.counts["loans"] += 1
        await anyio.sleep(PEER_CALL_S / 2)
        if address in self._fleet.dead:
            raise PeerError(f"{address}: refused")
        reply = await self._fleet.instances[address].accounts.lend(request)
        await anyio.sleep(PEER_CALL_S / 2)
        return reply

    async def hand_over(self, address: str, handover: Handover) -> None:
        """Hand tokens over to another instance."""
        await self._call(address)
        self._fleet.instances[address].accounts.take_over(handover)

    async def registrations_gapless_read_s(self, address: str) -> float:
        """Return 0 for a live instance: this simulation has no registrations."""
        await self._call(address)
        return 0.0

    async def _call(self, address: str) -> None:
        await anyio.sleep(PEER_CALL_S)
        if address in self._fleet.dead:
            raise PeerError(f"{address}: refused")


@dataclass(frozen=True, slots=True)
class Herd:
    """Time in which most requests come to one instance.

    Parameters
    ----------
    begin_s, end_s
        Seconds after the first request.
    instance
        Index of the instance.
    share
        Share of the requests that come to it.
    """

    begin_s: float
    end_s: float
    instance: int
    share: float = 0.95


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a request.

    Parameters
    ----------
    sent_s
        Seconds after the first request.
    refusal
        None if its tokens were reserved.
    """

    sent_s: float
    refusal: ErrorKind | None


@dataclass(slots=True)
class BudgetInstance:
    """The budget part of one instance's process."""

    members: MemberFeed
    accounts: Accounts
    tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Run until it is killed."""
        async with anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self.members.run)
            self.tasks.start_soon(self.accounts.run)

    def serve(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a request, which is cancelled when the process ends."""
        assert self.tasks is not None, "a request before run()"
        self.tasks.start_soon(work)

    def kill(self) -> None:
        """End the process and all its tasks."""
        if self.tasks is not None:
            self.tasks.cancel_scope.cancel()


@dataclass(slots=True)
class BudgetFleet:
    """A simulated fleet with one budget.

    Parameters
    ----------
    per_data_centre
        Instances in each data centre.
    claimants
        Number of instances in each data centre that claim tokens.
    used_share
        Share of its bound that a request uses.
    unanswered_share
        Share of the requests whose upstreams send no part of an answer, so that their
        consumption is uncertain.
    herds
        Times in which most requests come to one instance.
    """

    data_centres: int
    per_data_centre: int
    prepaid_tokens: int
    claimants: int = CLAIMANTS_PER_DATA_CENTRE
    used_share: float = 0.9
    unanswered_share: float = 0.0
    store_call_s: float = STORE_CALL_S
    counts: Counter[str] = field(default_factory=Counter)
    instances: dict[str, BudgetInstance] = field(default_factory=dict)
    dead: set[str] = field(default_factory=set)
    herds: tuple[Herd, ...] = ()
    outcomes: list[Outcome] = field(default_factory=list)
    spent_tokens: int = 0
    confirmed_tokens: int = 0
    is_cut_off: bool = False
    _tasks: TaskGroup | None = None
    _starts: int = 0
    _store: MemoryStore = field(default_factory=MemoryStore)
    _links: list[_SlowStoreLink] = field(default_factory=list)

    async def run(self, duration_s: float, *, requests_per_s: float, seed: int = 1) -> None:
        """Start all instances, then send requests for `duration_s`.

        The bound of a request is 1,000 to 17,000 tokens; `used_share` of it is spent within 0.4 s.
        """
        rng = random.Random(seed)
        # A separate generator, so that the requests do not depend on their outcomes.
        answers = random.Random(seed)
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for number in range(self.data_centres):
                for name in range(self.per_data_centre):
                    self._start(f"i{number}-{name}", DataCentre(f"d{number}"))
            # The time between the machines' start and the first callers.
            await anyio.sleep(5.0)
            self.counts.clear()
            ends_s = anyio.current_time() + duration_s
            while anyio.current_time() < ends_s:
                await anyio.sleep(rng.expovariate(requests_per_s))
                alive = [a for a in self.instances if a not in self.dead]
                if not alive:
                    self.counts["asked"] += 1
                    continue
                sent_s = anyio.current_time() - ends_s + duration_s
                instance = self.instances[self._choose(alive, sent_s, rng)]
                tokens = rng.randrange(1_000, 17_000)
                is_answered = answers.random() >= self.unanswered_share
                instance.serve(
                    partial(self._request, instance.accounts, tokens, is_answered, sent_s)
                )
            await anyio.sleep(2.0)
            tasks.cancel_scope.cancel()

    def _choose(self, alive: list[str], sent_s: float, rng: random.Random) -> str:
        """Return the address of the instance that a request comes to."""
        chosen = rng.choice(alive)
        for herd in self.herds:
            is_herd = herd.begin_s <= sent_s < herd.end_s and rng.random() < herd.share
            address = list(self.instances)[herd.instance]
            if is_herd and address in alive:
                return address
        return chosen

    async def restart(
        self, address: str, *, down_s: float, is_graceful: bool = False, drain_s: float = 0.0
    ) -> None:
        """End an instance's process, and start another one in its place after `down_s`.

        Parameters
        ----------
        is_graceful
            Whether the instance is stopped and can return its claims, instead of killed.
        drain_s
            How long before its end it accepts no more requests.
        """
        old_instance = self.instances[address]
        self.dead.add(address)
        if drain_s:
            old_instance.accounts.begin_stopping()
            await anyio.sleep(drain_s)
        if is_graceful:
            await old_instance.accounts.stop(until_s=anyio.current_time() + _STOP_S)
        old_instance.kill()
        await anyio.sleep(down_s)
        local_member = old_instance.members.fleet.local_member
        self._start(local_member.peer.instance, local_member.data_centre)
        self.dead.discard(address)

    def set_cut_off_from_store(self, is_cut_off: bool) -> None:
        """Cut all instances off from the store, or reconnect them."""
        self.is_cut_off = is_cut_off
        for link in self._links:
            link.is_cut_off = is_cut_off

    @property
    def served_share(self) -> float:
        """Share of the requests whose tokens were reserved."""
        return self.counts["served"] / max(1, self.counts["asked"])

    @property
    def recorded_spent_tokens(self) -> int:
        """Sum of the tokens that all instances would record as spent."""
        shards = [shard for i in self.instances.values() for shard in i.accounts.shards]
        return sum(
            shard.claim_manager.claims.held_budget(_BUDGET).recorded_spent_tokens
            for shard in shards
        )

    async def _request(
        self, accounts: Accounts, tokens: int, is_answered: bool, sent_s: float
    ) -> None:
        self.counts["asked"] += 1
        reserved = await accounts.reserve(_BUDGET, tokens, 0, 5.0)
        if isinstance(reserved, Refusal):
            self.counts[reserved.kind.value] += 1
            self.outcomes.append(Outcome(sent_s, reserved.kind))
            return
        self.outcomes.append(Outcome(sent_s, None))
        self.counts["served"] += 1
        used = int(tokens * self.used_share)
        # A request that runs when its process dies consumes its tokens too.
        self.spent_tokens += used
        self.confirmed_tokens += used if is_answered else 0
        await anyio.sleep(0.4)
        accounts.settle(reserved, Usage(used, used if is_answered else 0))

    def _start(self, name: str, data_centre: DataCentre) -> None:
        assert self._tasks is not None, "start before run()"
        self._tasks.start_soon(self._make_instance(name, data_centre).run)

    def _make_instance(self, name: str, data_centre: DataCentre) -> BudgetInstance:
        self._starts += 1
        address = f"{name}:1"
        clock = VirtualClock()
        health = PlatformHealth(clock)
        link = _SlowStoreLink(self._store, self)
        link.is_cut_off = self.is_cut_off
        self._links.append(link)
        local_peer = Peer(name, f"{name}-{self._starts}", address)
        members = MemberFeed(
            link,
            Member(local_peer, data_centre),
            clock,
            health,
            lambda: None,
            RETRIES,
            started_s=0.0,
        )
        members.fleet = FleetView(members.fleet.local_member, self.claimants)
        accounts = Accounts(
            gateway_settings(name, data_centre),
            local_peer,
            link,
            _InProcessPeers(self),
            clock,
            health,
            lambda: {_BUDGET: self.prepaid_tokens},
            members,
        )
        self.instances[address] = BudgetInstance(members, accounts)
        return self.instances[address]


def gateway_settings(name: str, data_centre: DataCentre, *, relay: str = "") -> GatewaySettings:
    """Return settings of an instance that listens nowhere."""
    unused_address = "127.0.0.1:1"
    return GatewaySettings(
        instance=GatewayInstanceSection.model_validate({"name": name, "data_centre": data_centre}),
        listen=GatewayListenSection(
            callers=unused_address,
            ready=unused_address,
            peers=unused_address,
            metrics=unused_address,
            relay=relay,
        ),
        store=StoreSection.model_validate({"address": unused_address}),
        seeds=SeedsSection.model_validate({}),
        retries=RetriesSection.model_validate({}),
        timing=GatewayTimingSection.model_validate({}),
        warmup=WarmupSection.model_validate({}),
        regions=RegionsSection.model_validate({}),
        load_sharing=LoadSharingSection.model_validate({}),
        callers=CallersSection.model_validate({}),
    )
