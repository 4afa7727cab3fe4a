"""A target is alive but no entry can reach it: its tasks keep running until their lease expires."""

import unittest

from harness import Cluster
from harness.jobs import accept, check_all, states, wait_finished


class TargetCutOff(unittest.TestCase):
    def test_target_cut_off_keeps_its_tasks_until_their_lease_has_lapsed(self):
        with Cluster(zones=2, entries=2, targets=2, proxy=True,
                     times={"task_lease": "12s"}) as cluster:
            job = accept(cluster, "entry-b1", tasks=24, command={"run_ms": 14000})
            cluster.wait(lambda: len(cluster.events("task_running")) >= 24, 10, "not started")
            cluster.rules({"link": "a-target-a1", "mode": "blackhole"})
            shown, = wait_finished(cluster, [job], 60)
            self.assertEqual(states(shown), {"done": 24})
            self.assertTrue(cluster.events("task_surely_lapsed"))
            cluster.rules()
            check_all(cluster)  # includes that no task ran on two targets at once


if __name__ == "__main__":
    unittest.main()
