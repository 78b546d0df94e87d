"""Publishes a folder of INI files through the log, and waits until it is in force."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from ..core.config import Sections, diff_sections
from ..core.records import ConfigPublished, Outcome, RecordId
from ..errors import SettingsError
from ..log.client import LogClient, LogError
from ..log.codec import encode
from ..log.instances import InstanceList, ListError
from ..peers.failures import PeerError
from ..streams import CONFIG_STREAM
from ..types import Member
from .log_view import read_config, read_stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..core.records import SectionChange
    from ..peers.client import GrpcPeers

_MAX_APPEND_ATTEMPTS = 20
_APPEND_RETRY_S = 0.25
_POLL_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class PublishResult:
    """What became of a publication.

    Parameters
    ----------
    offset
        Of the record, accepted or not; 0 when nothing had changed.
    """

    offset: int
    outcome: Outcome
    changes: tuple[SectionChange, ...]


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Where a configuration is in force.

    Parameters
    ----------
    reached, behind, silent
        Names of instances: at the offset or past it, still before it, and without an answer.
    """

    up_to_date: tuple[str, ...]
    behind: tuple[str, ...]
    unresponsive: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Whether every listed instance has it."""
        return not self.behind and not self.unresponsive


class Publisher:
    """Publishes one operator's folder.

    Parameters
    ----------
    operator
        Name for the audit trail.
    """

    def __init__(self, log: LogClient, operator: str, clock: Clock) -> None:
        self._log = log
        self._operator = operator
        self._clock = clock
        # A new author for each publication: a retry after a lost answer keeps its id.
        self._author = f"{operator}:{uuid.uuid4().hex[:12]}"

    async def publish(self, sections: Sections, *, base_offset: int | None = None) -> PublishResult:
        """Append the folder's changes and return what the fold decided.

        Parameters
        ----------
        base_offset
            The configuration that the folder was made from; what is in force if None.

        Raises
        ------
        LogError
            If the log does not answer. The publication may be in it; run the command again.
        SettingsError
            If `base_offset` is not what is in force.
        """
        fold = await read_config(self._log)
        if base_offset is not None and base_offset != fold.state.offset:
            raise SettingsError(
                f"base {base_offset} is not in force, {fold.state.offset} is;"
                " look at 'mothstand diff', merge, and publish from there"
            )
        changes = diff_sections(fold.state.sections, sections)
        if not changes:
            return PublishResult(fold.state.offset, Outcome(accepted=True), ())
        record = ConfigPublished(
            record_id=RecordId(self._author, 1),
            base_offset=fold.state.offset,
            changes=changes,
            operator=self._operator,
            time_utc=self._clock.now().isoformat(timespec="seconds"),
        )
        await self._append(encode((record,)))
        return await self._read_back(record)

    async def _append(self, payload: bytes) -> None:
        for attempt in range(_MAX_APPEND_ATTEMPTS):
            try:
                await self._log.append(CONFIG_STREAM, payload)
                return
            except LogError:
                if attempt == _MAX_APPEND_ATTEMPTS - 1:
                    raise
                await self._clock.sleep(_APPEND_RETRY_S)

    async def _read_back(self, record: ConfigPublished) -> PublishResult:
        """Return what every reader of the log decides about the record."""
        fold = await read_config(self._log)
        offsets = [
            offset
            for offset, other in await read_stream(self._log, CONFIG_STREAM)
            if other.record_id == record.record_id
        ]
        if not offsets:
            raise LogError("the record is not in the log; publish again")
        entry = next(entry for entry in fold.audit if entry.offset == offsets[0])
        return PublishResult(entry.offset, entry.outcome, record.changes)


async def wait_in_force(
    offset: int,
    listing: InstanceList,
    peers: GrpcPeers,
    clock: Clock,
    *,
    timeout_s: float,
    report_progress: Callable[[RolloutStatus], None],
    poll_interval_s: float = _POLL_INTERVAL_S,
) -> RolloutStatus:
    """Ask every listed instance until all have the configuration, or the time is up.

    Parameters
    ----------
    progress
        Called with each look.
    every_s
        Time between two looks.
    """
    deadline_s = clock.monotonic_s() + timeout_s
    while True:
        status = await _poll_instances(offset, listing, peers)
        report_progress(status)
        if status.is_complete or clock.monotonic_s() >= deadline_s:
            return status
        await clock.sleep(poll_interval_s)


async def _poll_instances(offset: int, listing: InstanceList, peers: GrpcPeers) -> RolloutStatus:
    try:
        listed = [i for i in await listing.read() if i.address and not i.leaving]
    except ListError:
        return RolloutStatus((), (), ("the platform's list",))
    up_to_date: list[str] = []
    behind: list[str] = []
    unresponsive: list[str] = []
    operator = Member("operator", "operator", "")

    async def ask(name: str, address: str) -> None:
        try:
            answer = await peers.probe(address, operator, timeout_s=1.0)
        except PeerError:
            unresponsive.append(name)
            return
        (up_to_date if answer.config_offset >= offset else behind).append(name)

    async with anyio.create_task_group() as tasks:
        for instance in listed:
            tasks.start_soon(ask, instance.name, instance.address)
    return RolloutStatus(
        tuple(sorted(up_to_date)), tuple(sorted(behind)), tuple(sorted(unresponsive))
    )
