"""Tests that signals, in any number and order, end no process that they should not end."""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
import threading
import time
from typing import TYPE_CHECKING

import httpx
import pytest

from ..testing.fleet import wait_until
from ..testing.gateway_fleet import GatewayFleet

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence
    from pathlib import Path

pytestmark = pytest.mark.processes

_TERM, _HUP, _INT = signal.SIGTERM, signal.SIGHUP, signal.SIGINT

_REQUESTS = 8

#: Program that takes the steps of a process's life, each with a line at its beginning.
_PROGRAM = """
import anyio, sys, time
from mothstand.process_signals import ProcessSignals

def say(step):
    print(step, flush=True)

async def run():
    say("waiting")
    await signals.stop_requested()
    say("stopping")
    with anyio.move_on_after(0.5):
        while True:
            await signals.next()

signals = ProcessSignals.receive()
say("starting")
time.sleep(0.3)
anyio.run(run, backend_options={"use_uvloop": sys.argv[1] == "uvloop"})
say("loop closed")
time.sleep(0.3)
signals.ignore()
say("ending")
time.sleep(0.3)
"""


def _accepts_connections(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout=1.0).close()
    except OSError:
        return False
    return True


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[GatewayFleet]:
    """Return a fleet with a configuration and an engine whose answers take a second."""
    with GatewayFleet(tmp_path) as fleet:
        fleet.publish(prepaid_tokens=1_000_000)
        fleet.start_engine("e-1", event_s=0.2)
        yield fleet


class TestStop:
    @pytest.mark.parametrize(
        "numbers",
        [(_TERM, _HUP), (_TERM, _TERM), (_HUP, _TERM, _INT, _HUP, _TERM, _HUP)],
        ids=["reload", "second stop", "series"],
    )
    def test_requests_are_finished_whatever_signals_come_in_a_stop(
        self, fleet: GatewayFleet, numbers: Sequence[signal.Signals]
    ) -> None:
        # Guards against a planned stop that a further signal turns into the loss of its requests.
        instance = fleet.start_instance("a")
        statuses: list[int] = []

        def ask(number: int) -> None:
            statuses.append(fleet.send_request(instance, f"r-{number}").status_code)

        asking = [threading.Thread(target=ask, args=(n,)) for n in range(_REQUESTS)]
        for thread in asking:
            thread.start()
        time.sleep(0.3)
        for number in numbers:
            instance.process.send_signal(number)
            time.sleep(0.05)
        for thread in asking:
            thread.join()
        # Claims are given back and peers closed in the last part of the stop.
        while instance.process.poll() is None:
            instance.process.send_signal(_HUP)
            instance.process.send_signal(_TERM)
            time.sleep(0.02)
        assert statuses == [200] * _REQUESTS
        assert instance.process.returncode == 0
        assert '"still_claimed": {}' in fleet.log(instance)

    def test_reloads_during_a_start_change_nothing(self, fleet: GatewayFleet) -> None:
        # Guards against a process that a reload ends before its event loop watches signals.
        fleet.start_instance("a").kill()
        restarted = fleet.restart_instance("a")
        # The socket for callers opens among the first steps.
        wait_until(lambda: _accepts_connections(restarted.address), "listens")
        while not fleet.is_ready(restarted):
            restarted.process.send_signal(_HUP)
            assert restarted.process.poll() is None
        assert fleet.send_request(restarted, "r").status_code == httpx.codes.OK


class TestProcessSignals:
    @pytest.mark.parametrize("loop", ["uvloop", "asyncio"])
    def test_only_the_first_stop_signal_has_an_effect(self, loop: str) -> None:
        # Guards against the default action, which loops and the interpreter's end restore.
        process = subprocess.Popen(
            (sys.executable, "-c", _PROGRAM, loop), stdout=subprocess.PIPE, text=True
        )
        assert process.stdout is not None
        steps = []
        for line in process.stdout:
            steps.append(line.strip())
            # The loop waits for signals only after it has started.
            time.sleep(0.1)
            for number in (_HUP, _TERM, _INT, _TERM) if steps[-1] != "starting" else (_HUP,):
                process.send_signal(number)
        assert process.wait() == 0
        assert steps == ["starting", "waiting", "stopping", "loop closed", "ending"]
