"""During a long platform outage leases are renewed, and peers take over from an entry that dies."""

import time
import unittest

from harness import Cluster
from harness import faults

DOWN_S = 12


class PlatformDown(unittest.TestCase):
    def test_placing_goes_on(self):
        with Cluster(zones=2, entries=2, targets=4, proxy=True) as cluster:
            faults.wait_for_stable_leases(cluster)
            load = cluster.start_load(100, DOWN_S + 2, entries=["entry-a2", "entry-b1"], work_ms=10)
            cluster.platform_faults(down="hang")
            time.sleep(DOWN_S / 2)
            cluster.kill("entry-a1")
            took = faults.seconds_until_startable(cluster, "a")
            print(f"taken over after {took:.2f} s")
            self.assertLess(took, faults.TAKEOVER_LIMIT_S)
            figures = faults.finish(load)
            cluster.platform_faults(down="")
            print(figures)
            self.assertGreaterEqual(faults.answered_share(figures), faults.ANSWERED_SHARE)
            cluster.check_trace()

    def test_one_zone_cut_from_the_platform(self):
        faults.check_zone_serves(self, lambda cluster: cluster.cut_zone_from_platform("a"))


if __name__ == "__main__":
    unittest.main()
