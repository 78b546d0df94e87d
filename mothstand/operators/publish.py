"""Publishes a folder of INI files through the log and waits until it is in force."""

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
    """Result of a publication.

    Parameters
    ----------
    offset
        Offset of the record, accepted or not. Without changes, the offset of the configuration in
        force.
    """

    offset: int
    outcome: Outcome
    changes: tuple[SectionChange, ...]


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Instances with and without a published configuration.

    Parameters
    ----------
    up_to_date, behind, unresponsive
        Names of instances: at or past its offset, before its offset, and without an answer.
    """

    up_to_date: tuple[str, ...]
    behind: tuple[str, ...]
    unresponsive: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Whether every listed instance has the configuration."""
        return not self.behind and not self.unresponsive


class Publisher:
    """Publisher of an operator's folder.

    Parameters
    ----------
    operator
        Name of the operator for the audit trail.
    """

    def __init__(self, log: LogClient, operator: str, clock: Clock) -> None:
        self._log = log
        self._operator = operator
        self._clock = clock
        # Drawn once per publication, so that an append retried after a lost answer keeps its id.
        self._author = f"{operator}:{uuid.uuid4().hex[:12]}"

    async def publish(self, sections: Sections, *, base_offset: int | None = None) -> PublishResult:
        """Append the folder's changes and return the decision of the fold.

        Parameters
        ----------
        base_offset
            Offset of the configuration that the folder was made from; the one in force if None.

        Raises
        ------
        LogError
            If the log does not answer. It may have the publication; run the command again.
        SettingsError
            If the configuration at `base_offset` is not in force.
        """
        fold = await read_config(self._log)
        if base_offset is not None and base_offset != fold.state.offset:
            raise SettingsError(
                f"base {base_offset} is not in force, {fold.state.offset} is;"
                " run 'mothstand diff', merge, and publish with that base"
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
        """Return the decision of every reader of the log on the record."""
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
    """Poll every listed instance until all have the configuration or the timeout passes.

    Parameters
    ----------
    report_progress
        Called with the status after each poll.
    poll_interval_s
        Time between two polls.
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
