"""Counts and latency histograms of one instance."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..histograms import metric_lines, new_histogram

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram


@dataclass(slots=True)
class Metrics:
    """Metrics of an instance; histograms are in microseconds."""

    counts: Counter[str] = field(default_factory=Counter)
    reserve_us: HdrHistogram = field(default_factory=new_histogram)
    first_byte_us: HdrHistogram = field(default_factory=new_histogram)
    whole_us: HdrHistogram = field(default_factory=new_histogram)

    def text(self) -> str:
        """Return all metrics as lines of name and value."""
        lines = [f"mothstand_{name} {value}" for name, value in sorted(self.counts.items())]
        for name in ("reserve_us", "first_byte_us", "whole_us"):
            lines += metric_lines(name, getattr(self, name))
        return "\n".join(lines) + "\n"
