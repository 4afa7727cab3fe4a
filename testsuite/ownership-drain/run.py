"""A planned stop under load aborts no request and only briefly interrupts placement on its targets."""

import time
import unittest

from harness import Cluster
from harness import faults

LONG_WORK_MS = 4000


class Drain(unittest.TestCase):
    def test_stop_under_load(self):
        with Cluster(zones=1, entries=2, targets=4, slots=32, proxy=True) as cluster:
            faults.wait_for_stable_leases(cluster)
            own = faults.leased_targets(cluster, "entry-a1")
            # Long requests are in flight on the targets of the entry that stops.
            long = cluster.start_load(10, 2, entries=["entry-a1"], work_ms=LONG_WORK_MS,
                                      deadline_ms=20000)
            time.sleep(2.2)
            load = cluster.start_load(200, 8, entries=["entry-a2"], work_ms=5)
            time.sleep(1)
            stopping = time.monotonic()
            cluster.processes["entry-a1"].terminate()
            took = faults.seconds_until_startable_by(cluster, ["entry-a2"], own)
            print(f"handed over after {took:.3f} s")
            self.assertLess(took, 1)
            self.assertEqual(cluster.processes["entry-a1"].wait(20), 0)
            cluster.processes.pop("entry-a1")
            print(f"stopped after {time.monotonic() - stopping:.2f} s")
            for figures in (faults.finish(long), faults.finish(load)):
                print(figures)
                self.assertEqual(figures["answered"], figures["sent"])
            cluster.check_trace()


if __name__ == "__main__":
    unittest.main()
