"""The two accounts of an epoch: the holder's, which spends, and the witness's, which limits it.

Nothing here knows of time or of who is alive. The holder asks its witness, in numbered batches,
to acknowledge each reservation; the witness's account is the authority. The witness sums by
reservation number and takes batches strictly in order, so a batch sent again, or a settlement that
comes with its reservation, can never make room twice.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from .records import BudgetSpend

if TYPE_CHECKING:
    from ..types import BudgetName, Epoch
    from .ledger_state import Grant


class Lane(Enum):
    """Which part of a grant a reservation draws on."""

    WITNESSED = "witnessed"
    OWN = "own"


@dataclass(slots=True)
class Reservation:
    """Tokens held for one request until its usage is known.

    Parameters
    ----------
    number
        Counts the reservations of one account.
    bound_tokens
        Upper bound of the usage.
    owner
        Incarnation of the instance that runs the request.
    """

    number: int
    request_id: str
    budget: BudgetName
    bound_tokens: int
    lane: Lane
    owner: str = ""


@dataclass(frozen=True, slots=True)
class Settlement:
    """The true usage of one reservation."""

    number: int
    used_tokens: int


@dataclass(frozen=True, slots=True)
class SettledRequest:
    """A settled reservation whose bill is not known to be in the log yet."""

    reservation: Reservation
    used_tokens: int


@dataclass(frozen=True, slots=True)
class MirrorBatch:
    """What the holder tells its witness at once; `number` counts the batches of an epoch from 1.

    Parameters
    ----------
    posted
        Numbers of settled reservations whose bills are in the log.
    """

    epoch: Epoch
    number: int
    reservations: tuple[Reservation, ...]
    settlements: tuple[Settlement, ...]
    posted: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class MirrorAnswer:
    """The witness's answer to a batch.

    Parameters
    ----------
    sealed
        The witness acknowledges nothing any more, this batch included.
    rejected
        Numbers of reservations that did not fit into what the witness may certify.
    """

    is_sealed: bool
    rejected: frozenset[int] = frozenset()


@dataclass(slots=True)
class _LaneSum:
    """Spent tokens of one lane: settled usage plus upper bounds of open reservations."""

    tokens: dict[BudgetName, int] = field(default_factory=dict)

    def add(self, budget: BudgetName, tokens: int) -> None:
        self.tokens[budget] = self.tokens.get(budget, 0) + tokens

    def budget_tokens(self, budget: BudgetName) -> int:
        return self.tokens.get(budget, 0)


class _Account:
    """Open reservations and lane sums, common to both sides."""

    def __init__(self, epoch: Epoch) -> None:
        self.epoch = epoch
        self.open_reservations: dict[int, Reservation] = {}
        self.unposted_requests: dict[int, SettledRequest] = {}
        self._sums = {lane: _LaneSum() for lane in Lane}

    def spent_tokens(self, budget: BudgetName, lane: Lane) -> int:
        """Return a lane's settled usage plus the bounds of its open reservations."""
        return self._sums[lane].budget_tokens(budget)

    def open_tokens(self, budget: BudgetName) -> int:
        """Return the upper bounds of the open reservations of a budget."""
        return sum(r.bound_tokens for r in self.open_reservations.values() if r.budget == budget)

    def budget_spends(self) -> tuple[BudgetSpend, ...]:
        """Return what this side vouches for, for an `EpochClosed` record."""
        budgets = sorted({b for lane in self._sums.values() for b in lane.tokens})
        return tuple(
            BudgetSpend(
                budget=budget,
                witnessed_tokens=self.spent_tokens(budget, Lane.WITNESSED),
                own_tokens=self.spent_tokens(budget, Lane.OWN),
            )
            for budget in budgets
        )

    def _add_reservation(self, reservation: Reservation) -> None:
        self.open_reservations[reservation.number] = reservation
        self._sums[reservation.lane].add(reservation.budget, reservation.bound_tokens)

    def _settle(self, settlement: Settlement) -> Reservation | None:
        reservation = self.open_reservations.pop(settlement.number, None)
        if reservation is None:
            return None
        # Usage above the reservation is never billed: the stream is cut at the bound.
        used = min(max(0, settlement.used_tokens), reservation.bound_tokens)
        self._sums[reservation.lane].add(reservation.budget, used - reservation.bound_tokens)
        if used > 0:
            self.unposted_requests[reservation.number] = SettledRequest(reservation, used)
        return reservation


