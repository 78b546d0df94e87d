"""Tests of the send times that are assumed for requests that arrive during a stall."""

from __future__ import annotations

from ..core.stall_watch import TICK_S, StallWatch


def running_watch(until_s: float) -> StallWatch:
    watch = StallWatch()
    for tick in range(int(until_s / TICK_S) + 1):
        watch.tick(tick * TICK_S)
    return watch


class TestStallWatch:
    def test_requests_of_a_process_that_runs_were_sent_just_now(self) -> None:
        assert running_watch(5.0).sent_since_s(5.1) == 5.1

    def test_requests_that_are_read_on_waking(self) -> None:
        # Guards against requests of a stall that count for the retry budget as if sent after it.
        watch = running_watch(5.0)
        assert watch.sent_since_s(9.0) == 5.0
        watch.tick(9.0)
        assert watch.sent_since_s(9.1) == 5.0

    def test_the_backlog_ends(self) -> None:
        watch = running_watch(5.0)
        watch.tick(9.0)
        for tick in range(1, 20):
            watch.tick(9.0 + tick * TICK_S)
        assert watch.sent_since_s(13.1) == 13.1
