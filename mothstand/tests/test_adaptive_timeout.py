"""Tests of the timeout after which a request is sent to another upstream."""

from __future__ import annotations

import pytest

from ..core.adaptive_timeout import AdaptiveTimeout


class TestAdaptiveTimeout:
    def test_timeout_follows_the_objective_while_upstreams_are_fast(self) -> None:
        timeout = AdaptiveTimeout()
        timeout.record_response_time("llm", 0.05)
        assert timeout.timeout_s("llm", 0.4) == pytest.approx(0.64)

    def test_short_objective_gets_the_minimum_timeout(self) -> None:
        assert AdaptiveTimeout().timeout_s("llm", 0.01) == 0.25

    def test_timeout_grows_while_upstreams_are_slow(self) -> None:
        """In a burst each prompt was read by two engines, which delayed all requests.

        All engines are slow and requests switched from one to the other, since the timeout followed
        only the objective and not the current response times.
        """
        timeout = AdaptiveTimeout()
        for _ in range(200):
            timeout.record_response_time("llm", 0.4)
        assert 1.19 < timeout.timeout_s("llm", 0.1) < 1.21
        assert timeout.timeout_s("plain", 0.1) == 0.25

    def test_timeout_is_capped(self) -> None:
        timeout = AdaptiveTimeout()
        timeout.record_response_time("llm", 30.0)
        assert timeout.timeout_s("llm", 10.0) == 1.5
