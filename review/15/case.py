"""A route is removed from the configuration, and the entry that gives the orders is killed. A job of
that route whose task always fails has to be given up after maxAttempts runs all the same."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from deployment import TROUBLE, main  # noqa: E402

JOB = "91be04d7a3c5f268"
MAX_ATTEMPTS = 3
AWAY_S = 20


def route(name):
    return {"name": name, "host": "desk.example", "prefix": f"/{name}/", "kind": "unsafe",
            "timeoutMs": 3000, "targetLatencyMs": 3000, "priority": 2, "service": "desk",
            "maxAttempts": MAX_ATTEMPTS, "stretch": 4.0, "public": False}


def configuration(version, *routes):
    return {"version": version, "routes": [route(name) for name in routes],
            "services": [{"name": "desk", "admissionCheck": False}], "limits": {},
            "tenants": [{"name": "t-1", "apiKeys": ["key-1"], "weight": 10,
                         "maxCount": {"cpu": 0, "memMb": 0, "gpu": 0}}]}


def coordinator(site):
    """The entry that gives the orders, by its log."""
    return max(site.log_lines("leadership_won"), key=lambda line: line["term"])["process"]


def play(site):
    site.operator("op/config", configuration(3, "plans", "checks"))
    site.start_all()
    site.submit(f"/plans/{JOB}", {"spec": "x", "steps": [
        {"count": 1, "cpu": 900, "memMb": 2600, "estimatedMs": 1000}]})
    if TROUBLE:
        site.operator("op/config", configuration(7, "checks"))
        killed = coordinator(site)
        site.kill(killed)
        time.sleep(3.5)
        site.start_entry(killed)
    time.sleep(AWAY_S)
    state = site.job("GET", f"/plans/{JOB}")
    noted = [line["at"] for line in site.runs() if line["what"] == "end taken note of"
             and line["how"] == "failed"]
    starts = [line["at"] for line in site.runs() if line["what"] == "start"
              and line["answer"] == "started"]
    # RULES.md, BUDGET: a start after maxAttempts runs of the task have ended `failed`, if these ends
    # are taken note of.
    late = [at for at in starts if len(noted) >= MAX_ATTEMPTS and at > noted[MAX_ATTEMPTS - 1]]
    if not late:
        return None
    return (f"BUDGET: {len(late)} starts after {MAX_ATTEMPTS} runs of the task, all that maxAttempts "
            f"allows, had ended `failed` and their ends had been taken note of; "
            f"{len(starts)} starts in all; GET answers {state}")


if __name__ == "__main__":
    sys.exit(main(FOLDER, play, worker_options={"workMs": {"": 1000}, "failing": [JOB]}))
