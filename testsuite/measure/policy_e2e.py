"""Policies with real processes, paired with first come, first served on the same load.

Red and blue, with shares 1 and 3, each ask for as much as the fleet has; an urgent queue runs
beside them. Prints for each policy the distance of blue's part of busy time from its share, and
the answer time of urgent requests on an idle fleet and on the full one, and what the trace checker
found.

Run: VERBENALEVER_BUILD=build PYTHONPATH=testsuite python3 testsuite/measure/policy_e2e.py [ROUNDS]
"""

import json
import sys

from harness import Cluster
from harness.cluster import default_configuration

ROUNDS = int(sys.argv[1]) if len(sys.argv) > 1 else 2
ZONES, TARGETS, SLOTS = 2, 2, 4
BATCH_MS, URGENT_MS = 100, 10
CAPACITY = ZONES * TARGETS * SLOTS * 1000 / BATCH_MS
SECONDS = 10
WARM_UP_S = 4
SHARES = {"red": 1, "blue": 3}


def configuration(policy):
    base = json.loads(default_configuration())
    base["policy"] = policy
    for team, share in SHARES.items():
        base["teams"][team]["share"] = share
    base["queues"]["batch"].update({"length_limit": 100000, "deadline": "60s", "priority": 1})
    return json.dumps(base)


def parts(cluster, start_us, end_us):
    """Each team's part of the targets' busy time in a window."""
    busy, running = {}, {}
    for event in cluster.events():
        if event["event"] == "request_running":
            running[event["request"]] = event
        elif event["event"] == "request_ended" and event["request"] in running:
            began = running.pop(event["request"])
            span = min(event["mono_us"], end_us) - max(began["mono_us"], start_us)
            if span > 0:
                busy[began["team"]] = busy.get(began["team"], 0) + span
    total = sum(busy.values())
    return {team: busy.get(team, 0) / total for team in SHARES}


def urgent(cluster, seconds):
    return cluster.load(20, seconds, "urgent", keys="red-key,blue-key", work_ms=URGENT_MS)[0]


def measure(policy):
    with Cluster(zones=ZONES, entries=1, targets=TARGETS, slots=SLOTS,
                 configuration=configuration(policy)) as cluster:
        idle = urgent(cluster, 5)
        # One generator for each team: alternating keys would tie each team to one entry.
        batch = [cluster.start_load(CAPACITY, SECONDS, "batch", keys=f"{team}-key",
                                    work_ms=BATCH_MS, timeout_ms=1000 * SECONDS + 2000, seed=seed)
                 for seed, team in enumerate(SHARES, 1)]
        full = urgent(cluster, SECONDS)
        last = cluster.events("request_running")[-1]["mono_us"]
        for load in batch:
            load.kill()
            load.communicate()
        found = parts(cluster, last - (SECONDS - WARM_UP_S) * 1_000_000, last)
        check = cluster.tool("timeline", "check", *map(str, cluster.folder.glob("*.log")))
    fair = SHARES["blue"] / sum(SHARES.values())
    return {"policy": policy, "blue_part": round(found["blue"], 3),
            "distance": round(abs(found["blue"] - fair), 3),
            "urgent_idle_p50_ms": idle["p50_ms"], "urgent_idle_p99_ms": idle["p99_ms"],
            "urgent_full_p50_ms": full["p50_ms"], "urgent_full_p99_ms": full["p99_ms"],
            "urgent_full_answered": f"{full['answered']}/{full['sent']}",
            "trace": check.stdout.splitlines()[-1] if check.stdout else check.stderr.strip()}


for _ in range(ROUNDS):
    for name in ("fifo", "share", "strict"):
        print(json.dumps(measure(name)), flush=True)
