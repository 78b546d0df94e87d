"""Runs one request within a reservation and bills it once, however it ends."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from returns.result import Failure, Success

from ..core.load_report import LOAD_HEADER, read_load
from ..errors import ErrorKind, Refusal, RefusedError
from ..events import Event, emit
from ..histograms import record_s
from ..ledger.calls import KnownKey, Ticket
from ..upstreams.client import MayHaveRunError, NotRunError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from types import TracebackType

    import httpx

    from ..core.config import Upstream
    from ..core.routing import RouteCall
    from .context import CallerRequest, EntryContext

_T = TypeVar("_T")

#: Maximum number of upstreams that one request tries: retries must not multiply an overload.
MAX_ATTEMPTS = 3


class KnownKeyError(Exception):
    """The request's idempotency key was used before; its request runs or has finished."""

    def __init__(self, known: KnownKey) -> None:
        super().__init__(known.owner)
        self.known = known


@dataclass(slots=True)
class Charge:
    """A reservation in use; `used_tokens` is billed when the request ends."""

    ticket: Ticket
    bound_tokens: int
    used_tokens: int = 0


class Budgeted:
    """Context of a request's run: reserves on entry, bills and settles on exit.

    Parameters
    ----------
    bound_tokens
        Upper bound of the request's usage.

    Raises
    ------
    RefusedError
        On entry, if the budget does not cover the request.
    KnownKeyError
        On entry, if the request's key was used before.
    """

    def __init__(self, context: EntryContext, request: CallerRequest, bound_tokens: int) -> None:
        self._context = context
        self._request = request
        self._bound_tokens = bound_tokens
        self._charge: Charge | None = None

    async def __aenter__(self) -> Charge:
        """Reserve."""
        started_s = self._context.clock.monotonic_s()
        reply = await self._context.ledger.reserve(
            self._request.caller.key.budget,
            self._request.request_id,
            self._bound_tokens,
            is_keyed=self._request.is_keyed,
        )
        elapsed_s = self._context.clock.monotonic_s() - started_s
        record_s(self._context.metrics.reserve_us, elapsed_s)
        if isinstance(reply, Refusal):
            raise RefusedError(reply)
        if isinstance(reply, KnownKey):
            raise KnownKeyError(reply)
        self._charge = Charge(reply, self._bound_tokens)
        return self._charge

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Bill and settle in the background: the caller's answer does not depend on it."""
        assert self._charge is not None, "entered"
        used = min(self._charge.used_tokens, self._charge.bound_tokens)
        self._context.metrics.counts["billed_tokens"] += used
        settle = self._context.ledger.settle(
            self._charge.ticket, self._request.caller.key.budget, self._request.request_id, used
        )
        self._context.spawn(settle)


def choose_upstream(context: EntryContext, request: CallerRequest, call: RouteCall) -> Upstream:
    """Return the upstream for a request.

    Raises
    ------
    RefusedError
        If none can be used or all are full.
    """
    state = context.config()
    chosen = context.router.choose(
        call,
        state.config,
        sharers=context.sharer_count(),
        now_utc=context.clock.now(),
        now_s=context.clock.monotonic_s(),
    )
    match chosen:
        case Success(upstream):
            return upstream
        case Failure(refusal):
            raise RefusedError(refusal)
        case _:
            raise AssertionError(chosen)


class Attempt:
    """One attempt of a request at one upstream: counts it in flight and records its failure."""

    def __init__(self, context: EntryContext, upstream: Upstream) -> None:
        self._context = context
        self._upstream = upstream
        self._started_s = 0.0
        self.has_failed = False

    def __enter__(self) -> Attempt:
        """Count the request as in flight."""
        self._started_s = self._context.clock.monotonic_s()
        self._context.router.note_started(self._upstream.name)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Record the end of the request."""
        now_s = self._context.clock.monotonic_s()
        elapsed_s = now_s - self._started_s
        self._context.router.note_ended(
            self._upstream.name, failed=self.has_failed, elapsed_s=elapsed_s, now_s=now_s
        )

    def apply_load_report(self, response: httpx.Response) -> None:
        """Pass the load report in the answer's headers to the router."""
        load = read_load(response.headers.get(LOAD_HEADER, ""))
        if load is not None:
            now_s = self._context.clock.monotonic_s()
            self._context.router.note_load_report(self._upstream.name, load, now_s)

    def note_failure(self, error: Exception) -> None:
        """Record a failure of the upstream."""
        self.has_failed = True
        emit(Event.UPSTREAM_FAILED, upstream=self._upstream.name, error=str(error))


async def try_upstreams(
    context: EntryContext,
    request: CallerRequest,
    route: Callable[[frozenset[str]], RouteCall],
    attempt: Callable[[Upstream, int], Awaitable[_T]],
) -> _T:
    """Return the result of the first successful attempt.

    Parameters
    ----------
    route
        Returns the input of routing, given the upstreams that were tried.
    attempt
        Sends the request to an upstream; attempts are numbered from 1.

    Raises
    ------
    RefusedError
        If no upstream is left or `MAX_ATTEMPTS` have failed. It says "not run" only if no attempt
        can have reached an upstream.
    """
    tried: frozenset[str] = frozenset()
    last_error: Exception | None = None
    may_have_run = False
    for number in range(1, MAX_ATTEMPTS + 1):
        try:
            upstream = choose_upstream(context, request, route(tried))
        except RefusedError:
            if last_error is None:
                raise
            break
        try:
            return await attempt(upstream, number)
        except NotRunError as error:
            last_error = error
        except MayHaveRunError as error:
            last_error = error
            may_have_run = True
        tried |= {upstream.name}
    kind = ErrorKind.OUTCOME_UNKNOWN if may_have_run else ErrorKind.NO_UPSTREAM
    raise RefusedError(Refusal(kind, f"{len(tried)} tried; the last: {last_error}")) from last_error
