"""A valid registration, as upstreams of the users' platform write it."""

from __future__ import annotations


def registration(
    service: str,
    address: str,
    *,
    data_centre: str = "sto-a",
    born_ms: int = 1_796_000_000_000,
    version: str = "v1",
) -> dict[str, object]:
    """Return the registration of an upstream that is ready for requests."""
    return {
        "service": service,
        "address": address,
        "zone": data_centre,
        "version": version,
        "slots": 8,
        "state": "ready",
        "sequence": 1,
        "cold_remaining_ms": 0,
        "born": born_ms,
    }
