"""A target is killed and comes back under its name; another is cut and comes back."""

import time
import unittest

from harness import Cluster
from harness import faults


class TargetFaults(unittest.TestCase):
    def test_killed_and_restarted(self):
        with Cluster(zones=1, entries=2, targets=4, proxy=True) as cluster:
            faults.wait_for_stable_leases(cluster)
            load = cluster.start_load(100, 12, work_ms=200, deadline_ms=2000)
            time.sleep(2)
            cluster.kill("target-a1")
            time.sleep(3)
            cluster.start_target("target-a1")
            took = faults.seconds_until_startable(cluster, "a")
            print(f"back after {took:.2f} s")
            self.assertLess(took, faults.TAKEOVER_LIMIT_S)
            print(faults.finish(load))
            cluster.wait(lambda: self.reserved_slots(cluster) == 0, 10,
                         "slots stay reserved for work that was lost with the target")
            cluster.check_trace()

    def test_cut_and_back(self):
        with Cluster(zones=1, entries=2, targets=4, slots=4, proxy=True) as cluster:
            faults.wait_for_stable_leases(cluster)
            load = cluster.start_load(60, 14, work_ms=100, deadline_ms=1500)
            time.sleep(2)
            cluster.rules({"link": "a-target-a1", "mode": "blackhole"})
            cluster.wait(lambda: "target-a1" not in cluster.startable(), 5,
                         "starts are still allowed on a target that is cut off")
            time.sleep(3)
            cluster.rules()
            took = faults.seconds_until_startable(cluster, "a")
            print(f"back after {took:.2f} s")
            self.assertLess(took, faults.TAKEOVER_LIMIT_S)
            print(faults.finish(load))
            cluster.wait(lambda: self.reserved_slots(cluster) == 0, 15,
                         "slots stay reserved after the cut")
            cluster.check_trace()

    def reserved_slots(self, cluster):
        return sum(t["reserved"]["slots"] for entry in cluster.entries
                   for t in cluster.admin("targets", entry).json()["targets"] if t["held"])


if __name__ == "__main__":
    unittest.main()
