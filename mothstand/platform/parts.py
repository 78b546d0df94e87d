"""Factory of the platform's parts that a gateway instance uses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..gateway.platform_parts import PlatformParts
from .headers import PlatformHeaders
from .records import (
    CONFIG_KEY,
    CONFIG_STREAM,
    UPSTREAMS_STREAM,
    decode_config,
    decode_upstream,
    evacuated_data_centre,
)
from .reports import REPORT_PATH, decode_born_ms
from .store import HttpStore

if TYPE_CHECKING:
    from ..settings.gateway import GatewaySettings


def platform_parts(settings: GatewaySettings) -> PlatformParts:
    """Return the platform's parts for an instance's settings."""
    return PlatformParts(
        store=HttpStore(settings.store),
        headers=PlatformHeaders(),
        config_stream=CONFIG_STREAM,
        config_key=CONFIG_KEY,
        decode_config=decode_config,
        evacuated_data_centre=evacuated_data_centre,
        upstreams_stream=UPSTREAMS_STREAM,
        decode_upstream=decode_upstream,
        report_path=REPORT_PATH,
        decode_born_ms=decode_born_ms,
    )
