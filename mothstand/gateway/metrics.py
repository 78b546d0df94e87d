"""Counters and latency histograms of one gateway instance."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..histograms import metric_lines, new_histogram, record_s

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram


_HISTOGRAMS = (
    "reserve_us",
    "first_event_us",
    "whole_us",
    "config_read_us",
    "loop_delay_us",
    "prefill_hold_us",
)


@dataclass(slots=True)
class GatewayMetrics:
    """Counters and histograms of an instance; the histograms are in microseconds."""

    counts: Counter[str] = field(default_factory=Counter)
    reserve_us: HdrHistogram = field(default_factory=new_histogram)
    first_event_us: HdrHistogram = field(default_factory=new_histogram)
    whole_us: HdrHistogram = field(default_factory=new_histogram)
    config_read_us: HdrHistogram = field(default_factory=new_histogram)
    loop_delay_us: HdrHistogram = field(default_factory=new_histogram)
    prefill_hold_us: HdrHistogram = field(default_factory=new_histogram)

    def record_first_event(self, elapsed_s: float) -> None:
        """Record the time from a request's arrival to its first event."""
        record_s(self.first_event_us, elapsed_s)

    def record_prefill_hold(self, elapsed_s: float) -> None:
        """Record for how long a long prompt is held."""
        record_s(self.prefill_hold_us, elapsed_s)

    def record_reserve(self, elapsed_s: float) -> None:
        """Record how long a reservation took."""
        record_s(self.reserve_us, elapsed_s)

    def record_total(self, elapsed_s: float) -> None:
        """Record the time from a request's arrival to its end."""
        record_s(self.whole_us, elapsed_s)

    def record_config_read(self, elapsed_s: float, size_bytes: int) -> None:
        """Record how long a read of the configuration took, with the wait for a new version."""
        record_s(self.config_read_us, elapsed_s)
        self.counts["config_bytes"] += size_bytes

    def record_loop_delay(self, delay_s: float) -> None:
        """Record how late the event loop resumed a task that slept."""
        record_s(self.loop_delay_us, max(0.0, delay_s))

    def text(self) -> str:
        """Return all metrics as lines of name and value."""
        lines = [f"mothstand_{name} {value}" for name, value in sorted(self.counts.items())]
        for name in _HISTOGRAMS:
            lines += metric_lines(name, getattr(self, name))
        return "\n".join(lines) + "\n"
