"""A target is unreachable only for the entry that is assigned to it."""

import time
import unittest

from harness import Cluster
from harness import faults


class PartialCut(unittest.TestCase):
    def test_cut_from_one_entry_only(self):
        with Cluster(zones=1, entries=2, targets=4, proxy=True) as cluster:
            faults.wait_for_stable_leases(cluster)
            target = sorted(faults.leased_targets(cluster, "entry-a1"))[0]
            cluster.rules({"from": cluster.entry_ip("entry-a1"), "link": f"a-{target}",
                           "mode": "blackhole"})
            cluster.wait(lambda: target in faults.leased_targets(cluster, "entry-a2"), 10,
                         "no other entry leases a target that only its assigned entry cannot reach")
            time.sleep(6)
            self.assertIn(target, faults.leased_targets(cluster, "entry-a2"))
            cluster.check_trace()


if __name__ == "__main__":
    unittest.main()
