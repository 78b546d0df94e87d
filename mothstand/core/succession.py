"""What a process gives back of the claims of its predecessor: the last start at its address."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from .claims import Holder
from .renewals import Renewal, RenewalLog, opening_after

if TYPE_CHECKING:
    from .claims import Claim, ClaimTable
    from .loans import Peer


@dataclass(slots=True)
class Succession:
    """Keeps the renewals that a proof about the predecessor rests on.

    Parameters
    ----------
    started_s, started_wall_s
        When this process started: on its monotonic clock, and its machine's time of day.
    first_sent_s
        When it first sent a renewal, on the monotonic clock; None before.
    """

    local_peer: Peer
    started_s: float
    started_wall_s: float
    first_sent_s: float | None = None
    renewals: RenewalLog = field(default_factory=RenewalLog)
    _predecessor_renewal: Renewal | None = None
    _first_renewal: Renewal | None = None

    def note_first_send(self, now_s: float) -> None:
        """Note that a renewal is being sent; only the first time counts."""
        if self.first_sent_s is None:
            self.first_sent_s = now_s

    def apply_renewal(self, renewal: Renewal) -> None:
        """Take a renewal of any process, in the order of the stream."""
        self.renewals.add(renewal)
        if renewal.peer.instance != self.local_peer.instance:
            return
        if renewal.peer != self.local_peer:
            self._predecessor_renewal = renewal
        elif self._first_renewal is None:
            self._first_renewal = renewal

    def reclaimable_claims(self, table: ClaimTable) -> list[Claim]:
        """Return the predecessor's claims without what it surely did not spend."""
        last, start = self._predecessor_renewal, self._first_renewal
        if last is None or start is None or self.first_sent_s is None:
            return []
        start_took_s = self.first_sent_s - self.started_s
        gap_s = self.renewals.max_gap_s(last, start, self.started_wall_s, start_took_s)
        if gap_s is None:
            return []
        holder = Holder(last.peer.instance, last.peer.incarnation)
        opening = opening_after(gap_s)
        claims = [held[holder] for held in table.claims.values() if holder in held]
        return [
            replace(claim, claimed_tokens=claim.limit_tokens(opening))
            for claim in claims
            if claim.claimed_tokens > claim.limit_tokens(opening)
        ]
