"""Tests of the parts of the fleet's retry burst."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..core.burst_shares import BurstShares, SharerNotice

_ANNOUNCE_S = 4.0
_SPAN_S = 11.0


@dataclass
class Log:
    """Stream of announcements that all instances read in the same order."""

    records: list[tuple[str, str, SharerNotice | None]] = field(default_factory=list)
    read_to: dict[int, int] = field(default_factory=dict)

    def start(self, name: str, now_s: float, *, start: int = 1) -> BurstShares:
        shares = BurstShares(name, f"{name}-{start}", _SPAN_S, started_s=now_s)
        self.look(shares, now_s)
        return shares

    def read(self, shares: BurstShares, now_s: float) -> None:
        read_to = self.read_to.get(id(shares), 0)
        for offset, (name, incarnation, notice) in enumerate(self.records[read_to:], read_to):
            if notice is None:
                shares.retire(name)
            else:
                shares.note(name, incarnation, notice, offset, now_s)
        self.read_to[id(shares)] = len(self.records)
        shares.read(len(self.records), now_s, _ANNOUNCE_S)

    def look(self, shares: BurstShares, now_s: float) -> None:
        self.read(shares, now_s)
        notice = shares.notice(_ANNOUNCE_S)
        self.records.append((shares.name, shares.incarnation, notice))
        self.records += [(name, "", None) for name in shares.silent(now_s)]
        shares.announced(notice, now_s)

    def run(self, instances: list[BurstShares], from_s: float, to_s: float) -> None:
        """Let each instance read and announce, one after the other, every interval."""
        now_s = from_s
        while now_s < to_s:
            for shares in instances:
                self.look(shares, now_s)
            now_s += _ANNOUNCE_S


def fleet_of(log: Log, count: int) -> list[BurstShares]:
    """Return instances that started together and share the burst."""
    instances = [log.start(f"i{number}", 0.0) for number in range(count)]
    log.run(instances, 0.6, 12.0)
    return instances


class TestBurstShares:
    def test_instances_that_start_together_soon_share(self) -> None:
        log = Log()
        instances = [log.start(f"i{number}", 0.0) for number in range(6)]
        assert [shares.sharers(0.1) for shares in instances] == [0] * 6
        log.run(instances, 0.6, 8.0)
        assert [shares.sharers(8.0) for shares in instances] == [6] * 6

    def test_restart_waits_for_the_window_of_its_earlier_start(self) -> None:
        # Guards against use of a second part of the burst within one window.
        log = Log()
        others = fleet_of(log, 3)[1:]
        again = log.start("i0", 13.0, start=2)
        log.run([again, *others], 14.0, 20.0)
        assert again.sharers(13.0 + _SPAN_S - 0.1) == 0
        assert again.sharers(13.0 + _SPAN_S + 0.1) == 3

    def test_newcomer_waits_until_all_have_given_up_their_larger_parts(self) -> None:
        # Guards against parts that add up to more than the burst while a fleet grows.
        log = Log()
        old = fleet_of(log, 2)
        new = log.start("i9", 12.0)
        log.look(old[0], 13.0)
        log.look(new, 14.0)
        assert [old[0].sharers(14.0), old[1].sharers(14.0), new.sharers(14.0)] == [3, 2, 0]
        log.look(old[1], 16.0)
        log.look(new, 18.0)
        assert new.sharers(18.0 + _SPAN_S - 0.1) == 0
        log.run([*old, new], 20.0, 29.5)
        assert new.sharers(18.0 + _SPAN_S + 0.1) == 3

    def test_newcomer_that_one_cannot_see(self) -> None:
        # Guards against a new instance that divides the burst by more than an instance that cannot
        # read its announcement.
        log = Log()
        seeing, cut_off = fleet_of(log, 2)
        new = log.start("i9", 12.0)
        log.run([seeing, new], 13.0, 24.0)
        assert cut_off.sharers(24.0) == 2
        assert new.sharers(24.0) == 0

    def test_lease_ends_before_the_others_share_out_the_part(self) -> None:
        # Guards against a disconnected instance that uses a part which the others already use.
        log = Log()
        others = fleet_of(log, 3)
        cut_off = others.pop()
        used_until_s = max(s / 10 for s in range(120, 600) if cut_off.sharers(s / 10))
        now_s = 12.0
        while others[0].sharers(now_s) == 3:
            now_s += _ANNOUNCE_S
            log.run(others, now_s, now_s + _ANNOUNCE_S)
        assert now_s > used_until_s + _SPAN_S

    def test_return_after_the_others_shared_out_its_part(self) -> None:
        # Guards against an instance that still uses a part which it lost while disconnected.
        log = Log()
        others = fleet_of(log, 3)
        back = others.pop()
        log.run(others, 12.0, 60.0)
        assert others[0].sharers(60.0) == 2
        assert back.must_follow(60.0)
        log.look(back, 60.0)
        assert back.sharers(60.0) == 0
        log.run([*others, back], 61.0, 61.0 + 2 * _ANNOUNCE_S + _SPAN_S)
        assert back.sharers(61.0 + 2 * _ANNOUNCE_S + _SPAN_S) == 3

    def test_earlier_versions_are_counted_and_waited_for(self) -> None:
        log = Log()
        log.records.append(("old", "old-1", SharerNotice(-1, 60.0, may_have_used=True)))
        new = log.start("new", 0.0)
        log.run([new], 1.0, 40.0)
        assert new.sharers(40.0) == 0