class HolderAccount(_Account):
    """The leaseholder's account of its epoch.

    Parameters
    ----------
    epoch
        The epoch it may spend in.
    witnessed
        Whether the epoch has a witness. Without one, the whole grant is the holder's own.
    """

    def __init__(self, epoch: Epoch, *, has_witness: bool) -> None:
        super().__init__(epoch)
        self.has_witness = has_witness
        self.has_lost_epoch = False
        self._next_number = 1
        self._next_batch_number = 1
        self._unsent_reservations: list[Reservation] = []
        self._unsent_settlements: list[Settlement] = []
        self._unsent_posted_numbers: list[int] = []
        self._unanswered_batch: MirrorBatch | None = None

    @property
    def main_lane(self) -> Lane:
        """The lane that requests draw on while all is well."""
        return Lane.WITNESSED if self.has_witness else Lane.OWN

    def limit_tokens(self, grant: Grant, lane: Lane) -> int:
        """Return how much of a grant a lane may spend in all."""
        if not self.has_witness:
            limit = grant.granted_tokens if lane is Lane.OWN else 0
        elif lane is Lane.OWN:
            limit = grant.allowance_tokens
        else:
            limit = grant.granted_tokens - grant.allowance_tokens
        return limit

    def free_tokens(self, budget: BudgetName, grant: Grant, lane: Lane) -> int:
        """Return a lane's limit less its spend."""
        return self.limit_tokens(grant, lane) - self.spent_tokens(budget, lane)

    def reserve(
        self,
        request_id: str,
        budget: BudgetName,
        bound_tokens: int,
        *,
        grant: Grant,
        lane: Lane,
        owner: str = "",
    ) -> Reservation | None:
        """Reserve tokens, or return None when the lane has no room.

        A witnessed reservation may be used only after `batch_acked` names it.
        """
        if self.has_lost_epoch or bound_tokens > self.free_tokens(budget, grant, lane):
            return None
        reservation = Reservation(self._next_number, request_id, budget, bound_tokens, lane, owner)
        self._next_number += 1
        self._add_reservation(reservation)
        if lane is Lane.WITNESSED:
            self._unsent_reservations.append(reservation)
        return reservation

    def settle(self, number: int, used_tokens: int) -> Reservation | None:
        """Settle a reservation; return it, or None when it is settled or unknown already."""
        settlement = Settlement(number, used_tokens)
        reservation = self._settle(settlement)
        if reservation is None or reservation.lane is not Lane.WITNESSED:
            return reservation
        if reservation in self._unsent_reservations:
            # The witness never hears of it, so that a batch's settlements are all of earlier
            # batches and can be applied before its reservations.
            self._unsent_reservations.remove(reservation)
        else:
            self._unsent_settlements.append(settlement)
        return reservation

    def note_posted(self, number: int) -> None:
        """Note that the bill of a settled reservation is in the log."""
        settled = self.unposted_requests.pop(number, None)
        if settled is not None and settled.reservation.lane is Lane.WITNESSED:
            self._unsent_posted_numbers.append(number)

    def next_batch(self) -> MirrorBatch | None:
        """Return the batch to send next: the unanswered one again, else a new one, else None.

        One batch at a time: while it travels, newer reservations gather for the next one.
        """
        if self._unanswered_batch is None and (
            self._unsent_reservations or self._unsent_settlements or self._unsent_posted_numbers
        ):
            self._unanswered_batch = MirrorBatch(
                epoch=self.epoch,
                number=self._next_batch_number,
                reservations=tuple(self._unsent_reservations),
                settlements=tuple(self._unsent_settlements),
                posted=tuple(self._unsent_posted_numbers),
            )
            self._next_batch_number += 1
            self._unsent_reservations = []
            self._unsent_settlements = []
            self._unsent_posted_numbers = []
        return self._unanswered_batch

    def apply_answer(self, number: int, answer: MirrorAnswer) -> tuple[Reservation, ...]:
        """Take the witness's answer and return the reservations that may now be used."""
        batch = self._unanswered_batch
        if batch is None or batch.number != number:
            return ()
        self._unanswered_batch = None
        if answer.is_sealed:
            self.has_lost_epoch = True
            return ()
        for rejected in answer.rejected:
            self._settle(Settlement(rejected, 0))
        return tuple(r for r in batch.reservations if r.number in self.open_reservations)


