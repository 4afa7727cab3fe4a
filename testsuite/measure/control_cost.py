"""Cost of control traffic at an idle entry, by the number of targets and of other entries.

Run: VERBENALEVER_BUILD=build PYTHONPATH=testsuite python3 testsuite/measure/control_cost.py \
     [HEARTBEAT_INTERVAL TARGET_LEASE_RENEWAL TARGET_LEASE]   e.g. 1500ms 2s 5s
One JSON line for each size, means over the entries; then the slopes between the sizes.
"""

import json
import os
import sys
import time

from harness import Cluster, call, faults

TARGETS = (8, 24, 64)  # with 2 entries
ENTRIES = (2, 4, 8)    # with 8 targets, in one zone
SECONDS = 10
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024
TIMES = dict(zip(("heartbeat_interval", "target_lease_renewal", "target_lease"), sys.argv[1:]))
COUNTED = ("peer_messages_sent", "peer_bytes_sent", "target_lease_calls", "target_control_bytes",
           "vm_list_reads", "vm_list_bytes")


def sample(cluster, entry):
    pid = cluster.processes[entry].pid
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        resident_pages = int(file.read().split()[1])
    values = {"cpu_s": (int(fields[11]) + int(fields[12])) / CLOCK_TICKS,
              "rss_kb": resident_pages * PAGE_KB}
    lines = call(cluster.entry(entry), "GET", "/metrics").body.decode().splitlines()
    counters = dict(line.split() for line in lines)
    return values | {name: int(counters.get(f"verbenalever_{name}", 0)) for name in COUNTED}


def measure(entries, targets):
    with Cluster(zones=1, entries=entries, targets=targets, times=TIMES) as cluster:
        faults.wait_for_stable_leases(cluster)
        before = {entry: sample(cluster, entry) for entry in cluster.entries}
        begun = time.monotonic()
        time.sleep(SECONDS)
        after = {entry: sample(cluster, entry) for entry in cluster.entries}
        spent = time.monotonic() - begun
    result = {"entries": entries, "targets": targets, "targets_per_entry": targets / entries}
    for name in ("cpu_s", *COUNTED):
        total = sum(after[entry][name] - before[entry][name] for entry in after)
        result[f"{name}_per_s"] = round(total / spent / entries, 5)
    result["rss_kb"] = max(values["rss_kb"] for values in after.values())
    print(json.dumps(result), flush=True)
    return result


def slopes(results, by):
    first, last = results[0], results[-1]
    step = last[by] - first[by]
    print(json.dumps({"slope_per": by} | {
        name: round((last[name] - first[name]) / step, 5) for name in first
        if name.endswith("_per_s") or name == "rss_kb"}))


if __name__ == "__main__":
    slopes([measure(2, targets) for targets in TARGETS], "targets_per_entry")
    slopes([measure(entries, 8) for entries in ENTRIES], "entries")
