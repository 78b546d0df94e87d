"""Calls to plain services, at a flat price; calls that must not repeat run at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING, NoReturn

from ..core.intents import OUTCOME_UNKNOWN
from ..core.routing import RouteCall
from ..errors import ErrorKind, Refusal, RefusedError
from ..ledger.calls import KnownKey
from ..upstreams.client import NOT_RUN_STATUSES, MayHaveRunError, NotRunError
from .answers import REQUEST_ID_HEADER
from .budgeted import (
    Attempt,
    Budgeted,
    Charge,
    KnownKeyError,
    choose_upstream,
    try_upstreams,
)

if TYPE_CHECKING:
    from ..core.config import Service, Upstream
    from ..core.intents import Intent
    from .context import CallerRequest, EntryContext
    from .intents import IntentClaims
    from .sinks import AnswerSink

#: Maximum size of a plain service's answer.
MAX_ANSWER_BYTES = 10_000_000


class ServiceRun:
    """One call to a plain service.

    Parameters
    ----------
    name
        The service's name.
    path
        Path at the service, with its leading slash.
    """

    def __init__(
        self,
        context: EntryContext,
        claims: IntentClaims,
        request: CallerRequest,
        name: str,
        path: str,
    ) -> None:
        self._context = context
        self._claims = claims
        self._request = request
        self._path = path
        service = context.config().config.services.get(name)
        if service is None:
            raise RefusedError(Refusal(ErrorKind.UNKNOWN_SERVICE, f"service: {name!r}"))
        self._service: Service = service

    @property
    def _is_at_most_once(self) -> bool:
        return not self._service.idempotent

    async def run(self, sink: AnswerSink) -> None:
        """Reserve, claim where needed, dispatch and answer.

        Raises
        ------
        RefusedError
            Only if nothing of an answer has been sent.
        """
        choose_upstream(self._context, self._request, self._route(frozenset()))
        if self._is_at_most_once and self._request.is_keyed:
            self._check_claimed()
        price = self._service.tokens_per_call
        async with Budgeted(self._context, self._request, price) as charge:
            if not (self._is_at_most_once and self._request.is_keyed):
                await self._dispatch(charge, sink)
                return
            await self._dispatch_claimed(charge, sink)

    def _check_claimed(self) -> None:
        """Refuse a request whose key is known to be claimed, before any reservation."""
        intent = self._claims.fold.find(self._request.request_id)
        if intent is None:
            return
        if intent.body_digest != self._request.body_digest:
            raise RefusedError(Refusal(ErrorKind.KEY_REUSED))
        self._refuse_known_key(intent)

    def _refuse_known_key(self, intent: Intent) -> NoReturn:
        """Refuse a key that was claimed before, or raise so that its owner gets the request."""
        if intent.status == OUTCOME_UNKNOWN:
            raise RefusedError(Refusal(ErrorKind.OUTCOME_UNKNOWN, "under this key, before"))
        raise KnownKeyError(KnownKey(intent.owner.incarnation, intent.status is not None))

    async def _dispatch_claimed(self, charge: Charge, sink: AnswerSink) -> None:
        key = self._request.request_id
        intent = await self._claims.claim(key, self._request.body_digest)
        if not self._claims.is_held_locally(intent):
            self._refuse_known_key(intent)
        try:
            status = await self._dispatch(charge, sink)
        except RefusedError as refused:
            if refused.refusal.kind is ErrorKind.OUTCOME_UNKNOWN:
                self._claims.record_end(key, OUTCOME_UNKNOWN)
            else:
                self._claims.release(key)
            raise
        self._claims.record_end(key, status)

    def _route(self, tried: frozenset[str]) -> RouteCall:
        return RouteCall(
            serves=self._service.name,
            prefix=self._request.request_id,
            priority=self._request.caller.workspace.priority,
            tried_upstreams=tried,
        )

    async def _dispatch(self, charge: Charge, sink: AnswerSink) -> int:
        async def attempt(upstream: Upstream, _number: int) -> int:
            try:
                return await self._attempt(upstream, charge, sink)
            except MayHaveRunError as error:
                if not self._is_at_most_once:
                    raise
                # The call may have had its effect, so it is billed and not retried.
                charge.used_tokens = charge.bound_tokens
                raise RefusedError(Refusal(ErrorKind.OUTCOME_UNKNOWN, str(error))) from error

        return await try_upstreams(self._context, self._request, self._route, attempt)

    async def _attempt(self, upstream: Upstream, charge: Charge, sink: AnswerSink) -> int:
        headers = {REQUEST_ID_HEADER: self._request.request_id}
        if self._request.is_keyed:
            headers["idempotency-key"] = self._request.request_id
        with Attempt(self._context, upstream) as attempt:
            try:
                sending = self._context.upstreams.send(
                    upstream,
                    self._path,
                    self._request.body,
                    headers=headers,
                    at_most_once=self._is_at_most_once,
                )
                async with sending as response:
                    attempt.apply_load_report(response)
                    if response.status_code in NOT_RUN_STATUSES:
                        raise NotRunError("the service says that it did not run the call")
                    body = await response.aread()
                    kind = response.headers.get("content-type", "application/octet-stream")
                    status = response.status_code
            except (NotRunError, MayHaveRunError) as error:
                attempt.note_failure(error)
                raise
        charge.used_tokens = charge.bound_tokens
        answer_headers = {"content-type": kind, REQUEST_ID_HEADER: self._request.request_id}
        await sink.send_complete(status, answer_headers, body)
        return status
