"""The configuration in force at one instance: from the log, or from a peer while the log is out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.config import ConfigFold, ConfigState
from ..events import Event, emit
from ..ledger.calls import PeerError
from ..settings.folder import validate_sections

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.records import ConfigPublished
    from ..peers.client import GrpcPeers


class Configuration:
    """Holds the highest accepted configuration; it never goes back.

    Parameters
    ----------
    on_change
        Called after a configuration came into force.
    """

    def __init__(self, on_change: Callable[[], None]) -> None:
        self.fold = ConfigFold(validate_sections)
        self._state = ConfigState()
        self._on_change = on_change

    @property
    def state(self) -> ConfigState:
        """The configuration in force."""
        return self._state

    def on_record(self, offset: int, record: ConfigPublished) -> None:
        """Apply one record of the ``config`` stream."""
        outcome = self.fold.apply(offset, record)
        if outcome.accepted:
            self._take(self.fold.state)
        else:
            emit(Event.CONFIG_REFUSED, offset=offset, reason=outcome.reason)

    async def fetch(self, peers: GrpcPeers, address: str) -> None:
        """Take a peer's configuration if it is newer than the one in force."""
        try:
            newer = await peers.config(address, self._state.offset, timeout_s=1.0)
        except PeerError:
            return
        if newer is None:
            return
        config = validate_sections(newer.sections)
        self._take(ConfigState(newer.offset, newer.sections, config))

    def _take(self, state: ConfigState) -> None:
        if state.offset <= self._state.offset:
            # The log, read from its start, lags behind what a peer handed over: never revert.
            return
        self._state = state
        emit(Event.CONFIG_IN_FORCE, offset=state.offset)
        self._on_change()
