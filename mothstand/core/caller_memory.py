"""Account of the memory that callers can make an instance hold, with a bound for all of it.

Heads and bodies in arrival, bodies that are kept for another attempt, requests behind a running
one and answers that callers have not taken are all counted here before they are held.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock

_BYTES_PER_MB = 1_000_000


@dataclass(frozen=True, slots=True)
class CallerMemoryPolicy:
    """How the memory of a machine is divided.

    Parameters
    ----------
    base_bytes
        Memory of the process without callers.
    share
        Part of the rest that callers get; what remains is for the allocator, for copies that last
        one pass of the event loop, and for connections to upstreams and peers.
    request_share, answer_share
        Part of that up to which large holdings may grow. An answer that cannot be held is lost
        though its request has run, so it may take more than requests. Only small holdings may take
        the remainder, so that ordinary requests are served beside large ones.
    small_bytes
        Holdings up to this size are small.
    min_stall_s
        A holding may be evicted if it has not progressed for this long.
    progress_bytes
        Bytes that count as progress; fewer would let a caller stay by sending single bytes.
    """

    base_bytes: int = 76_000_000
    share: float = 0.5
    request_share: float = 0.6
    answer_share: float = 0.85
    small_bytes: int = 131_072
    min_stall_s: float = 1.0
    progress_bytes: int = 16_384

    def capacity_bytes(self, memory_mb: float) -> int:
        """Return the memory that callers get on a machine, at least what one large body needs."""
        rest_bytes = memory_mb * _BYTES_PER_MB - self.base_bytes
        return max(_MIN_CAPACITY_BYTES, int(rest_bytes * self.share))


#: One body of the usual maximum size fits in the part for large holdings.
_MIN_CAPACITY_BYTES = 8_000_000


class Holding:
    """What one caller makes the instance hold in one place.

    Attributes
    ----------
    size_bytes
        Size that is counted.
    """

    __slots__ = ("_evict", "_unmarked_bytes", "is_answer", "progressed_s", "size_bytes")

    def __init__(self, evict: Callable[[], None] | None, *, is_answer: bool) -> None:
        self.size_bytes = 0
        self.progressed_s = 0.0
        self.is_answer = is_answer
        self._evict = evict
        self._unmarked_bytes = 0

    def note_bytes(self, size_bytes: int, progress_bytes: int) -> bool:
        """Count arrived bytes; return whether they are progress since the latest one."""
        self._unmarked_bytes += size_bytes
        if self._unmarked_bytes < progress_bytes:
            return False
        self._unmarked_bytes = 0
        return True

    def evict(self) -> None:
        """Make its owner drop it."""
        if self._evict is not None:
            self._evict()


class CallerMemory:
    """Account of all holdings of an instance.

    Parameters
    ----------
    capacity_bytes
        Bound for all holdings together.
    on_relieved
        Called when most of the memory has been given back after the account was half full.
    """

    def __init__(
        self,
        capacity_bytes: int,
        clock: Clock,
        policy: CallerMemoryPolicy | None = None,
        on_relieved: Callable[[], None] = lambda: None,
    ) -> None:
        self.capacity_bytes = capacity_bytes
        self.used_bytes = 0
        self.peak_bytes = 0
        self.evictions = 0
        self._policy = policy or CallerMemoryPolicy()
        self._large_bytes = 0
        self._clock = clock
        self._on_relieved = on_relieved
        self._was_half_full = False
        # Those that may be evicted, the one without progress for longest first.
        self._evictable: OrderedDict[Holding, None] = OrderedDict()

    def open(self, evict: Callable[[], None] | None = None, *, is_answer: bool = False) -> Holding:
        """Return a holding of no bytes yet.

        Parameters
        ----------
        evict
            Drops what is held and shrinks the holding; None if it is never evicted.
        is_answer
            Whether it is of a request that has run.
        """
        return Holding(evict, is_answer=is_answer)

    def grow(self, holding: Holding, size_bytes: int) -> bool:
        """Take memory for a holding; return whether there was as much.

        If there is not, holdings without progress are evicted first.
        """
        if not self.make_room(holding, size_bytes):
            return False
        self._resize(holding, holding.size_bytes + size_bytes)
        if holding in self._evictable and holding.note_bytes(
            size_bytes, self._policy.progress_bytes
        ):
            self.note_progress(holding)
        return True

    def resize(self, holding: Holding, size_bytes: int) -> bool:
        """Set the size of a holding; return whether there was as much."""
        if size_bytes > holding.size_bytes:
            return self.grow(holding, size_bytes - holding.size_bytes)
        self.shrink(holding, size_bytes)
        return True

    def make_room(self, holding: Holding, size_bytes: int) -> bool:
        """Return whether a holding can grow, if necessary by evicting others."""
        while not self._fits(holding, size_bytes):
            stalled = self._most_stalled(holding)
            if stalled is None:
                return False
            self.evictions += 1
            del self._evictable[stalled]
            stalled.evict()
        return True

    def shrink(self, holding: Holding, size_bytes: int) -> None:
        """Give memory back down to a size."""
        if size_bytes < holding.size_bytes:
            self._resize(holding, size_bytes)

    def close(self, holding: Holding) -> None:
        """Give all memory of a holding back."""
        self._evictable.pop(holding, None)
        self._resize(holding, 0)

    def set_evictable(self, holding: Holding, *, is_evictable: bool) -> None:
        """Say whether a holding may be evicted from now on."""
        if not is_evictable:
            self._evictable.pop(holding, None)
        elif holding not in self._evictable:
            self._evictable[holding] = None
            self.note_progress(holding)

    def note_progress(self, holding: Holding) -> None:
        """Note that a holding which may be evicted has progressed."""
        holding.progressed_s = self._clock.monotonic_s()
        self._evictable.move_to_end(holding)

    def _most_stalled(self, but: Holding) -> Holding | None:
        latest_s = self._clock.monotonic_s() - self._policy.min_stall_s
        for holding in self._evictable:
            if holding.progressed_s > latest_s:
                return None
            if holding is not but and holding.size_bytes:
                return holding
        return None

    def _fits(self, holding: Holding, size_bytes: int) -> bool:
        if self.used_bytes + size_bytes > self.capacity_bytes:
            return False
        new_bytes = holding.size_bytes + size_bytes
        if new_bytes <= self._policy.small_bytes:
            return True
        policy = self._policy
        share = policy.answer_share if holding.is_answer else policy.request_share
        large_bytes = self._large_bytes - self._counted_as_large(holding.size_bytes)
        return large_bytes + new_bytes <= self.capacity_bytes * share

    def _counted_as_large(self, size_bytes: int) -> int:
        return size_bytes if size_bytes > self._policy.small_bytes else 0

    def _resize(self, holding: Holding, size_bytes: int) -> None:
        self.used_bytes += size_bytes - holding.size_bytes
        self._large_bytes += self._counted_as_large(size_bytes)
        self._large_bytes -= self._counted_as_large(holding.size_bytes)
        holding.size_bytes = size_bytes
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)
        if self.used_bytes * 2 > self.capacity_bytes:
            self._was_half_full = True
        elif self._was_half_full and self.used_bytes * 8 < self.capacity_bytes:
            self._was_half_full = False
            self._on_relieved()
