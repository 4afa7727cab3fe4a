"""Time without starts on a target while its lease changes hands: an entry dies, is replaced, drains.

Run: VERBENALEVER_BUILD=build PYTHONPATH=testsuite python3 testsuite/measure/ownership_pauses.py
One JSON line a round: the longest time without a start on any one target, in seconds, under steady
load on every entry that serves; "steady" is the same without a change, paired in the same run.
"""

import json
import time

from harness import Cluster, faults

ROUNDS = 3
RATE = 800
STEADY_S = 4
WORK_MS = 20  # so that every target has work all the time


def now_us():
    return time.monotonic_ns() // 1000


def pause(cluster, since, until):
    """Longest pause of any target."""
    return round(max(faults.longest_pause_s(cluster, since, until, target)
                     for target in cluster.targets), 3)


for _ in range(ROUNDS):
    with Cluster(zones=1, entries=2, targets=4, slots=16) as cluster:
        faults.wait_for_stable_leases(cluster)
        load = cluster.start_load(RATE, 32, work_ms=WORK_MS, deadline_ms=500)
        time.sleep(1)
        marks = [now_us()]
        time.sleep(STEADY_S)
        marks.append(now_us())
        cluster.kill("entry-a1")
        faults.seconds_until_startable(cluster, "a")
        time.sleep(1)
        marks.append(now_us())
        cluster.start_entry("entry-a1")
        cluster.wait(lambda: faults.leased_targets(cluster, "entry-a1"), 15, "the entry gets no target")
        time.sleep(2)
        marks.append(now_us())
        cluster.processes["entry-a1"].terminate()
        cluster.processes["entry-a1"].wait(20)
        cluster.processes.pop("entry-a1")
        time.sleep(1)
        marks.append(now_us())
        names = ("steady", "killed", "replaced", "drained")
        print(json.dumps({name: pause(cluster, since, until)
                          for name, since, until in zip(names, marks, marks[1:])}), flush=True)
        load.kill()
        load.wait()
        cluster.check_trace()
