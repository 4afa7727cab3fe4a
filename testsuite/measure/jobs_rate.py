"""Store calls per job, and how long faults delay jobs.

Run: VERBENALEVER_BUILD=build PYTHONPATH=testsuite python3 testsuite/measure/jobs_rate.py [rate] [single] [adoption] [zone]
Each prints one JSON line.
"""

import json
import sys
import threading
import time

from harness import Cluster
from harness.client import call
from harness.cluster import default_configuration
from harness.jobs import accept, keep_submitting, wait_finished

STARTS_PER_S = 120
TASKS = 12
SECONDS = 20
STORE_WRITES_PER_S = 400  # "several hundred"
STORE_READS_PER_S = 2000


def calls(cluster):
    return call(cluster.platform, "GET", "/control/calls").json()


def rate(tasks=TASKS):
    """Starts at a steady rate; one submitter for each entry."""
    with Cluster(zones=3, entries=3, targets=4, slots=16) as cluster:
        entries = list(cluster.entries)
        time.sleep(5)
        idle_before = calls(cluster)
        time.sleep(5)
        before = calls(cluster)
        begun = time.monotonic()
        jobs = []

        def submit_at(entry):
            pause = tasks * len(entries) / STARTS_PER_S
            due = time.monotonic()
            while due - begun < SECONDS:
                time.sleep(max(0, due - time.monotonic()))
                jobs.append(accept(cluster, entry, tasks=tasks, command={"run_ms": 800}))
                due += pause

        threads = [threading.Thread(target=submit_at, args=(entry,)) for entry in entries]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        after = calls(cluster)
        spent = time.monotonic() - begun
        wait_finished(cluster, jobs, 60)
        idle = {k: (before[k] - idle_before.get(k, 0)) / 5 for k in before}
        accepted = {e["job"]: e["mono_us"] for e in cluster.events("job_accepted")}
        started = [(e["mono_us"] - accepted[e["task"].split(".")[0]]) / 1000
                   for e in cluster.events("task_running")]
        started.sort()
        peer = [cluster.metric(e, "peer_bytes_sent") for e in entries]
        per_s = {k: (after.get(k, 0) - before.get(k, 0)) / spent for k in after}
        print(json.dumps({
            "measure": "rate", "entries": len(entries), "tasks": len(started),
            "starts_per_s": round(len(jobs) * tasks / spent, 1), "tasks_per_job": tasks,
            "writes_per_s": round(per_s["writes"], 1), "reads_per_s": round(per_s["reads"], 1),
            "idle_reads_per_s": round(idle.get("reads", 0), 1),
            "share_of_writes": round(per_s["writes"] / STORE_WRITES_PER_S, 3),
            "share_of_reads": round(per_s["reads"] / STORE_READS_PER_S, 3),
            "start_p50_ms": round(started[len(started) // 2], 1),
            "start_p99_ms": round(started[len(started) * 99 // 100], 1),
            "peer_kb_per_entry": round(sum(peer) / len(peer) / 1000)}))


def adoption():
    for _ in range(3):
        with Cluster(zones=3, entries=2, targets=1, times={"task_lease": "6s"}) as cluster:
            thread, _ = keep_submitting(cluster, ["entry-a1"], 10, 0, tasks=2,
                                        command={"run_ms": 30000})
            thread.join()
            died = time.monotonic_ns() // 1000
            cluster.kill("entry-a1")
            cluster.wait(lambda: len(cluster.events("job_adopted")) >= 10, 20, "not adopted")
            times = sorted((e["mono_us"] - died) / 1e6 for e in cluster.events("job_adopted"))
            print(json.dumps({"measure": "adoption", "jobs": len(times), "first_s": times[0],
                              "last_s": times[-1]}), flush=True)


def zone():
    """The same batch with a zone taken out for a third of the time, and without: paired rounds."""
    def run(take_out):
        with Cluster(zones=3, entries=1, targets=2) as cluster:
            thread, accepted = keep_submitting(cluster, list(cluster.entries), 60, 0.1, tasks=12,
                                               command={"run_ms": 700})
            begun = time.monotonic()
            if take_out:
                time.sleep(4)
                out = json.loads(default_configuration())
                out["availability_zones"] = {"zone-a": {"state": "out"}}
                assert cluster.apply(json.dumps(out)).status == 200
            time.sleep(begun + 9 - time.monotonic())
            if take_out:
                assert cluster.apply(default_configuration()).status == 200
            time.sleep(begun + 13 - time.monotonic())
            done = len([e for e in cluster.events("task_ended") if e["state"] == "succeeded"])
            thread.join()
            wait_finished(cluster, accepted.values(), 60)
            return done

    for _ in range(2):
        without, with_zone_out = run(False), run(True)
        print(json.dumps({"measure": "zone", "seconds": 13, "out_seconds": 5,
                          "done_without": without, "done_with": with_zone_out,
                          "ratio": round(with_zone_out / without, 3)}), flush=True)


for name in sys.argv[1:] or ["rate", "adoption", "zone"]:
    {"rate": rate, "single": lambda: rate(1), "adoption": adoption, "zone": zone}[name]()
