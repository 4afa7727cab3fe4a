"""Placement of requests with one slow target of four: expected finish against least loaded, paired.

Run: VERBENALEVER_BUILD=build PYTHONPATH=testsuite python3 testsuite/measure/slow_target.py [ROUNDS]
"""

import json
import sys

from harness import Cluster
from harness.cluster import default_configuration

ROUNDS = int(sys.argv[1]) if len(sys.argv) > 1 else 2
DELAY_MS = 60
RATE = 200
SECONDS = 5


def configuration(placement):
    base = json.loads(default_configuration())
    base["queues"]["urgent"]["placement"] = placement
    return json.dumps(base)


with Cluster(zones=1, entries=1, targets=4) as cluster:
    for _ in range(ROUNDS):
        for slow in (0, DELAY_MS):
            cluster.target_faults("target-a1", delay_ms=slow)
            for placement in ("least_loaded", "two_choices", "expected_finish"):
                assert cluster.apply(configuration(placement)).status == 200
                found = cluster.load(RATE, SECONDS, "urgent", keys="red-key", work_ms=10)[0]
                print(json.dumps({"slow_by_ms": slow, "placement": placement,
                                  "answered": f"{found['answered']}/{found['sent']}",
                                  "p50_ms": found["p50_ms"], "p99_ms": found["p99_ms"]}),
                      flush=True)
