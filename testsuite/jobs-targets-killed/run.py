"""Targets are killed while they run tasks, and stay down or restart without them."""

import time
import unittest

from harness import Cluster
from harness.jobs import accept, check_all, keep_submitting, states, wait_finished

TASK_LEASE_S = 6


class TargetsKilled(unittest.TestCase):
    def test_tasks_of_a_dead_target_run_elsewhere_once_lapsed(self):
        with Cluster(zones=2, entries=2, targets=2,
                     times={"task_lease": f"{TASK_LEASE_S}s"}) as cluster:
            thread, accepted = keep_submitting(cluster, ["entry-a1", "entry-b1"], 4, 0, tasks=6,
                                               command={"run_ms": 3000})
            thread.join()
            once = accept(cluster, "entry-b1", tasks=6, command={"run_ms": 3000}, repeatable=False)
            cluster.wait(lambda: len(cluster.events("task_running")) >= 28, 10, "not started")
            killed_at = time.monotonic_ns() // 1000
            lost = {e["task"] for e in cluster.events("task_running")
                    if e["process"] == "target-a1"}
            self.assertTrue(lost)
            cluster.kill("target-a1")
            for shown in wait_finished(cluster, accepted.values(), 40):
                self.assertEqual(states(shown), {"done": 6})
            again = [e for e in cluster.events("task_running") if e["task"] in lost
                     and e["mono_us"] > killed_at]
            self.assertTrue(again)
            # The last renewal may have been a quarter of the lease before the death.
            self.assertGreater(min(e["mono_us"] for e in again) - killed_at,
                               0.75 * TASK_LEASE_S * 1e6)
            shown, = wait_finished(cluster, [once], 20)
            self.assertEqual(set(states(shown)) - {"done", "unknown"}, set())
            for task in range(6):
                runs = [e for e in cluster.events("task_running") if e["task"] == f"{once}.{task}"]
                self.assertLessEqual(len(runs), 1, "a task that is not repeatable ran again")
            check_all(cluster)

    def test_target_that_comes_back_empty(self):
        with Cluster(zones=2, entries=1, targets=2, times={"task_lease": "20s"}) as cluster:
            thread, accepted = keep_submitting(cluster, ["entry-a1"], 4, 0, tasks=6,
                                               command={"run_ms": 2500})
            thread.join()
            cluster.wait(lambda: len(cluster.events("task_running")) >= 20, 10, "not started")
            cluster.kill("target-a1")
            cluster.start_target("target-a1")
            for shown in wait_finished(cluster, accepted.values(), 18):
                self.assertEqual(states(shown), {"done": 6})
            check_all(cluster)

    def test_target_that_fails_everything(self):
        with Cluster(zones=2, entries=1, targets=2, times={"task_lease": "6s"}) as cluster:
            cluster.target_faults("target-b1", fail_everything=True)
            thread, accepted = keep_submitting(cluster, ["entry-a1"], 4, 0, tasks=4,
                                               command={"run_ms": 300})
            thread.join()
            jobs = wait_finished(cluster, accepted.values(), 30)
            self.assertTrue(all(job["finished"] for job in jobs))
            check_all(cluster)


if __name__ == "__main__":
    unittest.main()
