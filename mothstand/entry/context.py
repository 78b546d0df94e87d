"""What the request handlers of one instance share."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..errors import ErrorKind, Refusal, RefusedError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from ..clock import Clock
    from ..core.config import CallerKey, ConfigState, Workspace
    from ..core.membership import Membership
    from ..core.routing import Router
    from ..ledger.calls import KnownKey
    from ..ledger.service import LedgerService
    from ..upstreams.client import UpstreamClient
    from .metrics import Metrics
    from .sinks import AnswerStore


@dataclass(frozen=True, slots=True)
class Caller:
    """Who sent a request, by the key in its Authorization header."""

    key: CallerKey
    workspace: Workspace


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as it came in.

    Parameters
    ----------
    request_id
        Its id in the ledger and in the bills: made from workspace and idempotency key, so that a
        retry has the same, or made up.
    keyed
        Whether the caller sent an idempotency key.
    forwarded
        Whether another instance passed it on to this one, which runs it.
    """

    caller: Caller
    body: bytes
    request_id: str
    is_keyed: bool
    is_forwarded: bool

    @property
    def body_digest(self) -> str:
        """Digest of the body, to tell a retry from another request under the same key."""
        return hashlib.sha256(self.body).hexdigest()


@dataclass(slots=True)
class Activity:
    """Requests that run at this instance.

    Parameters
    ----------
    leaving
        The balancer should send no more; what comes is still served.
    stopping
        What comes is refused.
    """

    running_requests: int = 0
    is_stop_announced: bool = False
    is_refusing: bool = False


@dataclass(slots=True)
class EntryContext:
    """What the request handlers of one instance share.

    Parameters
    ----------
    spawn
        Starts work that outlives its request, such as a settlement.
    """

    config: Callable[[], ConfigState]
    ledger: LedgerService
    membership: Membership
    router: Router
    upstreams: UpstreamClient
    clock: Clock
    metrics: Metrics
    answers: AnswerStore
    spawn: Callable[[Coroutine[Any, Any, None]], None]
    activity: Activity = field(default_factory=Activity)

    def authenticate(self, authorization: str) -> Caller:
        """Return the caller of an Authorization header.

        Raises
        ------
        RefusedError
            If no workspace has the key.
        """
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != "bearer" or not key:
            raise RefusedError(Refusal(ErrorKind.UNAUTHORIZED))
        config = self.config().config
        found = config.keys_by_sha256.get(hashlib.sha256(key.strip().encode()).hexdigest())
        if found is None:
            raise RefusedError(Refusal(ErrorKind.UNAUTHORIZED))
        return Caller(found, config.workspaces[found.workspace])

    def sharer_count(self) -> int:
        """Return how many instances share this data centre's upstreams."""
        return max(1, len(self.membership.local_alive(self.clock.monotonic_s())))

    def owner_address(self, known: KnownKey) -> str:
        """Return the callers' address of the instance that runs or ran a keyed request, or ""."""
        member = self.membership.find(known.owner, self.clock.monotonic_s())
        return "" if member is None else member.callers_address
