"""The first second of an instance: callers wait for it instead of being turned away."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import anyio

from ..gateway.startup_wait import MAX_STARTUP_S, StartupWait
from ..process_start import listen_early
from ..testing.virtual_time import VirtualClock, run_in_virtual_time

if TYPE_CHECKING:
    from pathlib import Path


class TestListenEarly:
    def test_callers_can_connect_before_the_instance_is_ready(self, tmp_path: Path) -> None:
        """Symptom: after the death of all instances callers fail with no connection.

        Sequence: the machines are up again, their processes import for most of a second; callers
        connect, are turned away, try their one retry, and are turned away again.
        Cause: the socket was opened after the imports.
        """
        path = tmp_path / "settings.ini"
        path.write_text("[listen]\ncallers = 127.0.0.1:0\n")
        listener = listen_early(str(path))
        assert listener is not None
        with listener, socket.create_connection(listener.getsockname(), timeout=1.0) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\n\r\n")

    def test_unusable_settings_open_no_socket(self, tmp_path: Path) -> None:
        path = tmp_path / "settings.ini"
        for text in ("", "[listen]\n", "[listen]\ncallers = here\n", "no section"):
            path.write_text(text)
            assert listen_early(str(path)) is None
        assert listen_early(str(tmp_path / "missing.ini")) is None


class TestStartupWait:
    def waited_s(self, knows_after_s: float) -> float:
        """Return how long a request waits that comes 0.7 s after the start."""
        clock = VirtualClock()

        async def run() -> float:
            started_s = clock.monotonic_s()
            wait = StartupWait(clock, started_s, lambda: clock.monotonic_s() >= knows_s)
            knows_s = started_s + knows_after_s
            await anyio.sleep(0.7)
            began_s = clock.monotonic_s()
            await wait.wait()
            return clock.monotonic_s() - began_s

        return run_in_virtual_time(run)

    def test_request_waits_until_instance_can_serve(self) -> None:
        """Symptom: the first callers of a restarted instance are refused.

        Sequence: they have waited for its start, and are read before the store has answered.
        Cause: an instance without a configuration refused at once.
        """
        assert 0.04 < self.waited_s(0.75) < 0.08

    def test_request_waits_no_longer_than_the_limit_during_store_outage(self) -> None:
        assert self.waited_s(100.0) < MAX_STARTUP_S - 0.7 + 0.03

    def test_request_does_not_wait_when_instance_can_serve(self) -> None:
        assert self.waited_s(0.0) == 0.0
