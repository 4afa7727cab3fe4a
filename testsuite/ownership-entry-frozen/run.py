"""An entry is stopped past its leases and resumed in mid-start, with requests waiting for it."""

import time
import unittest

from harness import Cluster
from harness import faults

FROZEN_S = 6


class EntryFrozen(unittest.TestCase):
    def test_late_starts_do_nothing(self):
        with Cluster(zones=2, entries=2, targets=4, slots=4, proxy=True) as cluster:
            faults.wait_for_stable_leases(cluster)
            own = faults.leased_targets(cluster, "entry-a1")
            self.assertTrue(own)
            steady = cluster.start_load(150, 14, entries=["entry-a2"], work_ms=20)
            # These wait in the sockets of the stopped process, which reads them all when it resumes.
            burst = cluster.start_load(150, 10, entries=["entry-a1"], work_ms=20, deadline_ms=9000)
            time.sleep(2)
            cluster.pause("entry-a1")
            took = faults.seconds_until_startable_by(cluster, ["entry-a2"], own)
            print(f"taken over after {took:.2f} s")
            self.assertLess(took, faults.TAKEOVER_LIMIT_S)
            time.sleep(max(0, FROZEN_S - took))
            cluster.resume("entry-a1")
            cluster.wait(lambda: faults.leased_targets(cluster, "entry-a1") == own, 15,
                         "the resumed entry does not get its targets back")
            figures = faults.finish(steady)
            print("other entry", figures)
            print("frozen entry", faults.finish(burst))
            self.assertGreaterEqual(faults.answered_share(figures), faults.ANSWERED_SHARE)
            cluster.check_trace()


if __name__ == "__main__":
    unittest.main()
