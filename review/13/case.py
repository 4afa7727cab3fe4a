"""A route is removed from the configuration and added again 5 s later. A job that was accepted
before has to be done all the same."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from deployment import BOUNDS, TROUBLE, main  # noqa: E402

JOB = "5c0e7a21d94b36f8"
AWAY_S = 5
CALM_S = 3  # RULES.md, LOST: "for 3 s, a job has nothing running while a task's turn has come"


def route(name):
    return {"name": name, "host": "desk.example", "prefix": f"/{name}/", "kind": "unsafe",
            "timeoutMs": 3000, "targetLatencyMs": 3000, "priority": 2, "service": "desk",
            "maxAttempts": 3, "stretch": 4.0, "public": False,
            "advice": {"decideMs": 5.0, "eachMs": 0.2, "validMs": 2000}}


def configuration(version, *routes):
    return {"version": version, "routes": [route(name) for name in routes],
            "services": [{"name": "desk", "admissionCheck": False}], "limits": {},
            "tenants": [{"name": "t-1", "apiKeys": ["key-1"], "weight": 10,
                         "maxCount": {"cpu": 0, "memMb": 0, "gpu": 0}}]}


def play(site):
    site.operator("op/config", configuration(3, "plans", "checks"))
    site.start_all()
    # The second step's turn comes 2 s after the first has started, while the route is away.
    site.submit(f"/plans/{JOB}", {"spec": "x", "steps": [
        {"count": 4, "cpu": 1000, "memMb": 500, "estimatedMs": 2000},
        {"count": 12, "cpu": 900, "memMb": 2600, "estimatedMs": 1000, "after": [0],
         "maxPerServer": 1}]})
    site.wait(lambda: any(line["what"] == "start" for line in site.runs()), 5, "nothing started")
    time.sleep(0.5)
    if TROUBLE:
        site.operator("op/config", configuration(7, "checks"))
        time.sleep(AWAY_S)
        site.operator("op/config", configuration(8, "plans", "checks"))
    else:
        time.sleep(AWAY_S)
    # Traffic has ended; the job is asked for finish_s later.
    time.sleep(BOUNDS["finish_s"])
    status, answer = site.job("GET", f"/plans/{JOB}")
    started = [line for line in site.runs() if line["what"] == "start"
               and line["answer"] == "started" and line["task"].startswith(f"{JOB}.0.1.")]
    refused = [line for line in site.runs() if line["what"] == "start"
               and line["answer"] == "ticket"]
    if status == 200 and answer == {"state": "completed"}:
        return None
    if started:
        return None  # it runs, late; only a job without anything running breaks the rule
    time.sleep(CALM_S)
    if any(line["what"] == "start" and line["answer"] == "started"
           and line["task"].startswith(f"{JOB}.0.1.") for line in site.runs()):
        return None
    # Later still the job is not done either.
    time.sleep(20)
    later = site.job("GET", f"/plans/{JOB}")
    return (f"LOST: {BOUNDS['finish_s'] + CALM_S} s after the route was back the second step's "
            f"turn had come, all {len(site.workers)} workers were free, and none of its tasks had "
            f"started; GET answered {status} {answer}, and 20 s later {later}; "
            f"{len(refused)} starts were rejected for want of a ticket")


if __name__ == "__main__":
    sys.exit(main(FOLDER, play, worker_options={"ticketed": True,
                                                "workMs": {"0": 2000, "1": 1000}}))
