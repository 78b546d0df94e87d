"""Test that the packed file serves requests as one process."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from ..testing.examples import chat, write_folder
from ..testing.fleet import Fleet, wait_until

pytestmark = pytest.mark.processes

ROOT = Path(__file__).parents[2]


@pytest.fixture(scope="module")
def packed() -> Path:
    """Build the packed file and return its path."""
    build = ROOT / "tools" / "build_binary.sh"
    if not build.exists():
        pytest.skip("an installed package has no build script")
    subprocess.run([build], env={"PYTHON": sys.executable, "PATH": "/usr/bin:/bin"}, check=True)
    return ROOT / "dist" / "mothstand"


class TestPackedFile:
    def test_serves_as_one_process(self, packed: Path, tmp_path: Path) -> None:
        """Guards against bundlers whose launcher unpacks and starts the program as a child.

        Processes must not start others: the platform would kill the launcher only, and the child
        would keep running as the same instance.
        """
        # -S leaves out site-packages, so all libraries must come from the file.
        command = (sys.executable, "-I", "-S", str(packed))
        (tmp_path / "tmp").mkdir()
        with Fleet(tmp_path, command=command) as fleet:
            fleet.start_platform()
            fleet.start_engine("llm-a", "sto-a")
            instance = fleet.start_instance("sto-a-1", "sto-a")
            published = fleet.publish(write_folder(tmp_path / "folder", fleet))
            assert published.returncode == 0, published.stderr
            wait_until(lambda: chat(instance.url).status_code == 200, "serves")
            pid = instance.process.pid
            children = Path(f"/proc/{pid}/task/{pid}/children").read_text(encoding="utf-8")
            assert children == ""
            assert instance.terminate() == 0
