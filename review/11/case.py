"""A worker crashes, starts again under its id and is cut off soon after; a start order for its former
life is carried out late by the new one. The task must not run twice at the same time."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from deployment import TROUBLE, main  # noqa: E402

JOB = "e47b90c25d1f8a36"
TASK = f"{JOB}.0.0.0"
DOWN_S = 0.6   # letter: srv_crash "same dark", for_s 0.6
CUT_S = 9.0    # letter: node_cut "servers", for_s 9.0
LATE_S = 6.0   # fleetbench kinds: an order without an answer "is carried out 2 to 12 s later"
WORK_S = 12    # the longest task of the site's dispatch-match


def configuration():
    return {"version": 3, "routes": [
        {"name": "plans", "host": "desk.example", "prefix": "/plans/", "kind": "unsafe",
         "timeoutMs": 3000, "targetLatencyMs": 3000, "priority": 2, "service": "desk",
         "maxAttempts": 3, "stretch": 4.0, "public": False}],
        "services": [{"name": "desk", "admissionCheck": False}], "limits": {},
        "tenants": [{"name": "t-1", "apiKeys": ["key-1"], "weight": 10,
                     "maxCount": {"cpu": 0, "memMb": 0, "gpu": 0}}]}


def intervals(site):
    """The runs of the task: worker, number, beginning and end. A crash ends those of its worker."""
    runs, now = [], time.time()
    for line in site.runs():
        if line["what"] == "up":
            for run in runs:
                if run[0] == line["worker"] and run[3] == now:
                    run[3] = line["at"]
        elif line.get("task") != TASK:
            continue
        elif line["what"] == "start" and line["answer"] == "started":
            runs.append([line["worker"], line["run"], line["at"], now])
        elif line["what"] == "end":
            for run in runs:
                if run[:2] == [line["worker"], line["run"]] and run[3] == now:
                    run[3] = line["at"]
    return runs


def overlap(site):
    """The two runs that go on at the same time for longest, and for how long."""
    runs = intervals(site)
    found = [(min(a[3], b[3]) - max(a[2], b[2]), a, b)
             for at, a in enumerate(runs) for b in runs[at + 1:]]
    return max(found, key=lambda entry: entry[0], default=(0, None, None))


def play(site):
    site.operator("op/config", configuration())
    site.start_all()
    # The clock of a worker's first life is ahead of that of its next one by then.
    time.sleep(10)
    site.proxies.hold_next = TROUBLE
    site.submit(f"/plans/{JOB}", {"spec": "x", "steps": [
        {"count": 1, "cpu": 4500, "memMb": 8800, "estimatedMs": WORK_S * 1000}]})
    if TROUBLE:
        site.wait(lambda: site.proxies.held is not None, 5, "no start order came")
        sent, worker = time.monotonic(), site.proxies.held[0]
        site.kill(worker)
        time.sleep(max(0, sent + DOWN_S - time.monotonic()))
        cut = time.monotonic()
        site.record("cut off", worker=worker)  # no call has reached it since it crashed
        site.start_worker(worker)
        time.sleep(max(0, sent + LATE_S - time.monotonic()))
        site.proxies.carry_out_held(site.workers[worker][0])
        time.sleep(max(0, cut + CUT_S - time.monotonic()))
        site.proxies.cut_off.discard(worker)
        site.record("reached again", worker=worker)
    site.wait(lambda: site.job("GET", f"/plans/{JOB}")[1] == {"state": "completed"}
              or time.sleep(0.5), 40, "the job is not done")
    length, first, second = overlap(site)
    if length <= 0:
        return None
    return (f"TWICE: run {first[1]} on {first[0]} and run {second[1]} on {second[0]} of the task went "
            f"on at the same time for {length:.2f} s")


if __name__ == "__main__":
    sys.exit(main(FOLDER, play, proxied=True, worker_options={"workMs": {"": WORK_S * 1000}}))
