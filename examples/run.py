"""Example that runs a small fleet on loopback: an answer, its bill, and an over-budget refusal.

It starts the platform stand-in, two model engines, a plain service and two entry instances in two
data centres, publishes ``examples/kallhanvisa`` with the upstreams' addresses, and sends requests.
"""

from __future__ import annotations

import shutil
import sys
import tempfile
import time
from pathlib import Path

import httpx

from mothstand.testing.fleet import Fleet

EXAMPLE = Path(__file__).parent / "kallhanvisa"
DATA_CENTRES = {"llm-a": "sto-a", "llm-b": "sto-b", "formatter-a": "sto-a"}
PROMPT = "Rewrite in APA: Andersson, K. Om källor. Lund 2019."


def write_upstreams(fleet: Fleet, folder: Path) -> None:
    """Write the upstreams' sections, which need the assigned ports."""
    lines = []
    for name, data_centre in DATA_CENTRES.items():
        kind = "engine" if name.startswith("llm") else "service"
        serves = "citation-7b" if kind == "engine" else "format"
        lines.append(
            f"[upstream {name}]\nkind = {kind}\naddress = {fleet.processes[name].address}\n"
            f"data_centre = {data_centre}\nserves = {serves}\n"
        )
    (folder / "20-upstreams.ini").write_text("\n".join(lines), encoding="utf-8")


def ask(url: str, key: str, *, max_tokens: int) -> httpx.Response:
    """Send a chat completion and return the response."""
    return httpx.post(
        f"{url}/v1/chat/completions",
        headers={"authorization": f"Bearer {key}"},
        json={
            "model": "citation-7b",
            "messages": [{"role": "user", "content": PROMPT}],
            "max_tokens": max_tokens,
        },
        timeout=30.0,
        trust_env=False,
    )


def main() -> int:
    """Run the example and return the exit code."""
    with tempfile.TemporaryDirectory() as temporary, Fleet(Path(temporary)) as fleet:
        folder = Path(temporary) / "folder"
        shutil.copytree(EXAMPLE, folder)
        fleet.start_platform()
        fleet.start_engine("llm-a", "sto-a")
        fleet.start_engine("llm-b", "sto-b")
        fleet.start_service("formatter-a", "sto-a")
        write_upstreams(fleet, folder)
        first = fleet.start_instance("sto-a-1", "sto-a")
        second = fleet.start_instance("sto-b-1", "sto-b")
        published = fleet.publish(folder)
        print(published.stdout, published.stderr, sep="", end="")
        fleet.wait_ready("sto-a-1", "sto-b-1")

        answer = ask(first.url, "lund-key", max_tokens=24)
        print("answer:", answer.status_code, answer.json()["choices"][0]["message"]["content"])
        print("usage: ", answer.json()["usage"])
        refused = ask(second.url, "lund-key", max_tokens=5000)
        print("refusal:", refused.status_code, refused.json()["error"]["message"])
        print("run state:", refused.json()["error"]["run_state"])
        time.sleep(2.5)
        status = fleet.run_command("status", f"--settings={fleet.operator_settings()}")
        print(status.stdout, status.stderr, sep="", end="")
        exit_codes = (first.terminate(), second.terminate())
        ok = answer.status_code == 200 and refused.status_code == 402 and exit_codes == (0, 0)
        if not ok:
            for log in sorted(Path(temporary).glob("*.log")):
                print(f"--- {log.name}", log.read_text(encoding="utf-8"), file=sys.stderr)
        return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
