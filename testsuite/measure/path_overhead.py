"""Time that the entry adds: the same load through three entries and straight to targets, paired.

Run: VERBENALEVER_BUILD=build PYTHONPATH=testsuite python3 testsuite/measure/path_overhead.py [RATE]
"""

import json
import sys

from harness import Cluster

RATE = float(sys.argv[1]) if len(sys.argv) > 1 else 2000
SECONDS = 5
ROUNDS = 3


def direct(cluster):
    targets = ",".join(map(cluster.target, cluster.targets))
    result = cluster.tool("load", "--json", "--rate", str(RATE), "--duration_s", str(SECONDS),
                          "--queues", "open", "--to", targets, "--path", "/requests")
    return json.loads(result.stdout)[0]


with Cluster(zones=3, entries=1, targets=2, slots=64) as cluster:
    for _ in range(ROUNDS):
        straight = direct(cluster)
        through = cluster.load(RATE, SECONDS)[0]
        print(json.dumps({
            "rate": RATE, "sent": through["sent"], "answered": through["answered"],
            "p50_ms": through["p50_ms"], "p99_ms": through["p99_ms"],
            "direct_p50_ms": straight["p50_ms"], "direct_p99_ms": straight["p99_ms"],
            "added_p50_ms": round(through["p50_ms"] - straight["p50_ms"], 3),
            "added_p99_ms": round(through["p99_ms"] - straight["p99_ms"], 3)}))
