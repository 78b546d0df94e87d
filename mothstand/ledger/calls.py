"""What the ledger says to peers and gets back, and the interface that carries it."""

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
    keyed
        Whether `request_id` comes from the caller's idempotency key, so that it may come again.
    away
        Whether another data centre's leaseholder asks: it is answered at once, and asks no third.
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
    """Names a reservation: its epoch, its number there, and the two processes that know it.

    Parameters
    ----------
    home
        Address of the leaseholder that knows the request's key, where another data centre holds
        the reservation; else empty.
    """

    shard: Shard
    epoch: Epoch
    number: int
    holder: str
    witness: str
    key_holder: str = ""


@dataclass(frozen=True, slots=True)
class NotHolder:
    """Another process leads the shard; `hint` is its address, or empty when unknown."""

    hint: str


@dataclass(frozen=True, slots=True)
class KnownKey:
    """The request's key has come before; `owner` is the incarnation that runs or ran it."""

    owner: str
    is_finished: bool


ReserveReply = Ticket | Refusal | NotHolder | KnownKey


class PeerCalls(ABC):
    """Calls to other instances of the fleet; all raise `PeerError` when there is no answer."""

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
        """Hand over a usage; return whether the instance took it."""

    @abstractmethod
    async def report_posted(
        self, address: str, tickets: tuple[Ticket, ...], *, timeout_s: float
    ) -> None:
        """Say that the bills of these reservations are in the log."""
