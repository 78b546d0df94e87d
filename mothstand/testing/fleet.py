"""Starts a fleet of real processes on loopback, for tests, benchmarks and examples.

The fleet's own processes never start others.
"""

from __future__ import annotations

import random
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import httpx

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

FLEET_KEY = "a-fleet-key-for-loopback"
_START_TIMEOUT_S = 20.0
_POLL_S = 0.05


#: Ports below the range of outgoing connections, one of which could otherwise take a port before
#: the process that it was chosen for starts.
_PORTS = range(10_000, 30_000)

#: Separate from the `random` module, which tests seed; with that module, each test, also of a
#: parallel run, would choose the same ports and fail with "address already in use".
_port_rng = random.SystemRandom()


def free_port() -> int:
    """Return an unused TCP port of the loopback address."""
    while True:
        port = _port_rng.choice(_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


@dataclass(slots=True)
class FleetProcess:
    """A process of the fleet or a stand-in.

    Parameters
    ----------
    address
        ``IP:PORT`` of its HTTP server.
    peers_address
        ``IP:PORT`` of the peer protocol; empty for stand-ins.
    """

    name: str
    process: subprocess.Popen[bytes]
    address: str
    peers_address: str = ""
    data_centre: str = ""

    @property
    def url(self) -> str:
        """Base URL of the process."""
        return f"http://{self.address}"

    def kill(self) -> None:
        """Kill the process without a graceful stop."""
        self.process.kill()
        self.process.wait()

    def pause(self) -> None:
        """Suspend the process at any point of its execution."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.process.send_signal(signal.SIGCONT)

    def terminate(self, timeout_s: float = 30.0) -> int:
        """Request a graceful stop and return the exit code."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(timeout_s)


@dataclass(slots=True)
class Fleet:
    """Processes that share one folder of settings and logs.

    Parameters
    ----------
    folder
        Folder of settings and logs.
    shards
        Number of ledger shards.
    timing
        Lines of the instances' ``[timing]`` section.
    """

    folder: Path
    shards: int = 2
    timing: str = "bills_append_s = 0.5"
    command: tuple[str, ...] = (sys.executable, "-m", "mothstand.cli")
    processes: dict[str, FleetProcess] = field(default_factory=dict)
    _started_count: int = 0

    def __enter__(self) -> Fleet:
        """Return the fleet."""
        return self

    def __exit__(self, *_: object) -> None:
        """Kill the processes that still run."""
        for process in self.processes.values():
            if process.process.poll() is None:
                process.process.send_signal(signal.SIGCONT)
                process.kill()

    @property
    def platform(self) -> FleetProcess:
        """The platform stand-in."""
        return self.processes["platform"]

    def start_platform(self) -> FleetProcess:
        """Start the platform stand-in."""
        return self._start_standin("platform", "platform", ())

    def start_engine(self, name: str, data_centre: str, **options: float | str) -> FleetProcess:
        """Start a model engine stand-in."""
        flags = [f"--{key}={value}" for key, value in options.items()]
        process = self._start_standin("engine", name, (f"--name={name}", *flags))
        process.data_centre = data_centre
        return process

    def start_service(self, name: str, data_centre: str) -> FleetProcess:
        """Start a plain service stand-in."""
        process = self._start_standin("service", name, (f"--name={name}",))
        process.data_centre = data_centre
        return process

    def start_instance(
        self, name: str, data_centre: str, *, is_listed: bool = True, seeds: str = ""
    ) -> FleetProcess:
        """Start an entry instance with a new incarnation; publish the list if `is_listed`."""
        address, peers_address = (f"127.0.0.1:{free_port()}" for _ in range(2))
        path = self.folder / f"{name}.ini"
        path.write_text(
            f"[instance]\nname = {name}\ndata_centre = {data_centre}\n"
            f"ledger_shards = {self.shards}\n"
            f"[listen]\ncallers = {address}\npeers = {peers_address}\n"
            f"[platform]\naddress = {self.platform.url}\n"
            f"[secrets]\nfleet_key = {FLEET_KEY}\n"
            f"[peers]\nseeds = {seeds}\n"
            f"[timing]\n{self.timing}\n",
            encoding="utf-8",
        )
        arguments = (*self.command, "serve", f"--settings={path}")
        process = FleetProcess(
            name, self.popen(name, arguments), address, peers_address, data_centre
        )
        self.processes[name] = process
        if is_listed:
            self.publish_list()
        return process

    def publish_list(self) -> None:
        """Publish the instances that run, as the platform does."""
        listed = [
            {"name": p.name, "address": p.peers_address, "data_centre": p.data_centre}
            for p in self.processes.values()
            if p.peers_address and p.process.poll() is None
        ]
        httpx.post(f"{self.platform.url}/instances", json=listed, trust_env=False)

    def set_faults(self, name: str, **faults: Any) -> None:
        """Set the faults of a stand-in."""
        httpx.post(f"{self.processes[name].url}/faults", json=faults, trust_env=False)

    def journal(self, name: str) -> list[dict[str, Any]]:
        """Return the journal of a stand-in."""
        answer = httpx.get(f"{self.processes[name].url}/journal", trust_env=False)
        journal: list[dict[str, Any]] = answer.json()
        return journal

    def append_counts(self) -> dict[str, int]:
        """Return the number of appends to each stream."""
        counts: dict[str, int] = httpx.get(f"{self.platform.url}/counts", trust_env=False).json()
        return counts

    def operator_settings(self, operator: str = "ito") -> Path:
        """Write and return an operator's settings file."""
        path = self.folder / f"operator-{operator}.ini"
        path.write_text(
            f"[operator]\nname = {operator}\nledger_shards = {self.shards}\n"
            f"[platform]\naddress = {self.platform.url}\n"
            f"[secrets]\nfleet_key = {FLEET_KEY}\n",
            encoding="utf-8",
        )
        return path

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a ``mothstand`` command and wait for its end."""
        return subprocess.run(
            [*self.command, *arguments], capture_output=True, text=True, check=False
        )

    def publish(self, folder: Path) -> subprocess.CompletedProcess[str]:
        """Publish a folder as operator ``ito``."""
        return self.run_command("publish", str(folder), f"--settings={self.operator_settings()}")

    def wait_ready(self, *names: str) -> None:
        """Wait until instances have a configuration."""
        for name in names:
            wait_until(lambda name=name: self._is_ready(name), f"{name} is not ready")

    def _is_ready(self, name: str) -> bool:
        try:
            url = f"{self.processes[name].url}/health"
            return httpx.get(url, trust_env=False).status_code == 200
        except httpx.HTTPError:
            return False

    def _start_standin(self, module: str, name: str, flags: tuple[str, ...]) -> FleetProcess:
        address = f"127.0.0.1:{free_port()}"
        arguments = (
            sys.executable,
            "-m",
            f"mothstand.standins.{module}",
            f"--address={address}",
            *flags,
        )
        process = FleetProcess(name, self.popen(name, arguments), address)
        self.processes[name] = process
        host, _, port = address.rpartition(":")
        wait_until(lambda: _accepts_connections(host, int(port)), f"{name} does not listen")
        return process

    def popen(self, name: str, arguments: tuple[str, ...]) -> subprocess.Popen[bytes]:
        """Start a process that logs to a file in the folder."""
        self._started_count += 1
        log = (self.folder / f"{self._started_count:02}-{name}.log").open("wb")
        with log:
            return subprocess.Popen(arguments, stdout=log, stderr=log)


def wait_until(
    condition: Any, message: str | Callable[[], str], timeout_s: float = _START_TIMEOUT_S
) -> None:
    """Poll until `condition` returns true.

    Raises
    ------
    AssertionError
        With `message`, after `timeout_s`.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(message if isinstance(message, str) else message())
        time.sleep(_POLL_S)


def _accepts_connections(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.settimeout(0.2)
        return probe.connect_ex((host, port)) == 0
