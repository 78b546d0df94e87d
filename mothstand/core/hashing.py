"""Hashes with which all instances make the same choice without communication."""

from __future__ import annotations

import xxhash


def rendezvous_weight(subject: str, name: str) -> int:
    """Return the weight of a name for a subject; the highest or lowest weight is chosen.

    Adding or removing a name changes the choice only for the subjects that it wins.
    """
    return xxhash.xxh3_64_intdigest(f"{subject}|{name}".encode())


def shard_index(name: str, shards: int) -> int:
    """Return the index of the shard that contains a name."""
    return xxhash.xxh3_64_intdigest(name.encode()) % shards
