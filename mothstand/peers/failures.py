"""What a call to another instance may end with."""

from __future__ import annotations


class PeerError(Exception):
    """A peer did not answer in time, or not usefully; what was asked may have taken effect."""


class PeerUnreachableError(PeerError):
    """No connection came about, so nothing was asked."""
