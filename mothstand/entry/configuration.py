"""The configuration in force at one instance: from the log, or from a peer while the log is out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.config import ConfigFold, ConfigState
from ..core.records import ConfigPublished, ConfigSnapshot
from ..events import Event, emit
from ..peers.failures import PeerError
from ..settings.folder import validate_sections

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..log.writer import LogWriter
    from ..peers.client import GrpcPeers


#: Records of the stream, and seconds, between two snapshots.
SNAPSHOT_EVERY_RECORDS = 50
SNAPSHOT_EVERY_S = 3600.0


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
        self._read_offset = 0
        self._snapshot_offset = 0
        self._snapshot_at_s = 0.0

    @property
    def state(self) -> ConfigState:
        """The configuration in force."""
        return self._state

    def on_record(self, offset: int, record: ConfigPublished | ConfigSnapshot) -> None:
        """Apply one record of the ``config`` stream."""
        self._read_offset = offset
        if isinstance(record, ConfigSnapshot):
            self._snapshot_offset = max(self._snapshot_offset, record.at_offset)
            return
        outcome = self.fold.apply(offset, record)
        if outcome.accepted:
            self._apply(self.fold.state)
        else:
            emit(Event.CONFIG_REFUSED, offset=offset, reason=outcome.reason)

    def load(self, snapshot: ConfigSnapshot) -> None:
        """Take the configuration from a snapshot, in place of the trimmed records."""
        self.fold.load(snapshot)
        self._read_offset = self._snapshot_offset = snapshot.at_offset
        self._apply(self.fold.state)

    def snapshot_if_due(self, writer: LogWriter[ConfigSnapshot], turn: int, now_s: float) -> None:
        """Append a snapshot once enough has come, or long enough has passed, since the last.

        Parameters
        ----------
        turn
            Place of this instance in the fleet's order: the first is due first.
        """
        record_count = self._read_offset - self._snapshot_offset
        is_old = now_s - self._snapshot_at_s > SNAPSHOT_EVERY_S * (1 + turn)
        if (
            self._snapshot_at_s
            and record_count < SNAPSHOT_EVERY_RECORDS * (1 + turn)
            and not is_old
        ):
            return
        if self._snapshot_at_s and self.fold.state.offset:
            at_offset = self._read_offset
            writer.submit(lambda record_id: self.fold.snapshot(record_id, at_offset))
            self._snapshot_offset = at_offset
        self._snapshot_at_s = now_s

    async def fetch(self, peers: GrpcPeers, address: str) -> None:
        """Take a peer's configuration if it is newer than the one in force."""
        try:
            newer = await peers.config(address, self._state.offset, timeout_s=1.0)
        except PeerError:
            return
        if newer is None:
            return
        config = validate_sections(newer.sections)
        self._apply(ConfigState(newer.offset, newer.sections, config))

    def _apply(self, state: ConfigState) -> None:
        if state.offset <= self._state.offset:
            # The log, read from its start, lags behind what a peer handed over: never revert.
            return
        self._state = state
        emit(Event.CONFIG_IN_FORCE, offset=state.offset)
        self._on_change()
