"""Tests of the timeout after which a request is sent to another upstream."""

from __future__ import annotations

import pytest

from ..core.patience import Patience


class TestPatience:
    def test_by_the_objective_while_upstreams_are_quick(self) -> None:
        patience = Patience()
        patience.answered("llm", 0.05)
        assert patience.of("llm", 0.4) == pytest.approx(0.64)

    def test_a_short_objective_leaves_time_for_a_busy_upstream(self) -> None:
        assert Patience().of("llm", 0.01) == 0.25

    def test_slow_upstreams_are_waited_for_longer(self) -> None:
        """In a burst each prompt was read by two engines, which delayed all requests.

        All engines are slow and requests switched from one to the other, since the timeout followed
        only the objective and not the current response times.
        """
        patience = Patience()
        for _ in range(200):
            patience.answered("llm", 0.4)
        assert 1.19 < patience.of("llm", 0.1) < 1.21
        assert patience.of("plain", 0.1) == 0.25

    def test_callers_abandon_a_stream_that_waits_for_longer(self) -> None:
        patience = Patience()
        patience.answered("llm", 30.0)
        assert patience.of("llm", 10.0) == 1.5
