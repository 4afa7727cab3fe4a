"""Each entry in turn is killed and replaced while a batch runs; no accepted job is lost."""

import time
import unittest

from harness import Cluster
from harness.jobs import check_all, keep_submitting, states, wait_finished

ADOPTION_LIMIT_S = 10


class EntriesKilled(unittest.TestCase):
    def test_every_entry_killed_once(self):
        with Cluster(zones=3, entries=1, targets=2, times={"task_lease": "6s"}) as cluster:
            names = list(cluster.entries)
            thread, accepted = keep_submitting(cluster, names, 24, 0.4, tasks=6,
                                               command={"run_ms": 700})
            for name in names:
                time.sleep(2.5)
                cluster.kill(name)
                time.sleep(1)
                cluster.start_entry(name)
                cluster.wait_port(cluster.entry(name))
            thread.join()
            self.assertEqual(len(accepted), 24)
            for shown in wait_finished(cluster, accepted.values(), 30):
                self.assertEqual(states(shown), {"done": 6})
            check_all(cluster)

    def test_jobs_of_a_dead_entry_are_adopted_in_time(self):
        with Cluster(zones=2, entries=2, targets=1, times={"task_lease": "6s"}) as cluster:
            thread, accepted = keep_submitting(cluster, ["entry-a1"], 8, 0, tasks=2,
                                               command={"run_ms": 12000})
            thread.join()
            cluster.wait(lambda: len(cluster.events("task_running")) >= 8, 10, "not started")
            died = time.monotonic_ns() // 1000
            cluster.kill("entry-a1")
            cluster.wait(lambda: len(cluster.events("job_adopted")) == 8, 20, "not adopted")
            last = max(e["mono_us"] for e in cluster.events("job_adopted"))
            self.assertLess((last - died) / 1e6, ADOPTION_LIMIT_S)
            for shown in wait_finished(cluster, accepted.values(), 30):
                self.assertEqual(states(shown), {"done": 2})
            runs = len(cluster.events("task_running"))
            self.assertEqual(runs, 16, "a running task was not taken over but started again")
            check_all(cluster)


if __name__ == "__main__":
    unittest.main()
