"""Reads an upstream's word on its load, as it comes in a header of its answers.

The header is that of Open Request Cost Aggregation (ORCA), ``endpoint-load-metrics``, which engines
add to an answer when its request asks for it. The figures are of the answer's start, so they are
late; answers without one are common.
"""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict, Field, ValidationError

#: The answers' header, and the requests' that asks for it.
LOAD_HEADER = "endpoint-load-metrics"
LOAD_FORMAT_HEADER = "endpoint-load-metrics-format"
LOAD_FORMAT = "JSON"


class _NamedMetrics(BaseModel):
    model_config = ConfigDict(extra="ignore")
    num_requests_running: float = Field(ge=0, le=1e6)
    num_requests_waiting: float = Field(ge=0, le=1e6)


class _Metrics(BaseModel):
    model_config = ConfigDict(extra="ignore")
    named_metrics: _NamedMetrics


def read_load(header: str) -> int | None:
    """Return how many requests run or wait at an upstream, or None if the header does not say.

    Examples
    --------
    >>> read_load('JSON {"named_metrics": {"num_requests_running": 3, "num_requests_waiting": 1}}')
    4
    """
    format_name, _, text = header.partition(" ")
    if format_name != LOAD_FORMAT:
        return None
    try:
        metrics = _Metrics.model_validate_json(text).named_metrics
    except ValidationError:
        return None
    return int(metrics.num_requests_running + metrics.num_requests_waiting)
