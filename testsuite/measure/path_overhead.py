"""Latency added by the entry: the same load through three entries and straight to targets, paired.

Run: VERBENALEVER_BUILD=build PYTHONPATH=testsuite python3 testsuite/measure/path_overhead.py [RATE [EARLIER_BUILD]]

With the build folder of an earlier version, its entry daemon and the current one are measured
alternately.
"""

import json
import pathlib
import sys

from harness import Cluster

RATE = float(sys.argv[1]) if len(sys.argv) > 1 else 2000
EARLIER = pathlib.Path(sys.argv[2]) if len(sys.argv) > 2 else None
SECONDS = 5
ROUNDS = 3
CLOCK_TICKS = 100


def direct(cluster):
    targets = ",".join(map(cluster.target, cluster.targets))
    result = cluster.tool("load", "--json", "--rate", str(RATE), "--duration_s", str(SECONDS),
                          "--queues", "open", "--to", targets, "--path", "/requests")
    return json.loads(result.stdout)[0]


def processor_seconds(cluster):
    """Processor time that the entries have used."""
    total = 0
    for name in cluster.entries:
        stat = pathlib.Path(f"/proc/{cluster.processes[name].pid}/stat").read_text()
        total += sum(map(int, stat.rsplit(")", 1)[1].split()[11:13]))
    return total / CLOCK_TICKS


def compare(version, binaries):
    with Cluster(zones=3, entries=1, targets=2, slots=64, binaries=binaries) as cluster:
        straight = direct(cluster)
        before = processor_seconds(cluster)
        through = cluster.load(RATE, SECONDS)[0]
        spent = processor_seconds(cluster) - before
    print(json.dumps({
        "version": version, "rate": RATE, "sent": through["sent"], "answered": through["answered"],
        "p50_ms": through["p50_ms"], "p99_ms": through["p99_ms"],
        "direct_p50_ms": straight["p50_ms"], "direct_p99_ms": straight["p99_ms"],
        "added_p50_ms": round(through["p50_ms"] - straight["p50_ms"], 3),
        "added_p99_ms": round(through["p99_ms"] - straight["p99_ms"], 3),
        "processor_us_a_request": round(1e6 * spent / through["sent"], 1)}), flush=True)


for _ in range(ROUNDS):
    compare("present", None)
    if EARLIER:
        compare("earlier", {"entry": EARLIER / "src/verbenaleverd/verbenaleverd"})
