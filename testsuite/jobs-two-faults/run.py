"""Two faults at once: a store that loses replies or goes down while entries die."""

import time
import unittest

from harness import Cluster
from harness.jobs import check_all, keep_submitting, states, wait_finished


class TwoFaults(unittest.TestCase):
    def test_driver_dies_while_the_store_is_down(self):
        with Cluster(zones=3, entries=1, targets=2, times={"task_lease": "6s"}) as cluster:
            thread, accepted = keep_submitting(cluster, list(cluster.entries), 9, 0, tasks=6,
                                               command={"run_ms": 4000})
            thread.join()
            cluster.wait(lambda: len(cluster.events("task_running")) >= 30, 10, "not started")
            cluster.platform_faults(down="hang")
            cluster.kill("entry-a1")
            time.sleep(9)
            cluster.platform_faults()
            cluster.start_entry("entry-a1")
            for shown in wait_finished(cluster, accepted.values(), 60):
                self.assertEqual(states(shown), {"done": 6})
            check_all(cluster)

    def test_replies_lost_while_a_driver_and_a_target_die(self):
        with Cluster(zones=3, entries=2, targets=2, times={"task_lease": "6s"}) as cluster:
            thread, accepted = keep_submitting(cluster, list(cluster.entries), 16, 0.1, tasks=6,
                                               command={"run_ms": 1200})
            time.sleep(1.5)
            cluster.platform_faults(lose_replies=4)
            cluster.kill("entry-b1")
            cluster.kill("target-c1")
            time.sleep(4)
            cluster.platform_faults(lose_replies=4)
            cluster.start_entry("entry-b1")
            thread.join()
            for shown in wait_finished(cluster, accepted.values(), 60):
                self.assertEqual(states(shown), {"done": 6})
            check_all(cluster)


if __name__ == "__main__":
    unittest.main()
