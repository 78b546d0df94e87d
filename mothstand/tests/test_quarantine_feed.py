"""Tests of the crashes of upstreams and the probes that instances report to each other."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import anyio

from ..core.quarantine import MOST_ENDS
from ..core.request_digest import RequestDigest
from ..core.upstreams import RegisteredUpstream
from ..gateway.end_watch import BrokenAttempt
from ..gateway.quarantine_feed import QUARANTINE_STREAM, QuarantineFeed
from ..log.health import LogHealth
from ..testing.fakes import SilentPeers
from ..testing.memory_store import Fate, MemoryStore, StoreLink
from ..testing.virtual_time import VirtualClock, run_in_virtual_time
from ..types import DataCentre

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..core.quarantine import Trial
    from ..gateway.store import KeyedRecord

D = RequestDigest("0123456789abcdef")


def upstream(number: int) -> RegisteredUpstream:
    return RegisteredUpstream(f"u{number}", "llm", f"e{number}:1", DataCentre("a"), 8, False, 1)


class Peers(SilentPeers):
    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    async def tell_ends(self, address: str, ends: tuple[KeyedRecord, ...]) -> None:
        self._fleet.told.append(address)
        if address in self._fleet.hanging:
            await anyio.sleep_forever()
        self._fleet.feeds[address].take_from_peer(ends)


class Fleet:
    """Feeds of several instances on one store, by name of the instance."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.feeds: dict[str, QuarantineFeed] = {}
        self.links: dict[str, StoreLink] = {}
        self.told: list[str] = []
        self.hanging: set[str] = set()
        self.have_peers = True
        self.fates: dict[str, list[Fate]] = defaultdict(list)

    def start(self, name: str) -> QuarantineFeed:
        clock = VirtualClock()
        self.links[name] = StoreLink(self.store, lambda: self.fate(name), gives_up_after_s=0.3)
        self.feeds[name] = QuarantineFeed(
            self.links[name],
            clock,
            LogHealth(clock),
            name,
            Peers(self),
            lambda: [other for other in self.feeds if other != name and self.have_peers],
            lambda: len(self.feeds),
        )
        return self.feeds[name]

    def fate(self, name: str) -> Fate:
        return self.fates[name].pop(0) if self.fates[name] else Fate.ANSWERED

    def report(self, name: str, *numbers: int, known_ends: int | None = None) -> None:
        for number in numbers:
            known = number if known_ends is None else known_ends
            attempt = BrokenAttempt(f"r{number}", D, known_ends=known)
            self.feeds[name].report(upstream(number), attempt)

    def is_held(self, name: str) -> bool:
        return self.feeds[name].quarantine.is_held(D, anyio.current_time())

    def keys(self) -> list[str]:
        return [record.key for record in self.store.newest(QUARANTINE_STREAM).records]

    def trial_keys(self) -> list[str]:
        return [key for key in self.keys() if "trial" in key]

    def play(self, steps: Callable[[], Awaitable[None]]) -> None:
        """Run all started feeds while the steps run."""

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                for feed in self.feeds.values():
                    tasks.start_soon(feed.run)
                await anyio.sleep(0.5)
                await steps()
                tasks.cancel_scope.cancel()

        run_in_virtual_time(main)