class WitnessAccount(_Account):
    """The witness's account of an epoch: what its holder may have spent.

    Parameters
    ----------
    epoch
        The epoch it vouches for.
    """

    def __init__(self, epoch: Epoch) -> None:
        super().__init__(epoch)
        self.is_sealed = False
        self.is_promoted = False
        self._last_batch_number = 0
        self._last_answer = MirrorAnswer(is_sealed=False)
        self._next_own_number = -1

    def apply_batch(
        self, batch: MirrorBatch, grants: dict[BudgetName, Grant]
    ) -> MirrorAnswer | None:
        """Acknowledge what fits of a batch; return None for a batch out of order.

        Parameters
        ----------
        grants
            The epoch's grants as this process has read them in the log. Older ones than the
            holder's only make it acknowledge less.
        """
        if self.is_sealed:
            return MirrorAnswer(is_sealed=True)
        if batch.number == self._last_batch_number:
            return self._last_answer
        if batch.number != self._last_batch_number + 1:
            return None
        # Settlements first: the holder has given the room that they free to the reservations.
        for settlement in batch.settlements:
            self._settle(settlement)
        rejected = {r.number for r in batch.reservations if not self._acknowledge(r, grants)}
        for number in batch.posted:
            self.unposted_requests.pop(number, None)
        self._last_batch_number = batch.number
        self._last_answer = MirrorAnswer(is_sealed=False, rejected=frozenset(rejected))
        return self._last_answer

    def seal(self) -> None:
        """Acknowledge nothing any more. Only then may the epoch's rest be given to others."""
        self.is_sealed = True

    def promote(self) -> None:
        """Seal, and start to spend the epoch's promotion share; for when the log is out."""
        self.is_sealed = True
        self.is_promoted = True

    def free_own_tokens(self, budget: BudgetName, grant: Grant) -> int:
        """Return what a promoted witness may still reserve."""
        if not self.is_promoted:
            return 0
        witnessed = self.spent_tokens(budget, Lane.WITNESSED)
        unspent = grant.granted_tokens - grant.allowance_tokens - witnessed
        return min(unspent, grant.promotion_tokens) - self.spent_tokens(budget, Lane.OWN)

    def reserve_own(
        self,
        request_id: str,
        budget: BudgetName,
        bound_tokens: int,
        *,
        grant: Grant,
        owner: str = "",
    ) -> Reservation | None:
        """Reserve from the promotion share, or return None when it has no room."""
        if bound_tokens > self.free_own_tokens(budget, grant):
            return None
        reservation = Reservation(
            self._next_own_number, request_id, budget, bound_tokens, Lane.OWN, owner
        )
        self._next_own_number -= 1
        self._add_reservation(reservation)
        return reservation

    def settle(self, number: int, used_tokens: int) -> Reservation | None:
        """Settle a reservation that its holder can no longer settle, or one of its own."""
        return self._settle(Settlement(number, used_tokens))

    def note_posted(self, number: int) -> None:
        """Note that the bill of a settled reservation is in the log."""
        self.unposted_requests.pop(number, None)

    def stop_promotion(self) -> None:
        """Stop spending the promotion share, before the epoch is closed in the log."""
        self.is_promoted = False

    def _acknowledge(self, reservation: Reservation, grants: dict[BudgetName, Grant]) -> bool:
        grant = grants.get(reservation.budget)
        if grant is None:
            return False
        limit = grant.granted_tokens - grant.allowance_tokens
        spent = self.spent_tokens(reservation.budget, Lane.WITNESSED)
        if spent + reservation.bound_tokens > limit:
            return False
        self._add_reservation(reservation)
        return True
