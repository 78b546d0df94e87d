"""Limits on what an instance reads of an answer; more of it has no end."""

from __future__ import annotations

#: Maximum bytes of a body that is read as a whole.
MAX_BODY_BYTES = 16_000_000

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
