"""Tests of the crashes of upstreams and the probes that instances report to each other."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import anyio

from ..core.quarantine import CRASH_THRESHOLD
from ..core.suspects import Suspect, SuspectId, part_suspect
from ..core.upstreams import RegisteredUpstream
from ..gateway.quarantine.crash_detector import AttemptSuspect, BrokenAttempt
from ..gateway.quarantine.feed import QUARANTINE_STREAM, QuarantineFeed
from ..log.health import PlatformHealth
from ..testing.fakes import UnreachablePeers
from ..testing.memory_store import MemoryStore, StoreCallOutcome, StoreLink
from ..testing.virtual_time import VirtualClock, run_in_virtual_time
from ..types import DataCentre

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..core.quarantine import Probe
    from ..gateway.store import KeyedRecord

DIGEST = SuspectId("0123456789abcdef")


def broken_attempt(request_id: str, digest: SuspectId, known_crashes: int) -> BrokenAttempt:
    suspects = (AttemptSuspect(Suspect(digest), known_crashes),)
    return BrokenAttempt(request_id, digest, suspects)


def upstream(number: int) -> RegisteredUpstream:
    return RegisteredUpstream(f"u{number}", "llm", f"e{number}:1", DataCentre("a"), 8, False, 1)


class Peers(UnreachablePeers):
    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    async def send_quarantine_records(self, address: str, records: tuple[KeyedRecord, ...]) -> None:
        self._fleet.notified_peers.append(address)
        if address in self._fleet.hanging_peers:
            await anyio.sleep_forever()
        self._fleet.feeds[address].apply_from_peer(records)


class Fleet:
    """Feeds of several instances on one store, by name of the instance."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.feeds: dict[str, QuarantineFeed] = {}
        self.links: dict[str, StoreLink] = {}
        self.notified_peers: list[str] = []
        self.hanging_peers: set[str] = set()
        self.has_peers = True
        self.outcomes: dict[str, list[StoreCallOutcome]] = defaultdict(list)

    def start(self, name: str) -> QuarantineFeed:
        clock = VirtualClock()
        self.links[name] = StoreLink(
            self.store, lambda: self.next_outcome(name), read_timeout_s=0.3
        )
        self.feeds[name] = QuarantineFeed(
            self.links[name],
            clock,
            PlatformHealth(clock),
            name,
            Peers(self),
            lambda: [other for other in self.feeds if other != name and self.has_peers],
            lambda: len(self.feeds),
        )
        return self.feeds[name]

    def next_outcome(self, name: str) -> StoreCallOutcome:
        return self.outcomes[name].pop(0) if self.outcomes[name] else StoreCallOutcome.ANSWERED

    def report(self, name: str, *numbers: int, known_crashes: int | None = None) -> None:
        for number in numbers:
            known = number if known_crashes is None else known_crashes
            attempt = broken_attempt(f"r{number}", DIGEST, known)
            self.feeds[name].report(upstream(number), attempt)

    def is_quarantined(self, name: str) -> bool:
        return self.feeds[name].quarantine.is_quarantined(DIGEST, anyio.current_time())

    def keys(self) -> list[str]:
        return [record.key for record in self.store.newest(QUARANTINE_STREAM).records]

    def probe_keys(self) -> list[str]:
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
    def test_crashes_seen_by_different_instances_add_up(self) -> None:
        # Guards against instances that count only the crashes they saw themselves.
        fleet = Fleet()
        for name in "abcd":
            fleet.start(name)

        async def steps() -> None:
            for number, name in enumerate("abc"):
                fleet.report(name, number)
                await anyio.sleep(0.5)
            assert all(fleet.is_quarantined(name) for name in "abcd")

        fleet.play(steps)

    def test_starting_instance_learns_earlier_crashes(self) -> None:
        # Guards against a restarted instance that forwards a quarantined request.
        fleet = Fleet()
        fleet.start("a")

        async def steps() -> None:
            fleet.report("a", *range(CRASH_THRESHOLD))
            await anyio.sleep(0.5)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.start("b").run)
                await anyio.sleep(0.5)
                assert fleet.is_quarantined("b")
                tasks.cancel_scope.cancel()

        fleet.play(steps)

    def test_starting_instance_detects_common_cause_of_crashes(self) -> None:
        # Guards against a long quarantine of a popular request after a restart.
        fleet = Fleet()
        fleet.start("a")

        async def steps() -> None:
            for number in range(CRASH_THRESHOLD):
                crowd = broken_attempt(f"crowd{number}", SuspectId("e" * 16), 0)
                fleet.feeds["a"].report(upstream(10 + number), crowd)
                fleet.report("a", number)
            await anyio.sleep(0.5)
            late = fleet.start("b")
            with anyio.move_on_after(1.5):
                await late.run()
            assert fleet.is_quarantined("b")
            assert late.quarantine.is_probe_due((DIGEST,), anyio.current_time())

        fleet.play(steps)

    def test_starting_instance_continues_probe_pause(self) -> None:
        # Guards against repeated restarts after which no probe is ever due.
        fleet = Fleet()
        fleet.start("a")

        async def steps() -> None:
            fleet.report("a", *range(CRASH_THRESHOLD))
            await anyio.sleep(25.0)
            late = fleet.start("b")
            with anyio.move_on_after(6.0):
                await late.run()
            assert late.quarantine.is_probe_due((DIGEST,), anyio.current_time())

        fleet.play(steps)

    def test_answer_at_one_instance_clears_quarantine_at_all(self) -> None:
        fleet = Fleet()
        for name in "ab":
            fleet.start(name)

        async def steps() -> None:
            fleet.report("a", *range(CRASH_THRESHOLD))
            await anyio.sleep(0.5)
            fleet.feeds["b"].clear(DIGEST)
            await anyio.sleep(0.5)
            assert fleet.feeds["a"].quarantine.is_empty
            assert fleet.keys() == []

        fleet.play(steps)

    def test_peer_appends_records_of_instance_cut_off_from_store(self) -> None:
        # Guards against crashes known only to an instance that is cut off from the store.
        fleet = Fleet()
        for name in "abcde":
            fleet.start(name)

        async def steps() -> None:
            fleet.links["a"].is_cut_off = True
            fleet.report("a", *range(CRASH_THRESHOLD))
            await anyio.sleep(2.0)
            assert all(fleet.is_quarantined(name) for name in "abcde")
            assert len(fleet.notified_peers) <= 9

        fleet.play(steps)

    def test_records_are_appended_while_peers_hang(self) -> None:
        # Guards against a crash record that waits for a call to a peer and is lost if the instance
        # dies.
        fleet = Fleet()
        for name in "abcd":
            fleet.start(name)
        fleet.hanging_peers = set("bcd")

        async def steps() -> None:
            fleet.links["a"].is_cut_off = True
            fleet.report("a", 0)
            await anyio.sleep(0.5)
            assert sorted(fleet.notified_peers) == ["b", "c", "d"]
            fleet.links["a"].is_cut_off = False
            await anyio.sleep(0.5)
            assert len(fleet.keys()) == 1

        fleet.play(steps)

    def test_crashes_during_outage_are_appended_after_the_store_returns(self) -> None:
        fleet = Fleet()
        for name in "ab":
            fleet.start(name)
        fleet.has_peers = False

        async def steps() -> None:
            for link in fleet.links.values():
                link.is_cut_off = True
            fleet.report("a", *range(CRASH_THRESHOLD))
            await anyio.sleep(20.0)
            assert not fleet.is_quarantined("b")
            for link in fleet.links.values():
                link.is_cut_off = False
            await anyio.sleep(1.5)
            assert fleet.is_quarantined("b")

        fleet.play(steps)

    def test_only_one_instance_sends_a_probe(self) -> None:
        # Guards against one or two probes from each instance.
        fleet = Fleet()
        for name in "abcdef":
            fleet.start(name)
        claimed: list[tuple[Probe, ...]] = []

        async def claim(name: str) -> None:
            claimed.append(await fleet.feeds[name].claim_probes((DIGEST,)))

        async def steps() -> None:
            fleet.report("a", *range(CRASH_THRESHOLD))
            await anyio.sleep(31.0)
            async with anyio.create_task_group() as tasks:
                for name in "abcdef":
                    tasks.start_soon(claim, name)
            await anyio.sleep(0.5)
            async with anyio.create_task_group() as tasks:
                for name in "abcdef":
                    tasks.start_soon(claim, name)
            assert len([probe for probe in claimed if probe]) == 1

        fleet.play(steps)

    def test_probe_with_unanswered_claim_is_sent_by_another_instance(self) -> None:
        # Guards against a probe that is never sent but always counts as sent.
        fleet = Fleet()
        for name in "ab":
            fleet.start(name)

        async def steps() -> None:
            fleet.report("a", *range(CRASH_THRESHOLD), known_crashes=0)
            await anyio.sleep(1.5)
            fleet.outcomes["a"] = [StoreCallOutcome.UNANSWERED]
            assert await fleet.feeds["a"].claim_probes((DIGEST,)) == ()
            await anyio.sleep(2.5)
            assert await fleet.feeds["b"].claim_probes((DIGEST,))

        fleet.play(steps)

    def test_probe_returned_twice_does_not_drop_another_probe(self) -> None:
        # Guards against an additional probe for each append that is repeated after a lost answer.
        fleet = Fleet()
        for name in "abc":
            fleet.start(name)

        async def steps() -> None:
            fleet.report("a", *range(CRASH_THRESHOLD), known_crashes=0)
            await anyio.sleep(1.5)
            first = await fleet.feeds["a"].claim_probes((DIGEST,))
            assert first
            (first_key,) = fleet.probe_keys()
            fleet.feeds["a"].return_probe(first[0])
            await anyio.sleep(2.0)
            assert await fleet.feeds["b"].claim_probes((DIGEST,))
            fleet.store.put(QUARANTINE_STREAM, first_key, None)
            await anyio.sleep(2.0)
            assert await fleet.feeds["c"].claim_probes((DIGEST,)) == ()

        fleet.play(steps)

    def test_peer_returns_probe_of_instance_cut_off_from_store(self) -> None:
        # Guards against a probe that counts as sent until its instance can reach the store again.
        fleet = Fleet()
        for name in "abcdef":
            fleet.start(name)

        async def steps() -> None:
            fleet.report("a", *range(CRASH_THRESHOLD), known_crashes=0)
            await anyio.sleep(1.5)
            claimed = await fleet.feeds["a"].claim_probes((DIGEST,))
            assert claimed
            await anyio.sleep(0.5)
            fleet.links["a"].is_cut_off = True
            fleet.feeds["a"].return_probe(claimed[0])
            await anyio.sleep(1.0)
            assert fleet.probe_keys() == []

        fleet.play(steps)

    def test_unreadable_records_are_skipped(self) -> None:
        fleet = Fleet()
        fleet.start("a")
        for key, value in (
            ("", b"x"),
            (f"{DIGEST}/end-1", b"\xff"),
            (f"{DIGEST}/trial-x", b"{}"),
            (f"{DIGEST}/trial-7", b"{}"),
            ("no slash", None),
        ):
            fleet.store.put(QUARANTINE_STREAM, key, value)

        async def steps() -> None:
            fleet.report("a", *range(CRASH_THRESHOLD))
            await anyio.sleep(0.5)
            assert fleet.is_quarantined("a")

        fleet.play(steps)

    def test_expired_crashes_are_dropped_from_store(self) -> None:
        fleet = Fleet()
        for name in "ab":
            fleet.start(name)

        async def steps() -> None:
            fleet.report("a", 0)
            await anyio.sleep(600.0 + 600.0 + 30.0)
            assert fleet.feeds["b"].quarantine.is_empty
            assert fleet.keys() == []

        fleet.play(steps)


