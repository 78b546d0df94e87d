"""Interface to the platform that an instance runs on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.routes import GatewayConfig
    from ..core.upstreams import RegisteredUpstream
    from ..types import DataCentre
    from .headers import HeaderTranslator
    from .store import Store, Stream


@dataclass(frozen=True, slots=True)
class PlatformParts:
    """Store, names and formats of the platform, expressed in the gateway's own types.

    Parameters
    ----------
    evacuated_data_centre
        Returns the data centre that a key of the configuration's stream evacuates; None for others.
    report_path, decode_born_ms
        Path at which an upstream reports its state, and the Unix time of its start in a report, in
        milliseconds; None if it does not say.
    """

    store: Store
    headers: HeaderTranslator
    config_stream: Stream
    config_key: str
    decode_config: Callable[[bytes], GatewayConfig]
    evacuated_data_centre: Callable[[str], DataCentre | None]
    upstreams_stream: Stream
    decode_upstream: Callable[[str, bytes], RegisteredUpstream]
    report_path: str
    decode_born_ms: Callable[[bytes], int | None]
