"""Tests of the account of what is held for callers."""

from __future__ import annotations

from ..core.caller_memory import CallerMemory, CallerMemoryPolicy, Holding
from ..core.connection_limit import ConnectionLimit
from ..testing.fakes import SkippingClock

_POLICY = CallerMemoryPolicy(small_bytes=10, progress_bytes=10, min_stall_s=1.0)


class _Account:
    """Account of 100 bytes whose holdings are closed when they are evicted."""

    def __init__(self) -> None:
        self.clock = SkippingClock()
        self.relieved = 0
        self.memory = CallerMemory(100, self.clock, _POLICY, self._note_relieved)

    def advance(self, duration_s: float) -> None:
        self.clock.advance_s += duration_s

    def _note_relieved(self) -> None:
        self.relieved += 1

    def hold(self, size_bytes: int, *, is_evictable: bool = False) -> Holding:
        holding = self.memory.open(lambda: self.memory.close(holding))
        assert self.memory.grow(holding, size_bytes)
        self.memory.set_evictable(holding, is_evictable=is_evictable)
        return holding


class TestCallerMemory:
    def test_capacity_follows_the_machine(self) -> None:
        policy = CallerMemoryPolicy()
        assert policy.capacity_bytes(160) == 42_000_000
        assert policy.capacity_bytes(300) == 112_000_000
        assert policy.capacity_bytes(20) == 8_000_000

    def test_large_holdings_leave_room_for_small_ones(self) -> None:
        account = _Account()
        account.hold(60)
        assert not account.memory.grow(account.memory.open(), 11)
        assert account.memory.grow(account.memory.open(), 10)

    def test_answer_may_take_more_than_a_request(self) -> None:
        account = _Account()
        account.hold(60)
        assert account.memory.grow(account.memory.open(is_answer=True), 25)
        assert not account.memory.grow(account.memory.open(is_answer=True), 11)

    def test_holding_that_grows_large_counts_as_large_as_a_whole(self) -> None:
        account = _Account()
        holdings = [account.hold(10) for _ in range(6)]
        assert all(account.memory.grow(holding, 5) for holding in holdings[:4])
        assert not account.memory.grow(holdings[4], 5)

    def test_longest_stalled_holding_is_evicted_first(self) -> None:
        account = _Account()
        first = account.hold(30, is_evictable=True)
        account.advance(0.5)
        second = account.hold(30, is_evictable=True)
        account.advance(0.6)
        account.hold(30)
        assert (first.size_bytes, second.size_bytes) == (0, 30)

    def test_progressing_holding_is_not_evicted(self) -> None:
        # Guards against slow callers that lose to new ones though they send on.
        account = _Account()
        slow = account.hold(30, is_evictable=True)
        account.advance(0.9)
        assert account.memory.grow(slow, 10)
        account.advance(0.9)
        assert not account.memory.grow(account.memory.open(), 30)
        assert slow.size_bytes == 40

    def test_single_bytes_are_no_progress(self) -> None:
        # Guards against callers that hold memory by sending a byte now and then.
        account = _Account()
        slow = account.hold(50, is_evictable=True)
        account.advance(0.9)
        assert account.memory.grow(slow, 1)
        account.advance(0.2)
        account.hold(30)
        assert slow.size_bytes == 0

    def test_relief_is_told_once_after_the_account_was_half_full(self) -> None:
        account = _Account()
        holding = account.hold(51)
        account.memory.close(holding)
        account.memory.close(account.hold(40))
        assert account.relieved == 1
        assert account.memory.used_bytes == 0


class TestConnectionLimit:
    def test_request_counts_twice_for_its_connection_to_an_upstream(self) -> None:
        limit = ConnectionLimit(4, open=3, busy=1)
        assert limit.has_room
        limit.busy += 1
        assert not limit.has_room

    def test_descriptors_are_kept_for_files_and_for_connections_of_the_instance(self) -> None:
        assert ConnectionLimit.of(4200, backlog=512).max_sockets == 4000 - 576
        assert ConnectionLimit.of(300, backlog=512).max_sockets == 169
