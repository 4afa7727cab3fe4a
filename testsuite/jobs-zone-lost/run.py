"""A zone is lost permanently with all its VMs, and a gang loses one of its targets."""

import time
import unittest

from harness import Cluster
from harness.jobs import accept, check_all, states, wait_finished


class ZoneLost(unittest.TestCase):
    def test_gang_that_loses_a_target_starts_whole_again(self):
        with Cluster(zones=2, entries=1, targets=2, times={"task_lease": "6s"}) as cluster:
            job = accept(cluster, "entry-a1", tasks=20, gang=True, command={"run_ms": 2500})
            cluster.wait(lambda: len(cluster.events("task_running")) >= 20, 10, "not started")
            killed_at = time.monotonic_ns() // 1000
            cluster.kill("target-a1")
            cluster.start_target("target-a1")
            shown, = wait_finished(cluster, [job], 25)
            self.assertEqual(states(shown), {"done": 20})
            ends = {e["attempt"]: e["mono_us"] for e in cluster.events("task_ended")
                    if e["state"] == "succeeded"}
            starts = {e["attempt"]: e["mono_us"] for e in cluster.events("task_running")
                      if e["attempt"] in ends}
            self.assertEqual(len(ends), 20)
            self.assertGreater(min(starts.values()), killed_at,
                               "a part of the gang kept running without the rest")
            self.assertLess(max(starts.values()), min(ends.values()),
                            "a task ended before the whole gang had started")
            check_all(cluster)

    def test_zone_lost_for_good(self):
        with Cluster(zones=2, entries=1, targets=1, times={"task_lease": "6s"}) as cluster:
            job = accept(cluster, "entry-a1", tasks=12, command={"run_ms": 1500})
            cluster.wait(lambda: len(cluster.events("task_running")) >= 12, 10, "not started")
            for name in ("entry-b1", "target-b1"):
                cluster.kill(name)
                cluster.remove_vm(name)
            shown, = wait_finished(cluster, [job], 30)
            self.assertEqual(states(shown), {"done": 12})
            check_all(cluster)


if __name__ == "__main__":
    unittest.main()
