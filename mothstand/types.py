"""Names shared by the whole package."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType

BudgetName = NewType("BudgetName", str)
DataCentre = NewType("DataCentre", str)
Shard = NewType("Shard", int)

#: The offset of the log record that opened an epoch; 0 stands for "none yet".
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
        An id made at process start. A process restarted under the same name and address has an
        empty memory; without this id it could vouch for reservations that it never saw.
    address
        ``IP:PORT`` of its peer protocol.
    callers_address
        ``IP:PORT`` where it serves callers.
    """

    name: str
    incarnation: str
    address: str
    callers_address: str = ""
