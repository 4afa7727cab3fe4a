"""An entry is killed under load: its targets are taken over within 5 s, and returned on restart."""

import time
import unittest

from harness import Cluster
from harness import faults


class EntryKilled(unittest.TestCase):
    def test_targets_are_taken_over(self):
        with Cluster(zones=2, entries=2, targets=4, proxy=True) as cluster:
            faults.wait_for_stable_leases(cluster)
            own = faults.leased_targets(cluster, "entry-a1")
            self.assertTrue(own)
            load = cluster.start_load(100, 12, entries=["entry-a2", "entry-b1"], work_ms=10)
            time.sleep(2)
            cluster.kill("entry-a1")
            took = faults.seconds_until_startable(cluster, "a")
            print(f"taken over after {took:.2f} s")
            self.assertLess(took, faults.TAKEOVER_LIMIT_S)
            cluster.start_entry("entry-a1")
            cluster.wait(lambda: faults.leased_targets(cluster, "entry-a1") == own, 15,
                         "the restarted entry does not get its targets back")
            figures = faults.finish(load)
            print(figures)
            self.assertGreaterEqual(faults.answered_share(figures), faults.ANSWERED_SHARE)
            self.assertEqual(figures["unknown"], 0)
            cluster.check_trace()


if __name__ == "__main__":
    unittest.main()
