"""Simulated inference engine in fake time, with batching, prefill and a prefix cache.

It models no particular engine, only what routing can affect: a prompt whose prefix is cached needs
less prefill, the cache is limited, prefill runs in order of arrival, and each request decodes more
slowly in a fuller batch.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

#: Simulated time of one step.
STEP_S = 0.01


@dataclass(slots=True)
class Work:
    """A request at an engine and its progress.

    Parameters
    ----------
    prefix
        Name of the prompt's prefix, which requests can share.
    prefix_tokens, own_tokens
        Length of the prefix, and of the rest of the prompt.
    answer_tokens
        Length of the answer.
    """

    prefix: str
    prefix_tokens: int
    own_tokens: int
    answer_tokens: int
    arrived_s: float
    first_token_s: float | None = None
    is_cached: bool = False
    prefill_tokens_left: float = 0.0
    generated_tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class EngineSize:
    """Capacity of an engine.

    Parameters
    ----------
    slots
        Maximum number of requests in the batch; others wait.
    prefill_tokens_per_s, decode_tokens_per_s
        Throughput of the whole engine.
    request_tokens_per_s
        Maximum decoding rate of one request.
    cache_tokens
        Maximum total length of the cached prefixes; the least recently used ones go first.
    """

    slots: int = 16
    prefill_tokens_per_s: float = 20_000.0
    decode_tokens_per_s: float = 800.0
    request_tokens_per_s: float = 80.0
    cache_tokens: int = 24_000


@dataclass(slots=True)
class Engine:
    """An engine: its queue, batch and prefix cache."""

    size: EngineSize = field(default_factory=EngineSize)
    waiting: deque[Work] = field(default_factory=deque)
    batch: list[Work] = field(default_factory=list)
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)

    @property
    def load(self) -> int:
        """Number of requests that run or wait."""
        return len(self.waiting) + len(self.batch)

    def add(self, work: Work) -> None:
        """Queue a request."""
        self.waiting.append(work)

    def step(self, now_s: float) -> list[Work]:
        """Advance by `STEP_S` and return the requests that completed."""
        while self.waiting and len(self.batch) < self.size.slots:
            self._admit(self.waiting.popleft())
        self._prefill()
        return self._decode(now_s)

    def _admit(self, work: Work) -> None:
        work.is_cached = work.prefix in self.cache
        work.prefill_tokens_left = work.own_tokens + (0 if work.is_cached else work.prefix_tokens)
        self.cache[work.prefix] = work.prefix_tokens
        self.cache.move_to_end(work.prefix)
        while sum(self.cache.values()) > self.size.cache_tokens:
            self.cache.popitem(last=False)
        self.batch.append(work)

    def _prefill(self) -> None:
        budget = self.size.prefill_tokens_per_s * STEP_S
        for work in self.batch:
            done = min(budget, work.prefill_tokens_left)
            work.prefill_tokens_left -= done
            budget -= done

    def _decode(self, now_s: float) -> list[Work]:
        ready = [work for work in self.batch if work.prefill_tokens_left <= 0]
        if not ready:
            return []
        rate = min(self.size.request_tokens_per_s, self.size.decode_tokens_per_s / len(ready))
        for work in ready:
            work.generated_tokens += rate * STEP_S
            if work.first_token_s is None and work.generated_tokens >= 1:
                work.first_token_s = now_s
        ended = [work for work in ready if work.generated_tokens >= work.answer_tokens]
        if ended:
            self.batch = [work for work in self.batch if work.generated_tokens < work.answer_tokens]
        return ended
