"""Limits on what an instance reads of an answer; more of it has no end."""

from __future__ import annotations

from dataclasses import dataclass

#: Maximum bytes of a body that is read as a whole.
MAX_BODY_BYTES = 16_000_000

#: Bodies up to this size are read in any case, longer ones only while `MAX_HELD_BYTES` suffice.
MAX_SMALL_BODY_BYTES = 1_000_000
MAX_HELD_BYTES = 48_000_000

#: Maximum bytes of an event of a stream.
MAX_EVENT_BYTES = 1_000_000

#: Maximum bytes of a refusal that are read so that its connection can be used again.
MAX_REFUSAL_BYTES = 65_536

#: Maximum bytes of what an upstream says of itself.
MAX_REPORT_BYTES = 1_000_000

#: Maximum bytes of a response of the store.
MAX_STORE_BYTES = 64_000_000

#: Maximum answers that wait to be read on a connection, interim ones included.
MAX_UNREAD_ANSWERS = 8


class HeldBytesExceededError(Exception):
    """Raised if bodies would take more memory than they may."""


@dataclass(slots=True)
class HeldBytes:
    """Memory that the long bodies of all answers take together."""

    used_bytes: int = 0

    def take(self, size_bytes: int) -> None:
        """Take memory for a part of a body.

        Raises
        ------
        HeldBytesExceededError
            If there is not as much.
        """
        if self.used_bytes + size_bytes > MAX_HELD_BYTES:
            raise HeldBytesExceededError(f"answers would take more than {MAX_HELD_BYTES} bytes")
        self.used_bytes += size_bytes

    def give_back(self, size_bytes: int) -> None:
        """Give memory back that was taken."""
        self.used_bytes -= size_bytes
