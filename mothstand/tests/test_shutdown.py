"""The course of a planned stop."""

from __future__ import annotations

from ..core.shutdown import LAME_DUCK_S, Shutdown


class TestShutdown:
    def test_requests_are_accepted_early_in_a_stop(self) -> None:
        shutdown = Shutdown(8.0)
        assert not shutdown.refuses_requests(100.0)
        shutdown.began_s = 100.0
        assert shutdown.is_stopping
        assert not shutdown.refuses_requests(102.9)

    def test_request_late_in_a_stop_is_refused(self) -> None:
        """Symptom: a planned stop cuts a stream.

        Sequence: SIGTERM; 5.9 s later a request comes on a connection that was kept; its stream
        still runs when the process must end.
        Cause: requests were taken until the very end. Found at seed 37839141621 of 'mix'.
        """
        shutdown = Shutdown(8.0, began_s=26.2)
        assert shutdown.refuses_requests(32.055)

    def test_stop_is_over_when_no_request_runs(self) -> None:
        shutdown = Shutdown(8.0, began_s=100.0)
        assert not shutdown.is_over(100.0 + LAME_DUCK_S - 0.1, running=0)
        assert not shutdown.is_over(104.0, running=1)
        assert shutdown.is_over(104.0, running=0)

    def test_stop_is_over_before_the_process_is_killed(self) -> None:
        assert Shutdown(8.0, began_s=100.0).is_over(106.9, running=3)

    def test_deadline_is_before_the_process_is_killed(self) -> None:
        assert Shutdown(8.0, began_s=100.0).deadline_s < 108.0
