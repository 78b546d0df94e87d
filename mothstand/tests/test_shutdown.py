"""Tests of the course of a planned stop."""

from __future__ import annotations

from ..core.shutdown import LAME_DUCK_S, Shutdown


class TestShutdown:
    def test_requests_are_taken_for_a_while(self) -> None:
        shutdown = Shutdown(8.0)
        assert not shutdown.refuses(100.0)
        shutdown.began_s = 100.0
        assert shutdown.is_stopping
        assert not shutdown.refuses(102.9)

    def test_request_on_a_kept_connection_late_in_a_stop(self) -> None:
        """A planned stop cut a stream (seed 37839141621 of 'mix').

        A request arrived on a kept-alive connection 5.9 s after SIGTERM, and its stream still ran
        when the process had to end, since requests were accepted until the end.
        """
        shutdown = Shutdown(8.0, began_s=26.2)
        assert shutdown.refuses(32.055)

    def test_ends_when_nothing_runs_any_more(self) -> None:
        shutdown = Shutdown(8.0, began_s=100.0)
        assert not shutdown.is_over(100.0 + LAME_DUCK_S - 0.1, running=0)
        assert not shutdown.is_over(104.0, running=1)
        assert shutdown.is_over(104.0, running=0)

    def test_ends_before_it_is_killed(self) -> None:
        assert Shutdown(8.0, began_s=100.0).is_over(106.9, running=3)

    def test_all_parts_end_before_it_is_killed(self) -> None:
        assert Shutdown(8.0, began_s=100.0).ends_s < 108.0
