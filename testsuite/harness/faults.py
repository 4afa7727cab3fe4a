"""Helpers of the tests that inject faults: waiting for recovery and measuring it."""

import json
import time

from .cluster import Cluster

TAKEOVER_LIMIT_S = 5
ANSWERED_SHARE = 0.95
SETTLING_S = 5
CUT_S = 6


def zone_entries(cluster, zone, without=()):
    return [name for name, (z, _) in cluster.entries.items() if z == zone and name not in without]


def zone_targets(cluster, zone, without=()):
    return {name for name, (z, _) in cluster.targets.items() if z == zone and name not in without}


def seconds_until_startable(cluster, zone, without=()):
    """Wait until every target of a zone accepts new work again; returns the seconds it took."""
    begun = time.monotonic()
    wanted = zone_targets(cluster, zone, without)
    cluster.wait(lambda: wanted <= cluster.startable([zone]), 20, f"{zone} has targets without lease")
    return time.monotonic() - begun


def leased_targets(cluster, entry):
    """Names of the targets whose leases an entry holds."""
    answer = cluster.admin("targets", entry)
    return {t["name"] for t in answer.json()["targets"] if t["held"]} if answer.status == 200 else set()


def wait_for_stable_leases(cluster):
    """Wait until each zone's entries lease all its targets and no lease is being handed over."""
    time.sleep(SETTLING_S)
    for zone in cluster.zones:
        seconds_until_startable(cluster, zone)


def finish(load):
    """Wait for the end of a load on one queue; returns its results."""
    return json.loads(load.communicate()[0])[0]


def longest_pause_s(cluster, since_us, until_us, target):
    """Longest time without a start on a target between two times, from the target's own events."""
    starts = [e["mono_us"] for e in cluster.events("request_running")
              if since_us <= e["mono_us"] <= until_us and e["process"] == target]
    marks = [since_us, *starts, until_us]
    return max(after - before for before, after in zip(marks, marks[1:])) / 1e6


def answered_share(figures):
    return figures["answered"] / figures["sent"]


def seconds_until_startable_by(cluster, entries, targets):
    """Wait until the given entries can start work on all the targets; returns the seconds."""
    begun = time.monotonic()

    def all_startable():
        names = set()
        for entry in entries:
            names |= {t["name"] for t in cluster.admin("targets", entry).json()["targets"]
                      if t["may_start"]}
        return targets <= names

    cluster.wait(all_startable, 20, "the targets are not taken over")
    return time.monotonic() - begun


def check_zone_serves(case, make_rules):
    """Check that zone a serves a load within its capacity under the rules of make_rules(cluster)."""
    with Cluster(zones=2, entries=2, targets=4, proxy=True) as cluster:
        wait_for_stable_leases(cluster)
        load = cluster.start_load(150, CUT_S + 4, entries=zone_entries(cluster, "a"), work_ms=10)
        time.sleep(1)
        cluster.rules(*make_rules(cluster))
        time.sleep(CUT_S)
        for zone in cluster.zones:
            case.assertEqual(cluster.startable([zone]), zone_targets(cluster, zone))
        cluster.rules()
        figures = finish(load)
        print(figures)
        case.assertGreaterEqual(answered_share(figures), ANSWERED_SHARE)
        cluster.check_trace()
