"""Operators move a queue to another service and take the old service's worker out of use. A job that
was accepted before the change has to be done all the same."""

import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from deployment import BOUNDS, TROUBLE, main  # noqa: E402

JOB = "2f86d0a1c7b95e34"
OLD, WORKERS = "w-00", 16  # one of 16 workers is in the old service
CALM_S = 3  # RULES.md, LOST: "for 3 s, a job has nothing running while a task's turn has come"


def configuration(version, service):
    return {"version": version, "routes": [
        {"name": "plans", "host": "desk.example", "prefix": "/plans/", "kind": "unsafe",
         "timeoutMs": 3000, "targetLatencyMs": 3000, "priority": 2, "service": service,
         "maxAttempts": 3, "stretch": 4.0, "public": False}],
        "services": [{"name": "desk", "admissionCheck": False},
                     {"name": "old-desk", "admissionCheck": False}], "limits": {},
        "tenants": [{"name": "t-1", "apiKeys": ["key-1"], "weight": 10,
                     "maxCount": {"cpu": 0, "memMb": 0, "gpu": 0}}]}


def second_step_started(site):
    return any(line["what"] == "start" and line["answer"] == "started"
               and line["task"].startswith(f"{JOB}.0.1.") for line in site.runs())


def play(site):
    site.operator("op/config", configuration(3, "old-desk"))
    site.start_all()
    # The second step's turn comes 4 s after the first has started.
    site.submit(f"/plans/{JOB}", {"spec": "x", "steps": [
        {"count": 2, "cpu": 900, "memMb": 2600, "estimatedMs": 4000},
        {"count": 4, "cpu": 900, "memMb": 2600, "estimatedMs": 1000, "after": [0]}]})
    site.wait(lambda: any(line["what"] == "start" for line in site.runs()), 5, "nothing started")
    if TROUBLE:
        site.operator("op/config", configuration(7, "desk"))
        time.sleep(BOUNDS["configMs"] / 1000)
        site.signal(OLD, signal.SIGTERM)  # planned: it drains, lets its tasks end, and leaves
    time.sleep(8)
    time.sleep(BOUNDS["finish_s"])
    status, answer = site.job("GET", f"/plans/{JOB}")
    if second_step_started(site):
        return None
    time.sleep(CALM_S)
    if second_step_started(site):
        return None
    time.sleep(20)
    later = site.job("GET", f"/plans/{JOB}")
    return (f"LOST: the second step's turn had come, all {WORKERS - 1} workers of the service that "
            f"the configuration sends the queue to were free for over {BOUNDS['finish_s'] + CALM_S} "
            f"s, and none of its tasks had started; GET answered {status} {answer}, and 20 s later "
            f"{later}")


if __name__ == "__main__":
    sys.exit(main(FOLDER, play, workers=WORKERS, worker_options={"workMs": {"0": 4000, "1": 1000}},
                  options_of={OLD: {"service": "old-desk"}}))
