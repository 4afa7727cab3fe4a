"""A driver is paused until other entries adopt its jobs; after it resumes, its late writes fail."""

import time
import unittest

from harness import Cluster
from harness.jobs import check_all, keep_submitting, states, wait_finished


class DriverFrozen(unittest.TestCase):
    def test_paused_driver_is_replaced_and_stops(self):
        with Cluster(zones=3, entries=2, targets=1, times={"task_lease": "6s"}) as cluster:
            thread, accepted = keep_submitting(cluster, ["entry-a1"], 8, 0.05, tasks=10,
                                               command={"run_ms": 1500})
            thread.join()
            cluster.wait(lambda: len(cluster.events("task_running")) >= 12, 10, "not started")
            cluster.pause("entry-a1")
            cluster.wait(lambda: cluster.events("job_adopted"), 15, "not adopted")
            time.sleep(1.5)
            cluster.resume("entry-a1")
            for shown in wait_finished(cluster, accepted.values(), 60):
                self.assertEqual(states(shown), {"done": 10})
            self.assertTrue(cluster.events("job_lost"), "the paused driver did not notice")
            check_all(cluster)

    def test_driver_paused_between_storing_and_starting(self):
        """Pauses entries at several points of the load; no task may have two runs at a time."""
        with Cluster(zones=2, entries=2, targets=2, times={"task_lease": "6s"}) as cluster:
            thread, accepted = keep_submitting(cluster, list(cluster.entries), 16, 0.1, tasks=6,
                                               command={"run_ms": 300})
            for number in range(3):
                name = list(cluster.entries)[number]
                cluster.pause(name)
                time.sleep(4.5)
                cluster.resume(name)
                time.sleep(0.7)
            thread.join()
            for shown in wait_finished(cluster, accepted.values(), 40):
                self.assertEqual(states(shown), {"done": 6})
            check_all(cluster)


if __name__ == "__main__":
    unittest.main()
