"""The store is down, slow, or loses replies across acceptance, placement and completion."""

import threading
import time
import unittest

from harness import Cluster
from harness.client import call
from harness.jobs import accept, check_all, keep_submitting, show, states, submit, wait_finished

REFUSED_AT_ONCE_S = 1


def stored(cluster, job):
    return call(cluster.platform, "GET", f"/kv/jobs/{job}").status == 200


class StoreFaults(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(zones=3, entries=1, targets=2, times={"task_lease": "6s"})
        self.cluster.__enter__()
        self.names = list(self.cluster.entries)

    def tearDown(self):
        try:
            check_all(self.cluster)
        finally:
            self.cluster.__exit__(None, None, None)

    def test_store_outage_refuses_jobs_and_stores_none(self):
        for down in ("refuse", "hang"):
            self.cluster.platform_faults(down=down)
            first = submit(self.cluster, self.names[0], id=f"while-{down}")
            self.assertEqual((first.status, first.json()["outcome"]), (503, "not_run"), first)
            self.assertIn("Retry-After", first.headers)
            begun = time.monotonic()
            second = submit(self.cluster, self.names[0], id=f"while-{down}")
            self.assertEqual((second.status, second.json()["outcome"]), (503, "not_run"), second)
            self.assertLess(time.monotonic() - begun, REFUSED_AT_ONCE_S)
            time.sleep(1)
            probe = threading.Thread(target=submit, args=(self.cluster, self.names[0]))
            probe.start()
            time.sleep(0.2)
            begun = time.monotonic()
            third = submit(self.cluster, self.names[0], id=f"while-{down}")
            self.assertEqual((third.status, third.json()["outcome"]), (503, "not_run"), third)
            self.assertLess(time.monotonic() - begun, REFUSED_AT_ONCE_S)
            probe.join()
            self.cluster.platform_faults()
        time.sleep(1)
        self.assertEqual(self.cluster.events("task_running"), [])
        wait_finished(self.cluster, [accept(self.cluster, self.names[0], id="while-hang")], 10)

    def test_lost_reply_of_the_create_is_read_back(self):
        self.cluster.platform_faults(lose_replies=1)
        job = accept(self.cluster, self.names[0], id="lost", tasks=2)
        shown, = wait_finished(self.cluster, [job], 20)
        self.assertEqual(states(shown), {"done": 2})
        self.assertEqual(len(self.cluster.events("reply_lost")), 1)

    def test_outcome_unknown_names_the_job_and_the_job_runs_once(self):
        self.cluster.platform_faults(lose_replies=1)
        results = []

        def down_after_write():
            self.cluster.wait(lambda: self.cluster.events("reply_lost"), 10, "no reply lost")
            self.cluster.platform_faults(down="hang")

        breaker = threading.Thread(target=down_after_write)
        breaker.start()
        results.append(submit(self.cluster, self.names[0], id="unclear", tasks=2, timeout=15))
        breaker.join()
        answer = results[0]
        self.assertEqual((answer.status, answer.json()["outcome"]), (504, "unknown"), answer)
        self.cluster.platform_faults()
        job = answer.json()["job"]
        shown, = wait_finished(self.cluster, [job], 20)
        self.assertEqual(states(shown), {"done": 2})
        self.assertEqual(accept(self.cluster, self.names[1], id="unclear", tasks=2), job)

    def test_replies_lost_during_placement_and_completion(self):
        thread, accepted = keep_submitting(self.cluster, self.names, 6, 0.2, tasks=8,
                                           command={"run_ms": 400})
        for _ in range(4):
            time.sleep(0.7)
            self.cluster.platform_faults(lose_replies=3)
        thread.join()
        for shown in wait_finished(self.cluster, accepted.values(), 40):
            self.assertEqual(states(shown), {"done": 8})
        self.assertGreaterEqual(len(self.cluster.events("reply_lost")), 6)
        self.assertEqual(self.cluster.events("job_lost"), [],
                         "a driver mistook its own write for that of another entry")
        for task in {e["task"] for e in self.cluster.events("task_running")}:
            runs = [e for e in self.cluster.events("task_running") if e["task"] == task]
            self.assertEqual(len(runs), 1, task)

    def test_ends_that_come_while_an_earlier_end_is_written(self):
        jobs = [accept(self.cluster, name, tasks=8, command={"run_ms": 1500})
                for name in self.names * 2]
        self.cluster.wait(lambda: len(self.cluster.events("task_running")) >= 48, 10, "not started")
        self.cluster.platform_faults(delay_ms=900)
        for shown in wait_finished(self.cluster, jobs, 25):
            self.assertEqual(states(shown), {"done": 8})
        finished = [e["job"] for e in self.cluster.events("job_finished")]
        self.assertEqual(sorted(finished), sorted(jobs))

    def test_slow_store_and_outage_while_tasks_run(self):
        self.cluster.platform_faults(delay_ms=400)
        thread, accepted = keep_submitting(self.cluster, self.names, 6, 0.1, tasks=8,
                                           command={"run_ms": 8500})
        thread.join()
        self.cluster.wait(lambda: len(self.cluster.events("task_running")) >= 20, 20, "not started")
        self.cluster.platform_faults(down="hang")
        time.sleep(8)  # longer than the task lease, which goes on being renewed
        self.cluster.platform_faults()
        for shown in wait_finished(self.cluster, accepted.values(), 30):
            self.assertEqual(states(shown), {"done": 8})
        self.assertFalse([e for e in self.cluster.events("task_ended") if e["state"] == "lapsed"])


if __name__ == "__main__":
    unittest.main()
