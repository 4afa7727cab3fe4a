"""Share of requests answered during each fault, against the same load just before it.

Run: VERBENALEVER_BUILD=build PYTHONPATH=testsuite python3 testsuite/measure/request_faults.py [RATE]
"""

import json
import sys

from harness import Cluster

RATE = float(sys.argv[1]) if len(sys.argv) > 1 else 300
SECONDS = 6
WORK_MS = 10

FAULTS = {
    "platform down": lambda cluster: cluster.platform_faults(down="hang"),
    "zone a cut from zones": lambda cluster: cluster.rules(*cluster.cut_zone_from_zones("a")),
    "zone a cut from all": lambda cluster: cluster.rules(
        *cluster.cut_zone_from_zones("a"), *cluster.cut_zone_from_platform("a")),
    "target killed": lambda cluster: cluster.kill("target-a1"),
    "target hangs": lambda cluster: cluster.target_faults("target-a1", hang=True),
    "target fails": lambda cluster: cluster.target_faults("target-a1", fail_everything=True),
    "connections to a target frozen": lambda cluster: cluster.rules(
        {"link": "a-target-a1", "mode": "freeze"}),
    "connections between entries frozen": lambda cluster: cluster.rules(
        {"link": "b-entry", "mode": "freeze"}),
    "peer killed": lambda cluster: cluster.kill("entry-c1"),
}


def measure(fault, repeatable):
    with Cluster(zones=3, entries=1, targets=2, proxy=True) as cluster:
        entries = ["entry-a1", "entry-b1"]
        flags = {"work_ms": WORK_MS, "repeatable": repeatable, "deadline_ms": 1000}
        before = cluster.load(RATE, SECONDS, entries=entries, **flags)[0]
        FAULTS[fault](cluster)
        during = cluster.load(RATE, SECONDS, entries=entries, **flags)[0]
        cluster.check_trace()
    share = [result["answered"] / result["sent"] for result in (before, during)]
    print(json.dumps({"fault": fault, "repeatable": repeatable, "sent": during["sent"],
                      "answered": during["answered"], "not_run": during["not_run"],
                      "unknown": during["unknown"], "p99_ms": during["p99_ms"],
                      "of_share_without": round(share[1] / share[0], 4)}), flush=True)


for name in FAULTS:
    measure(name, "false")
    if "target" in name:
        measure(name, "true")
