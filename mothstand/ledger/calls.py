"""Messages of the ledger to peers, their replies, and the interface that sends them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..errors import Refusal

if TYPE_CHECKING:
    from ..core.accounts import MirrorAnswer, MirrorBatch
    from ..types import BudgetName, Epoch, Member, Shard


@dataclass(frozen=True, slots=True)
class ReserveCall:
    """A request for tokens.

    Parameters
    ----------
    owner
        Incarnation of the instance that will run the request.
    is_keyed
        Whether `request_id` is derived from the caller's idempotency key, so that it may recur.
    is_from_remote
        Whether another data centre's leaseholder sent the call: it is answered at once and not
        passed on to a third one.
    """

    shard: Shard
    request_id: str
    budget: BudgetName
    bound_tokens: int
    owner: str
    is_keyed: bool
    is_from_remote: bool = False


@dataclass(frozen=True, slots=True)
class Ticket:
    """Identifies a reservation by its epoch, its number there and the epoch's two processes.

    Parameters
    ----------
    key_holder
        Address of the local leaseholder, which indexes the request's key, if another data centre
        holds the reservation; else empty.
    """

    shard: Shard
    epoch: Epoch
    number: int
    holder: str
    witness: str
    key_holder: str = ""


@dataclass(frozen=True, slots=True)
class NotHolder:
    """Reply of a process that does not lead the shard.

    `hint` is the leaseholder's address, or empty if it is unknown.
    """

    hint: str


@dataclass(frozen=True, slots=True)
class KnownKey:
    """Reply for an idempotency key used before; `owner` is the incarnation that runs or ran it."""

    owner: str
    is_finished: bool


ReserveReply = Ticket | Refusal | NotHolder | KnownKey


class PeerCalls(ABC):
    """Calls to other instances of the fleet; all raise `PeerError` if the peer does not answer."""

    @abstractmethod
    async def mirror(
        self, witness: Member, shard: Shard, batch: MirrorBatch, *, timeout_s: float
    ) -> MirrorAnswer:
        """Ask the witness to acknowledge a batch."""

    @abstractmethod
    async def reserve(self, address: str, call: ReserveCall, *, timeout_s: float) -> ReserveReply:
        """Ask the instance at `address` for a reservation."""

    @abstractmethod
    async def settle(
        self, address: str, ticket: Ticket, used_tokens: int, request_id: str, *, timeout_s: float
    ) -> bool:
        """Report a request's usage; return whether the instance accepted it."""

    @abstractmethod
    async def report_posted(
        self, address: str, tickets: tuple[Ticket, ...], *, timeout_s: float
    ) -> None:
        """Report that the bills of these reservations are in the log."""