class TestQuarantineFeed:
    def test_ends_seen_by_different_instances_add_up_everywhere(self) -> None:
        # Guards against instances that count only the crashes they saw themselves.
        fleet = Fleet()
        for name in "abcd":
            fleet.start(name)

        async def steps() -> None:
            for number, name in enumerate("abc"):
                fleet.report(name, number)
                await anyio.sleep(0.5)
            assert all(fleet.is_held(name) for name in "abcd")

        fleet.play(steps)

    def test_an_instance_that_starts_knows_what_was_told_before(self) -> None:
        # Guards against a restarted instance that forwards a quarantined request.
        fleet = Fleet()
        fleet.start("a")

        async def steps() -> None:
            fleet.report("a", *range(MOST_ENDS))
            await anyio.sleep(0.5)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.start("b").run)
                await anyio.sleep(0.5)
                assert fleet.is_held("b")
                tasks.cancel_scope.cancel()

        fleet.play(steps)

    def test_an_instance_that_starts_knows_of_another_cause(self) -> None:
        # Guards against a long quarantine of a popular request after a restart.
        fleet = Fleet()
        fleet.start("a")

        async def steps() -> None:
            for number in range(MOST_ENDS):
                crowd = BrokenAttempt(f"crowd{number}", RequestDigest("e" * 16))
                fleet.feeds["a"].report(upstream(10 + number), crowd)
                fleet.report("a", number)
            await anyio.sleep(0.5)
            late = fleet.start("b")
            with anyio.move_on_after(1.5):
                await late.run()
            assert fleet.is_held("b")
            assert late.quarantine.is_trial_due(D, anyio.current_time())

        fleet.play(steps)

    def test_pauses_go_on_at_an_instance_that_starts(self) -> None:
        # Guards against repeated restarts after which no probe is ever due.
        fleet = Fleet()
        fleet.start("a")

        async def steps() -> None:
            fleet.report("a", *range(MOST_ENDS))
            await anyio.sleep(25.0)
            late = fleet.start("b")
            with anyio.move_on_after(6.0):
                await late.run()
            assert late.quarantine.is_trial_due(D, anyio.current_time())

        fleet.play(steps)

    def test_an_answer_anywhere_clears_everywhere(self) -> None:
        fleet = Fleet()
        for name in "ab":
            fleet.start(name)

        async def steps() -> None:
            fleet.report("a", *range(MOST_ENDS))
            await anyio.sleep(0.5)
            fleet.feeds["b"].clear(D)
            await anyio.sleep(0.5)
            assert fleet.feeds["a"].quarantine.is_empty
            assert fleet.keys() == []

        fleet.play(steps)

    def test_a_peer_tells_the_store_what_it_does_not_take_from_here(self) -> None:
        # Guards against crashes known only to an instance that is cut off from the store.
        fleet = Fleet()
        for name in "abcde":
            fleet.start(name)

        async def steps() -> None:
            fleet.links["a"].is_cut = True
            fleet.report("a", *range(MOST_ENDS))
            await anyio.sleep(2.0)
            assert all(fleet.is_held(name) for name in "abcde")
            assert len(fleet.told) <= 9

        fleet.play(steps)

    def test_the_store_is_told_while_peers_hang(self) -> None:
        # Guards against a crash record that waits for a call to a peer and is lost if the instance
        # dies.
        fleet = Fleet()
        for name in "abcd":
            fleet.start(name)
        fleet.hanging = set("bcd")

        async def steps() -> None:
            fleet.links["a"].is_cut = True
            fleet.report("a", 0)
            await anyio.sleep(0.5)
            assert sorted(fleet.told) == ["b", "c", "d"]
            fleet.links["a"].is_cut = False
            await anyio.sleep(0.5)
            assert len(fleet.keys()) == 1

        fleet.play(steps)

    def test_what_the_store_missed_is_told_within_the_window_after_its_return(self) -> None:
        fleet = Fleet()
        for name in "ab":
            fleet.start(name)
        fleet.have_peers = False

        async def steps() -> None:
            for link in fleet.links.values():
                link.is_cut = True
            fleet.report("a", *range(MOST_ENDS))
            await anyio.sleep(20.0)
            assert not fleet.is_held("b")
            for link in fleet.links.values():
                link.is_cut = False
            await anyio.sleep(1.5)
            assert fleet.is_held("b")

        fleet.play(steps)

    def test_one_instance_of_all_makes_a_trial(self) -> None:
        # Guards against one or two probes from each instance.
        fleet = Fleet()
        for name in "abcdef":
            fleet.start(name)
        claimed: list[Trial | None] = []

        async def claim(name: str) -> None:
            claimed.append(await fleet.feeds[name].claim_trial(D))

        async def steps() -> None:
            fleet.report("a", *range(MOST_ENDS))
            await anyio.sleep(31.0)
            async with anyio.create_task_group() as tasks:
                for name in "abcdef":
                    tasks.start_soon(claim, name)
            await anyio.sleep(0.5)
            async with anyio.create_task_group() as tasks:
                for name in "abcdef":
                    tasks.start_soon(claim, name)
            assert len([trial for trial in claimed if trial is not None]) == 1

        fleet.play(steps)

    def test_a_trial_whose_claim_had_no_answer_is_made_by_another(self) -> None:
        # Guards against a probe that is never sent but always counts as sent.
        fleet = Fleet()
        for name in "ab":
            fleet.start(name)

        async def steps() -> None:
            fleet.report("a", *range(MOST_ENDS), known_ends=0)
            await anyio.sleep(1.5)
            fleet.fates["a"] = [Fate.UNANSWERED]
            assert await fleet.feeds["a"].claim_trial(D) is None
            await anyio.sleep(2.5)
            assert await fleet.feeds["b"].claim_trial(D) is not None

        fleet.play(steps)

    def test_a_trial_given_back_twice_leaves_that_of_another(self) -> None:
        # Guards against an additional probe for each append that is repeated after a lost answer.
        fleet = Fleet()
        for name in "abc":
            fleet.start(name)

        async def steps() -> None:
            fleet.report("a", *range(MOST_ENDS), known_ends=0)
            await anyio.sleep(1.5)
            first = await fleet.feeds["a"].claim_trial(D)
            assert first is not None
            (first_key,) = fleet.trial_keys()
            fleet.feeds["a"].return_trial(first)
            await anyio.sleep(2.0)
            assert await fleet.feeds["b"].claim_trial(D) is not None
            fleet.store.put(QUARANTINE_STREAM, first_key, None)
            await anyio.sleep(2.0)
            assert await fleet.feeds["c"].claim_trial(D) is None

        fleet.play(steps)

    def test_a_peer_gives_a_trial_back_for_an_instance_that_is_cut_off(self) -> None:
        # Guards against a probe that counts as sent until its instance can reach the store again.
        fleet = Fleet()
        for name in "abcdef":
            fleet.start(name)

        async def steps() -> None:
            fleet.report("a", *range(MOST_ENDS), known_ends=0)
            await anyio.sleep(1.5)
            claimed = await fleet.feeds["a"].claim_trial(D)
            assert claimed is not None
            await anyio.sleep(0.5)
            fleet.links["a"].is_cut = True
            fleet.feeds["a"].return_trial(claimed)
            await anyio.sleep(1.0)
            assert fleet.trial_keys() == []

        fleet.play(steps)

    def test_records_that_cannot_be_read_are_passed_over(self) -> None:
        fleet = Fleet()
        fleet.start("a")
        for key, value in (
            ("", b"x"),
            (f"{D}/end-1", b"\xff"),
            (f"{D}/trial-x", b"{}"),
            (f"{D}/trial-7", b"{}"),
            ("no slash", None),
        ):
            fleet.store.put(QUARANTINE_STREAM, key, value)

        async def steps() -> None:
            fleet.report("a", *range(MOST_ENDS))
            await anyio.sleep(0.5)
            assert fleet.is_held("a")

        fleet.play(steps)

    def test_what_is_forgotten_leaves_the_store(self) -> None:
        fleet = Fleet()
        for name in "ab":
            fleet.start(name)

        async def steps() -> None:
            fleet.report("a", 0)
            await anyio.sleep(600.0 + 600.0 + 30.0)
            assert fleet.feeds["b"].quarantine.is_empty
            assert fleet.keys() == []

        fleet.play(steps)
