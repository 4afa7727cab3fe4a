"""A limit is lowered below the usage: nothing starts above it, and running work ends normally."""

import json
import time
import unittest

from harness import Cluster
from harness.cluster import default_configuration

SETTLED_S = 3


def limited(slots):
    configuration = json.loads(default_configuration())
    configuration["teams"]["red"]["limit"] = {"slots": slots}
    return json.dumps(configuration)


def running_after(cluster, stamp_us):
    """The most requests of the team that ran at once after a time."""
    running, most = 0, 0
    for event in cluster.events():
        if event["slice"] != "target" or not event["event"].startswith("request_"):
            continue
        running += 1 if event["event"] == "request_running" else -1
        if event["mono_us"] > stamp_us:
            most = max(most, running)
    return most


class LimitsLowered(unittest.TestCase):
    def test_lower_then_raise(self):
        with Cluster(zones=2, entries=1, targets=2, configuration=limited(8)) as cluster:
            load = cluster.start_load(300, 18, "urgent", keys="red-key", work_ms=50,
                                      deadline_ms=400)
            time.sleep(6)
            self.assertEqual(cluster.apply(limited(3)).status, 200)
            lowered_us = (time.monotonic() + SETTLED_S) * 1e6
            time.sleep(6)
            before_raise_us = time.monotonic_ns() / 1000
            self.assertEqual(cluster.apply(limited(8)).status, 200)
            load.communicate(timeout=60)
            cluster.check_trace("--limits", "red=8")
            while_low = [e for e in cluster.events() if e["mono_us"] < before_raise_us]
            cluster.events = lambda event=None: while_low
            self.assertLessEqual(running_after(cluster, lowered_us), 3)
            self.assertGreater(running_after(cluster, lowered_us), 0)


if __name__ == "__main__":
    unittest.main()
