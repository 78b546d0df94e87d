"""Requests that came while a process hung."""

from __future__ import annotations

from ..core.stall_detector import TICK_S, StallDetector


def running_detector(until_s: float) -> StallDetector:
    detector = StallDetector()
    for tick in range(int(until_s / TICK_S) + 1):
        detector.tick(tick * TICK_S)
    return detector


class TestStallDetector:
    def test_running_process_reads_requests_at_once(self) -> None:
        assert running_detector(5.0).earliest_send_s(5.1) == 5.1

    def test_requests_read_after_a_stall_may_date_from_its_start(self) -> None:
        # Guards against requests of a stall that pay for retries after it as if sent then.
        detector = running_detector(5.0)
        assert detector.earliest_send_s(9.0) == 5.0
        detector.tick(9.0)
        assert detector.earliest_send_s(9.1) == 5.0

    def test_backlog_ends_after_the_length_of_the_stall(self) -> None:
        detector = running_detector(5.0)
        detector.tick(9.0)
        for tick in range(1, 20):
            detector.tick(9.0 + tick * TICK_S)
        assert detector.earliest_send_s(13.1) == 13.1
