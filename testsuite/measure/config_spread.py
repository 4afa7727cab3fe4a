"""Time from acceptance of a configuration change to in force at the last entry, and store calls.

With the platform up, and with one zone cut from it, so that its entry gets the change only from peers.
Run: VERBENALEVER_BUILD=build PYTHONPATH=testsuite python3 testsuite/measure/config_spread.py [ROUNDS]
"""

import json
import statistics
import sys
import time

from harness import Cluster, call
from harness.cluster import default_configuration

ROUNDS = int(sys.argv[1]) if len(sys.argv) > 1 else 15


def calls(cluster):
    return call(cluster.platform, "GET", "/control/calls").json()


def change(cluster, number, entries):
    """Apply one change; milliseconds until the last of the entries has it in force."""
    configuration = json.loads(default_configuration())
    configuration["teams"][f"round-{number}"] = {"share": 1}
    answer = cluster.apply(json.dumps(configuration), entry="entry-a1")
    accepted = time.monotonic()
    assert answer.status == 200, answer
    wanted = answer.json()["revision"]
    waiting = set(entries)
    while waiting:
        waiting = {name for name in waiting
                   if cluster.admin("configuration", name).json()["revision"] < wanted}
        assert time.monotonic() < accepted + 30, waiting
    return (time.monotonic() - accepted) * 1000


def figures(times):
    return {"median_ms": round(statistics.median(times), 1), "most_ms": round(max(times), 1)}


with Cluster(zones=3, entries=3, targets=1, proxy=True) as cluster:
    time.sleep(2)
    start = calls(cluster)
    time.sleep(10)
    idle = calls(cluster)
    up = [change(cluster, number, cluster.entries) for number in range(ROUNDS)]
    after = calls(cluster)
    cluster.rules(*cluster.cut_zone_from_platform("b"))
    time.sleep(1)
    cut = [change(cluster, ROUNDS + number, cluster.entries) for number in range(ROUNDS)]
    cluster.rules()
    entries = len(cluster.entries)
    print(json.dumps({
        "entries": entries, "rounds": ROUNDS,
        "platform_up": figures(up), "one_zone_cut_from_platform": figures(cut),
        "store_calls_a_change": {kind: round((after.get(kind, 0) - idle.get(kind, 0)) / ROUNDS, 2)
                                 for kind in ("reads", "writes", "watches")},
        "store_calls_idle_10s_an_entry": {
            kind: round((idle.get(kind, 0) - start.get(kind, 0)) / entries, 2)
            for kind in ("reads", "writes", "watches")}}))
