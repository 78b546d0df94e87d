"""How long a request waits for an upstream before another one is worth a try."""

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
        """Symptom: in a burst each prompt is read by two engines, and all are later for it.

        Sequence: all engines are slow; requests leave one for the other. Cause: patience knew the
        objective only, and not how long answers take at the moment.
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
