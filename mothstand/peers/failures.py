"""Exceptions of calls to other instances."""

from __future__ import annotations


class PeerError(Exception):
    """A peer gave no usable answer in time; the call may have taken effect."""


class PeerUnreachableError(PeerError):
    """No connection was established, so the call had no effect."""
