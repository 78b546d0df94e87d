"""Which parts of the sharing of uneven load are in force, by settings and the size of the fleet.

In a fleet of a few instances each one sees a good part of all requests, and what it measures itself
is enough. In a larger fleet a single instance knows next to nothing of the others' requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .fleet import FleetView


@dataclass(frozen=True, slots=True)
class LoadSharingPolicy:
    """Parts that the settings switch on.

    Parameters
    ----------
    min_instances
        Size of the fleet from which they are in force; 0 for never.
    redirects
        Whether a busy instance sends callers to other instances.
    prefill_schedule
        Whether the prompts that an engine reads are spread in time.
    """

    min_instances: int = 0
    redirects: bool = False
    prefill_schedule: bool = False


@dataclass(frozen=True, slots=True)
class LoadSharing:
    """Tells which parts are in force now."""

    policy: LoadSharingPolicy
    fleet: FleetView

    @property
    def redirects(self) -> bool:
        """Whether a busy instance sends callers to other instances."""
        return self.policy.redirects and self._is_large_fleet

    @property
    def prefill_schedule(self) -> bool:
        """Whether the prompts that an engine reads are spread in time."""
        return self.policy.prefill_schedule and self._is_large_fleet

    @property
    def _is_large_fleet(self) -> bool:
        min_instances = self.policy.min_instances
        return min_instances > 0 and self.fleet.size >= min_instances
