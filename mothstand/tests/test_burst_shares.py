"""Tests of the parts of the fleet's retry burst."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..core.burst_shares import BurstShares, SharerNotice

_ANNOUNCE_INTERVAL_S = 4.0
_SPAN_S = 11.0


@dataclass
class AnnouncementLog:
    """Stream of announcements that all instances read in the same order."""

    records: list[tuple[str, str, SharerNotice | None]] = field(default_factory=list)
    read_to: dict[int, int] = field(default_factory=dict)

    def start(self, name: str, now_s: float, *, start: int = 1) -> BurstShares:
        shares = BurstShares(name, f"{name}-{start}", _SPAN_S, started_s=now_s)
        self.read_and_announce(shares, now_s)
        return shares

    def read(self, shares: BurstShares, now_s: float) -> None:
        read_to = self.read_to.get(id(shares), 0)
        for offset, (name, incarnation, notice) in enumerate(self.records[read_to:], read_to):
            if notice is None:
                shares.retire(name)
            else:
                shares.apply_announcement(name, incarnation, notice, offset, now_s)
        self.read_to[id(shares)] = len(self.records)
        shares.note_read(len(self.records), now_s, _ANNOUNCE_INTERVAL_S)

    def read_and_announce(self, shares: BurstShares, now_s: float) -> None:
        self.read(shares, now_s)
        notice = shares.next_notice(_ANNOUNCE_INTERVAL_S)
        self.records.append((shares.name, shares.incarnation, notice))
        self.records += [(name, "", None) for name in shares.expired_names(now_s)]
        shares.note_announced(notice, now_s)

    def run(self, instances: list[BurstShares], from_s: float, to_s: float) -> None:
        """Let each instance read and announce, one after the other, every interval."""
        now_s = from_s
        while now_s < to_s:
            for shares in instances:
                self.read_and_announce(shares, now_s)
            now_s += _ANNOUNCE_INTERVAL_S


def start_fleet(log: AnnouncementLog, count: int) -> list[BurstShares]:
    """Return instances that started together and share the burst."""
    instances = [log.start(f"i{number}", 0.0) for number in range(count)]
    log.run(instances, 0.6, 12.0)
    return instances


class TestBurstShares:
    def test_instances_started_together_share_within_eight_seconds(self) -> None:
        log = AnnouncementLog()
        instances = [log.start(f"i{number}", 0.0) for number in range(6)]
        assert [shares.sharers(0.1) for shares in instances] == [0] * 6
        log.run(instances, 0.6, 8.0)
        assert [shares.sharers(8.0) for shares in instances] == [6] * 6

    def test_restarted_instance_waits_for_window_of_earlier_start(self) -> None:
        # Guards against use of a second part of the burst within one window.
        log = AnnouncementLog()
        others = start_fleet(log, 3)[1:]
        restarted = log.start("i0", 13.0, start=2)
        log.run([restarted, *others], 14.0, 20.0)
        assert restarted.sharers(13.0 + _SPAN_S - 0.1) == 0
        assert restarted.sharers(13.0 + _SPAN_S + 0.1) == 3

    def test_new_instance_waits_until_larger_parts_are_out_of_use(self) -> None:
        # Guards against parts that add up to more than the burst while a fleet grows.
        log = AnnouncementLog()
        old = start_fleet(log, 2)
        new = log.start("i9", 12.0)
        log.read_and_announce(old[0], 13.0)
        log.read_and_announce(new, 14.0)
        assert [old[0].sharers(14.0), old[1].sharers(14.0), new.sharers(14.0)] == [3, 2, 0]
        log.read_and_announce(old[1], 16.0)
        log.read_and_announce(new, 18.0)
        assert new.sharers(18.0 + _SPAN_S - 0.1) == 0
        log.run([*old, new], 20.0, 29.5)
        assert new.sharers(18.0 + _SPAN_S + 0.1) == 3

    def test_new_instance_has_no_part_while_a_sharer_cannot_read(self) -> None:
        # Guards against a new instance that divides the burst by more than an instance that cannot
        # read its announcement.
        log = AnnouncementLog()
        connected, cut_off = start_fleet(log, 2)
        new = log.start("i9", 12.0)
        log.run([connected, new], 13.0, 24.0)
        assert cut_off.sharers(24.0) == 2
        assert new.sharers(24.0) == 0

    def test_lease_ends_before_others_reuse_the_part(self) -> None:
        # Guards against a cut-off instance that uses a part which the others already use.
        log = AnnouncementLog()
        others = start_fleet(log, 3)
        cut_off = others.pop()
        used_until_s = max(s / 10 for s in range(120, 600) if cut_off.sharers(s / 10))
        now_s = 12.0
        while others[0].sharers(now_s) == 3:
            now_s += _ANNOUNCE_INTERVAL_S
            log.run(others, now_s, now_s + _ANNOUNCE_INTERVAL_S)
        assert now_s > used_until_s + _SPAN_S

    def test_returning_instance_has_no_part_until_counted_again(self) -> None:
        # Guards against an instance that still uses a part which it lost while it was cut off.
        log = AnnouncementLog()
        others = start_fleet(log, 3)
        returning = others.pop()
        log.run(others, 12.0, 60.0)
        assert others[0].sharers(60.0) == 2
        assert returning.must_append_after_read(60.0)
        log.read_and_announce(returning, 60.0)
        assert returning.sharers(60.0) == 0
        log.run([*others, returning], 61.0, 61.0 + 2 * _ANNOUNCE_INTERVAL_S + _SPAN_S)
        assert returning.sharers(61.0 + 2 * _ANNOUNCE_INTERVAL_S + _SPAN_S) == 3

    def test_new_instance_waits_for_announcement_of_earlier_version(self) -> None:
        log = AnnouncementLog()
        log.records.append(("old", "old-1", SharerNotice(-1, 60.0, may_have_used=True)))
        new = log.start("new", 0.0)
        log.run([new], 1.0, 40.0)
        assert new.sharers(40.0) == 0
