"""Two faults at once."""

import time
import unittest

from harness import Cluster
from harness import faults


class TwoFaults(unittest.TestCase):
    def test_entry_dies_in_a_zone_cut_from_everything(self):
        with Cluster(zones=2, entries=2, targets=4, proxy=True) as cluster:
            faults.wait_for_stable_leases(cluster)
            load = cluster.start_load(100, 12, entries=["entry-a2"], work_ms=10)
            cluster.rules(*cluster.cut_zone_from_zones("a"), *cluster.cut_zone_from_platform("a"))
            time.sleep(2)
            cluster.kill("entry-a1")
            took = faults.seconds_until_startable(cluster, "a")
            print(f"taken over after {took:.2f} s")
            self.assertLess(took, faults.TAKEOVER_LIMIT_S)
            time.sleep(2)
            cluster.rules()
            figures = faults.finish(load)
            print(figures)
            self.assertGreaterEqual(faults.answered_share(figures), faults.ANSWERED_SHARE)
            cluster.check_trace()

    def test_entry_frozen_while_its_target_is_cut(self):
        with Cluster(zones=1, entries=2, targets=4, slots=4, proxy=True) as cluster:
            faults.wait_for_stable_leases(cluster)
            load = cluster.start_load(80, 14, work_ms=50, deadline_ms=1500)
            time.sleep(2)
            target = sorted(faults.leased_targets(cluster, "entry-a1"))[0]
            cluster.rules({"link": f"a-{target}", "mode": "blackhole"})
            cluster.pause("entry-a1")
            time.sleep(5)
            cluster.resume("entry-a1")
            cluster.rules()
            took = faults.seconds_until_startable(cluster, "a")
            print(f"back after {took:.2f} s", faults.finish(load))
            self.assertLess(took, faults.TAKEOVER_LIMIT_S)
            cluster.check_trace()


if __name__ == "__main__":
    unittest.main()
