"""Changes of the platform's VM list reach entries that are cut off from the platform."""

import time
import unittest

from harness import Cluster
from harness import faults

LEAVING_LIMIT_S = 5


class Leaving(unittest.TestCase):
    def test_leaving_target_gets_no_work_though_the_platform_is_cut_off(self):
        with Cluster(zones=2, entries=2, targets=4, proxy=True) as cluster:
            faults.wait_for_stable_leases(cluster)
            cluster.rules(*cluster.cut_zone_from_platform("a"))
            time.sleep(3)
            load = cluster.start_load(100, 10, entries=faults.zone_entries(cluster, "a"), work_ms=10)
            cluster.announce_target("target-a1", "leaving")
            cluster.wait(lambda: "target-a1" not in cluster.startable(["a"]), LEAVING_LIMIT_S,
                         "a leaving target still accepts new work")
            figures = faults.finish(load)
            print(figures)
            self.assertGreaterEqual(faults.answered_share(figures), faults.ANSWERED_SHARE)
            cluster.check_trace()

    def test_fresh_entry_learns_the_list_from_seeds(self):
        with Cluster(zones=1, entries=2, targets=4, proxy=True) as cluster:
            faults.wait_for_stable_leases(cluster)
            cluster.platform_faults(down="refuse")
            cluster.kill("entry-a1")
            cluster.extra_settings = {"seeds": [f"{cluster.entry_ip('entry-a2')}:8001"]}
            cluster.start_entry("entry-a1")
            cluster.wait(lambda: faults.leased_targets(cluster, "entry-a1"), 15,
                         "the new entry has no target's lease")
            names = {e["name"] for e in cluster.admin("entries", "entry-a1").json()["entries"]}
            self.assertEqual(names, set(cluster.entries))
            cluster.check_trace()

    def test_leaving_entry_drains_by_itself(self):
        with Cluster(zones=1, entries=2, targets=4) as cluster:
            faults.wait_for_stable_leases(cluster)
            cluster.announce_entry("entry-a1", "leaving")
            self.assertEqual(cluster.processes["entry-a1"].wait(15), 0)
            cluster.processes.pop("entry-a1")
            self.assertLess(faults.seconds_until_startable(cluster, "a"), 1)


if __name__ == "__main__":
    unittest.main()
