"""Cost of claiming request ids: the same load without and with ids, alternating.

Run: VERBENALEVER_BUILD=build PYTHONPATH=testsuite python3 testsuite/measure/claim_cost.py [RATE]
"""

import json
import sys

from harness import Cluster

RATE = float(sys.argv[1]) if len(sys.argv) > 1 else 200
SECONDS = 5
ROUNDS = 3

with Cluster(zones=3, entries=1, targets=2, slots=64) as cluster:
    def total(metric):
        return sum(cluster.metric(entry, metric) for entry in cluster.entries)

    for _ in range(ROUNDS):
        for ids in ("false", "true"):
            writes, reads = total("kv_writes"), total("kv_reads")
            result = cluster.load(RATE, SECONDS, request_ids=ids)[0]
            print(json.dumps({
                "rate": RATE, "ids": ids, "sent": result["sent"], "answered": result["answered"],
                "p50_ms": result["p50_ms"], "p99_ms": result["p99_ms"],
                "store_writes": total("kv_writes") - writes,
                "store_reads": total("kv_reads") - reads}), flush=True)
