"""Binds the resumption of a stream to the service and the software version that began it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.admission import random_retry_after_s
from ..core.stream_origins import StreamOrigin, only_possible_origin, stream_key
from ..errors import ErrorKind, Refusal, RefusedError
from ..events import Event, emit, rounded
from .process_check import ProcessIdentity
from .stream_origins import OriginSource

if TYPE_CHECKING:
    from ..clock import Clock
    from ..core.routes import GatewayConfig
    from ..core.upstreams import RegisteredUpstream, UpstreamDirectory
    from .call import Call
    from .process_check import ProcessCheck
    from .stream_origins import Lookup, StreamOrigins


class Resumptions:
    """Decides where resumed streams go on, and remembers where streams begin."""

    def __init__(
        self,
        origins: StreamOrigins,
        process_check: ProcessCheck,
        directory: UpstreamDirectory,
        clock: Clock,
    ) -> None:
        self._origins = origins
        self._process_check = process_check
        self._directory = directory
        self._clock = clock

    async def bind(self, call: Call, config: GatewayConfig) -> None:
        """Bind a resumption to its origin; other requests stay as they are.

        Raises
        ------
        RefusedError
            If its origin is not known and may be one of several, or its route no longer leads
            there. It has not run.
        """
        if not call.is_resumption:
            return
        lookup = await self._look_up(call)
        origin, source = lookup.origin, lookup.source
        if origin is None:
            origin, source = self._only_possible(call, lookup), OriginSource.ONLY_POSSIBLE
        if origin is None:
            known = (
                "all versions are known" if self._knows_all(lookup) else "versions may be unknown"
            )
            detail = f"{lookup.answered} of {lookup.asked} peers answered, {known}"
            raise RefusedError(
                Refusal(ErrorKind.RESUMPTION_UNKNOWN, detail, retry_after_s=random_retry_after_s())
            )
        if all(origin.service != d.service for d in call.route.destinations):
            detail = (
                f"{call.route.name} no longer leads to {origin.service}, which began the stream"
            )
            raise RefusedError(Refusal(ErrorKind.NO_UPSTREAM, detail))
        call.service = config.service(origin.service)
        call.origin = origin
        emit(
            Event.RESUMPTION_BOUND,
            request=call.fields.request_id,
            resumes=call.fields.logged_resumes,
            service=origin.service,
            version=origin.version,
            source=source.value,
            asked=lookup.asked,
            answered=lookup.answered,
            registrations_age_s=rounded(self._directory.age_s(self._clock.monotonic_s())),
        )

    async def may_send(self, call: Call, upstream: RegisteredUpstream) -> bool:
        """Return whether an upstream is the process whose version its registration tells.

        This is checked before a stream goes on, and before one begins while registrations are old.
        A new stream may begin at an upstream that does not answer the check.
        """
        if not call.route.is_resumable or not upstream.born_ms:
            return True
        is_current = self._directory.is_current(self._clock.monotonic_s())
        if call.origin is None and is_current:
            return True
        match await self._process_check.check(upstream):
            case ProcessIdentity.REGISTERED:
                return True
            case ProcessIdentity.REPLACED:
                return False
            case _:
                return is_current or call.origin is None

    def note_first_event(self, call: Call, upstream: RegisteredUpstream) -> None:
        """Bind a request to the upstream whose event is about to be the first of its answer.

        A caller may name the first request of a stream or a later one, depending on what reached
        it, so a resumption and the request that it resumes are both remembered.
        """
        if call.origin is None:
            call.origin = StreamOrigin(upstream.service, upstream.version)
        if not call.route.is_resumable:
            return
        for request_id in filter(None, (call.fields.request_id, call.fields.resumes)):
            self._origins.note_began(
                stream_key(call.workspace, request_id), call.origin, call.route
            )

    async def _look_up(self, call: Call) -> Lookup:
        key = stream_key(call.workspace, call.fields.resumes)
        return await self._origins.find(key, call.service.name)

    def _knows_all(self, lookup: Lookup) -> bool:
        """Return whether this instance, or a peer that it asked, knows all recent versions."""
        return self._origins.knows_all_versions or lookup.has_complete_peer

    def _only_possible(self, call: Call, lookup: Lookup) -> StreamOrigin | None:
        """Return the origin of a stream of which no holder knows, if it can have no other."""
        now_s = self._clock.monotonic_s()
        if not self._knows_all(lookup):
            # There may be, or have been, versions that this instance has not read of.
            return None
        self._origins.observe()
        # On a split route the share of each service may have changed since the stream began.
        is_only_service = len(call.route.destinations) == 1 and not (
            self._origins.routes.is_recent(call.route, now_s)
        )
        return only_possible_origin(
            call.service.name if is_only_service else None,
            self._origins.versions.versions(call.service.name, now_s),
        )
