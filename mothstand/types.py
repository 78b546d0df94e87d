"""Types shared by the whole package."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType

BudgetName = NewType("BudgetName", str)
DataCentre = NewType("DataCentre", str)
Region = NewType("Region", str)
Shard = NewType("Shard", int)

#: Offset of the log record that opened an epoch; 0 if there is none yet.
Epoch = NewType("Epoch", int)

NO_EPOCH = Epoch(0)


@dataclass(frozen=True, slots=True)
class Member:
    """One process of the fleet.

    Parameters
    ----------
    name
        The instance's name, from its settings.
    incarnation
        An id generated at process start. A restarted process has the same name and address but no
        state; without this id it could confirm reservations that it never received.
    address
        ``IP:PORT`` of its peer protocol.
    callers_address
        ``IP:PORT`` on which it serves callers.
    """

    name: str
    incarnation: str
    address: str
    callers_address: str = ""
