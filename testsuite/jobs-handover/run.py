"""Planned stops hand jobs over; finished jobs are archived and can still be read."""

import threading
import time
import unittest

from harness import Cluster
from harness.client import call
from harness.jobs import accept, check_all, keep_submitting, show, states, wait_finished

STOP_LIMIT_S = 10


class Handover(unittest.TestCase):
    def test_finished_jobs_are_archived_and_remain_readable(self):
        with Cluster(zones=1, entries=2, targets=1,
                     times={"finished_job_rest": "1s"}) as cluster:
            thread, accepted = keep_submitting(cluster, list(cluster.entries), 4, 0, tasks=2)
            thread.join()
            wait_finished(cluster, accepted.values(), 10)
            time.sleep(1.2)
            self.assertEqual(cluster.stop("entry-a2"), 0)

            def active():
                return call(cluster.platform, "GET", "/kv?prefix=jobs/").json()["entries"]

            cluster.wait(lambda: not active(), 10,
                         "finished jobs are still stored among the active ones")
            for shown in wait_finished(cluster, accepted.values(), 5):
                self.assertEqual(states(shown), {"done": 2})
            self.assertEqual(accept(cluster, "entry-a1", id="job-0", tasks=2), accepted["job-0"])
            self.assertEqual(len(cluster.events("task_running")), 8)

    def test_planned_stop_answers_waiting_callers(self):
        with Cluster(zones=1, entries=2, targets=1) as cluster:
            job = accept(cluster, "entry-a2", tasks=1, command={"run_ms": 12000})
            answers = []
            waiter = threading.Thread(
                target=lambda: answers.append(show(cluster, job, "entry-a1", wait_ms=29000)))
            waiter.start()
            time.sleep(0.5)
            begun = time.monotonic()
            self.assertEqual(cluster.stop("entry-a1"), 0)
            self.assertLess(time.monotonic() - begun, STOP_LIMIT_S)
            waiter.join()
            self.assertEqual(answers[0].status, 200)
            wait_finished(cluster, [job], 20)

    def test_planned_stop_hands_jobs_over_at_once(self):
        with Cluster(zones=2, entries=2, targets=1, times={"task_lease": "6s"}) as cluster:
            thread, accepted = keep_submitting(cluster, ["entry-a1"], 4, 0, tasks=2,
                                               command={"run_ms": 6000})
            thread.join()
            cluster.wait(lambda: len(cluster.events("task_running")) >= 8, 10, "not started")
            self.assertEqual(cluster.stop("entry-a1"), 0)
            for shown in wait_finished(cluster, accepted.values(), 20):
                self.assertEqual(states(shown), {"done": 2})
            self.assertEqual(len(cluster.events("task_running")), 8)
            check_all(cluster)


if __name__ == "__main__":
    unittest.main()