PART = part_suspect("part")


def part_attempt(request_id: str) -> BrokenAttempt:
    return BrokenAttempt(request_id, DIGEST, (AttemptSuspect(PART),))


class TestParts:
    def test_part_of_many_requests_costs_no_record(self) -> None:
        # Guards against records for each crash and answer of a part that all requests share.
        fleet = Fleet()
        feed = fleet.start("a")

        async def steps() -> None:
            feed.note_survived([PART])
            feed.report(upstream(0), part_attempt("r0"))
            await anyio.sleep(0.5)
            feed.note_survived([PART])
            await anyio.sleep(5.0)
            assert fleet.keys() == []
            assert feed.quarantine.is_empty

        fleet.play(steps)

    def test_answered_part_that_begins_to_crash_upstreams_is_quarantined(self) -> None:
        # Guards against a part that is taken for sound for good after an answer.
        fleet = Fleet()
        feed = fleet.start("a")

        async def steps() -> None:
            feed.note_survived([PART])
            for number in range(CRASH_THRESHOLD):
                feed.report(upstream(number), part_attempt(f"r{number}"))
                await anyio.sleep(0.5)
            await anyio.sleep(2.0)
            assert feed.quarantine.is_quarantined(PART.suspect_id, anyio.current_time())

        fleet.play(steps)

    def test_one_instance_drops_the_records_of_a_part_that_many_see_answered(self) -> None:
        # Guards against an append from each instance that sees an answer on the same part.
        fleet = Fleet()
        names = "abcdefgh"
        for name in names:
            fleet.start(name)

        async def steps() -> None:
            fleet.feeds["a"].report(upstream(0), part_attempt("r0"))
            await anyio.sleep(0.5)
            for name in names:
                fleet.feeds[name].note_survived([PART])
            await anyio.sleep(2.0)
            assert fleet.keys() == []
            assert all(feed.quarantine.is_empty for feed in fleet.feeds.values())
            written = fleet.store.read(QUARANTINE_STREAM, 0).records
            assert len(written) <= 1 + len(names) // 2

        fleet.play(steps)
