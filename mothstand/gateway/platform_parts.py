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
    """

    store: Store
    headers: HeaderTranslator
    config_stream: Stream
    config_key: str
    decode_config: Callable[[bytes], GatewayConfig]
    evacuated_data_centre: Callable[[str], DataCentre | None]
    upstreams_stream: Stream
    decode_upstream: Callable[[str, bytes], RegisteredUpstream]
