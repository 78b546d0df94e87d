"""Example that runs a user's first deployment on loopback and kills one of its instances.

Run ``.venv/bin/python examples/deployment.py kallhanvisa`` or ``doto``: three data centres with two
entry instances each, and the user's number of model runners. It publishes the user's folder, waits
until the instances have ordered the engines to load their model and each instance answers, kills an
instance, asks another, and prints the status and the audit trail.
"""

from __future__ import annotations

import shutil
import tempfile
from dataclasses import dataclass
from pathlib import Path

import fire

from mothstand.testing.examples import chat
from mothstand.testing.fleet import Fleet, wait_until

_EXAMPLES = Path(__file__).parent
_INSTANCES_PER_DATA_CENTRE = 2


@dataclass(frozen=True, slots=True)
class Deployment:
    """Data centres, upstreams and an example request of a user.

    Parameters
    ----------
    engines_per_data_centre
        Number of model runners in each data centre; of the plain service there is one.
    key
        A caller's key from the user's folder.
    """

    data_centres: tuple[str, ...]
    engines_per_data_centre: int
    model: str
    service: str
    key: str
    prompt: str


DEPLOYMENTS = {
    "kallhanvisa": Deployment(
        ("sto-a", "sto-b", "sto-c"),
        3,
        "citation-7b",
        "format",
        "consortium-key",
        "Rewrite in APA: Andersson, K. Om källor. Lund 2019.",
    ),
    "doto": Deployment(
        ("kushiro-hall", "obihiro-hall", "kitami-hall"),
        2,
        "eligibility-7b",
        "renew",
        "kushiro-key",
        "Is a pass due for renewal in March still valid in April?",
    ),
}


def start_upstreams(fleet: Fleet, deployment: Deployment, folder: Path) -> None:
    """Start engines and services, then write their sections, which need the assigned ports."""
    lines = []
    for data_centre in deployment.data_centres:
        for number in range(deployment.engines_per_data_centre):
            name = f"llm-{data_centre}-{number}"
            engine = fleet.start_engine(name, data_centre, orders="fenced", load_s=0.2)
            lines.append(
                f"[upstream {name}]\nkind = engine\naddress = {engine.address}\n"
                f"data_centre = {data_centre}\nserves = {deployment.model}\n"
                "orders = fenced\nresumes = yes\nslots = 16\n"
            )
        name = f"{deployment.service}-{data_centre}"
        service = fleet.start_service(name, data_centre)
        lines.append(
            f"[upstream {name}]\nkind = service\naddress = {service.address}\n"
            f"data_centre = {data_centre}\nserves = {deployment.service}\n"
        )
    (folder / "20-upstreams.ini").write_text("\n".join(lines), encoding="utf-8")


def start_instances(fleet: Fleet, deployment: Deployment) -> list[str]:
    """Start the entry instances and return their names."""
    names = []
    for data_centre in deployment.data_centres:
        for number in range(1, _INSTANCES_PER_DATA_CENTRE + 1):
            name = f"{data_centre}-{number}"
            fleet.start_instance(name, data_centre, is_listed=False)
            names.append(name)
    fleet.publish_list()
    return names


def ask(fleet: Fleet, deployment: Deployment, name: str) -> int:
    """Send a chat completion to an instance and return the HTTP status."""
    answer = chat(
        fleet.processes[name].url,
        prompt=deployment.prompt,
        key=deployment.key,
        max_tokens=24,
        model=deployment.model,
    )
    return answer.status_code


def main(user: str) -> None:
    """Run the deployment of ``kallhanvisa`` or ``doto``."""
    deployment = DEPLOYMENTS[user]
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary) / "folder"
        shutil.copytree(_EXAMPLES / user, folder)
        with Fleet(Path(temporary), timing="bills_append_s = 0.5\norders_look_s = 0.2") as fleet:
            fleet.start_platform()
            start_upstreams(fleet, deployment, folder)
            names = start_instances(fleet, deployment)
            published = fleet.publish(folder)
            print(published.stdout, published.stderr, sep="", end="")
            fleet.wait_ready(*names)
            for name in names:
                wait_until(lambda n=name: ask(fleet, deployment, n) == 200, f"{name} serves", 60.0)
                print(f"{name} serves")
            fleet.processes[names[0]].kill()
            print(f"{names[0]} was killed")
            wait_until(lambda: ask(fleet, deployment, names[1]) == 200, f"{names[1]} goes on")
            print(f"{names[1]} goes on")
            settings = f"--settings={fleet.operator_settings()}"
            print(fleet.run_command("status", settings).stdout, end="")
            print(fleet.run_command("audit", settings, "--contains=ordered").stdout, end="")


if __name__ == "__main__":
    fire.Fire(main)
