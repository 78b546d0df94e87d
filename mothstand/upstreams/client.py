"""HTTP to upstreams, with the one thing that refusals rest on: whether a byte may have left."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import httpx
from httpx_aiohttp import AiohttpTransport

from ..core.load_report import LOAD_FORMAT, LOAD_FORMAT_HEADER

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ..core.config import Upstream
    from ..settings.instance import TimingSection


#: Statuses by which an upstream says that it did not run a request.
NOT_RUN_STATUSES = (429, 503)


class NotRunError(Exception):
    """No byte of the request has left this process, or the upstream says that it did not run."""


class MayHaveRunError(Exception):
    """The connection failed after it stood: the upstream may have got the request."""


class UpstreamClient:
    """Sends requests to upstreams.

    Parameters
    ----------
    timing
        Timeouts for connecting and between two bytes.

    Notes
    -----
    A request leaves this process in `send` only. An error while connecting is `NotRunError`;
    anything later is `MayHaveRunError`, also where a kept connection turns out to be dead, which
    cannot be told from a request that was read and then lost. Calls that may not be repeated
    therefore get a new connection each.
    """

    def __init__(self, timing: TimingSection) -> None:
        timeout = httpx.Timeout(
            connect=timing.connect_timeout_s,
            read=timing.upstream_idle_s,
            write=timing.upstream_idle_s,
            pool=timing.connect_timeout_s,
        )
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=512)
        self._pooled = httpx.AsyncClient(
            transport=AiohttpTransport(limits=limits), timeout=timeout, trust_env=False
        )
        unpooled_limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
        self._unpooled = httpx.AsyncClient(
            transport=AiohttpTransport(limits=unpooled_limits), timeout=timeout, trust_env=False
        )

    @asynccontextmanager
    async def send(
        self,
        upstream: Upstream,
        path: str,
        body: bytes,
        *,
        headers: dict[str, str],
        at_most_once: bool = False,
    ) -> AsyncIterator[httpx.Response]:
        """Send a POST and give its response, body unread.

        Parameters
        ----------
        once
            The call may not be repeated.

        Raises
        ------
        NotRunError, MayHaveRunError
            Also while the caller reads the body inside the context.
        """
        client = self._unpooled if at_most_once else self._pooled
        headers = {**headers, LOAD_FORMAT_HEADER: LOAD_FORMAT}
        if at_most_once:
            headers["connection"] = "close"
        url = f"http://{upstream.address}{path}"
        try:
            async with client.stream("POST", url, content=body, headers=headers) as response:
                yield response
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise NotRunError(f"{upstream.name}: {error!r}") from error
        except httpx.HTTPError as error:
            raise MayHaveRunError(f"{upstream.name}: {error!r}") from error

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pooled.aclose()
        await self._unpooled.aclose()
