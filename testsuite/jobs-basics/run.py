"""Jobs without faults: acceptance, resubmission, retries, services, cancellation, gangs, pages."""

import json
import time
import unittest

from harness import Cluster
from harness.client import call
from harness.jobs import KEY, accept, check_all, show, states, submit, wait_finished


class JobsBasics(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = Cluster(zones=3, entries=1, targets=2)
        cls.cluster.__enter__()

    @classmethod
    def tearDownClass(cls):
        try:
            check_all(cls.cluster)
        finally:
            cls.cluster.__exit__(None, None, None)

    def test_resubmission_is_the_same_job(self):
        entries = list(self.cluster.entries)
        first = accept(self.cluster, entries[0], id="once", tasks=3)
        self.assertEqual(accept(self.cluster, entries[1], id="once", tasks=3), first)
        self.assertNotEqual(accept(self.cluster, entries[1], "blue-key", id="once", tasks=3), first)
        other = submit(self.cluster, entries[2], id="once", tasks=4)
        self.assertEqual((other.status, other.json()["code"]), (409, "id_reused"))
        wait_finished(self.cluster, [first], 10)
        runs = [e for e in self.cluster.events("task_running") if e["task"].startswith(first)]
        self.assertEqual(len(runs), 3)

    def test_refusals_give_a_reason(self):
        entry = next(iter(self.cluster.entries))
        for job, status, code in [
                ({"tasks": 0}, 400, "bad_job"), ({"gang": "yes"}, 400, "bad_job"),
                ({"demand": {"slots": 9}}, 422, "never_fits"),
                ({"tasks": 49, "gang": True, "demand": {"slots": 1}}, 422, "never_fits"),
                ({"queue": "none"}, 404, "no_such_queue")]:
            answer = submit(self.cluster, entry, **job)
            self.assertEqual((answer.status, answer.json()["code"], answer.json()["outcome"]),
                             (status, code, "not_run"), answer)

    def test_large_job_uses_all_zones_and_several_pages(self):
        entry = next(iter(self.cluster.entries))
        job = accept(self.cluster, entry, tasks=350, command={"run_ms": 100})
        shown, = wait_finished(self.cluster, [job], 30)
        self.assertEqual(states(shown), {"done": 350})
        self.assertEqual({task["target"] for task in shown["tasks"]}, set(self.cluster.targets))

    def test_failing_job_ends_with_its_reason(self):
        entry = next(iter(self.cluster.entries))
        job = accept(self.cluster, entry, tasks=2, command={"exit": 1})
        once = accept(self.cluster, entry, tasks=2, command={"exit": 1}, repeatable=False)
        shown, shown_once = wait_finished(self.cluster, [job, once], 20)
        self.assertEqual(shown["state"], "failed")
        self.assertIn("failed 4 times", shown["reason"])
        self.assertEqual([task["failures"] for task in shown["tasks"]], [4, 4])
        self.assertEqual([task["failures"] for task in shown_once["tasks"]], [1, 1])

    def test_service_runs_until_cancelled(self):
        entry = next(iter(self.cluster.entries))
        job = accept(self.cluster, entry, tasks=2, command={"run_ms": 300}, service=True)
        self.cluster.wait(lambda: len([e for e in self.cluster.events("task_running")
                                       if e["task"].startswith(job)]) >= 6, 15, "not started again")
        self.assertFalse(show(self.cluster, job).json()["finished"])
        call(self.cluster.entry(entry), "POST", f"/v1/jobs/{job}/cancel", key=KEY)
        shown, = wait_finished(self.cluster, [job], 10)
        self.assertEqual(shown["state"], "cancelled")

    def test_cancellation_in_a_wave_is_final(self):
        entries = list(self.cluster.entries)
        jobs = [accept(self.cluster, entries[i % 3], "blue-key", queue="urgent", tasks=3,
                       command={"run_ms": 60000}) for i in range(12)]
        other = accept(self.cluster, entries[0], queue="urgent", tasks=1, command={"run_ms": 500})
        answer = call(self.cluster.entry(entries[1]), "POST", "/v1/jobs/cancel",
                      {"queue": "urgent"}, "blue-key")
        self.assertEqual(set(jobs) - set(answer.json()["cancelled"]), set())
        for shown in wait_finished(self.cluster, jobs, 15, "blue-key"):
            self.assertEqual(states(shown), {"cancelled": 3})
        cancelled_at = time.monotonic_ns() // 1000
        shown, = wait_finished(self.cluster, [other], 10)
        self.assertEqual(shown["state"], "done")
        late = [e for e in self.cluster.events("task_running") if e["mono_us"] > cancelled_at
                and e["task"].split(".")[0] in jobs]
        self.assertEqual(late, [])

    def test_long_poll_and_list(self):
        entries = list(self.cluster.entries)
        job = accept(self.cluster, entries[0], tasks=1, command={"run_ms": 1500})
        begun = time.monotonic()
        answer = show(self.cluster, job, entries[1], wait_ms=10000)
        self.assertTrue(answer.json()["finished"], answer)
        self.assertLess(time.monotonic() - begun, 9)
        listed = call(self.cluster.entry(entries[2]), "GET", "/v1/jobs?queue=batch", key=KEY)
        self.assertIn(job, [j["job"] for j in listed.json()["jobs"]])
        self.assertEqual(show(self.cluster, job, entries[1], "blue-key").status, 404)

    def test_competing_gangs_start_as_a_whole(self):
        entries = list(self.cluster.entries)
        # Each needs 30 of the 48 slots, so that only one fits at a time.
        jobs = [accept(self.cluster, entries[i], tasks=30, gang=True, command={"run_ms": 1000})
                for i in range(3)]
        for shown in wait_finished(self.cluster, jobs, 30):
            self.assertEqual(states(shown), {"done": 30})
        for job in jobs:
            runs = [e["mono_us"] for e in self.cluster.events("task_running")
                    if e["task"].startswith(job + ".")]
            ends = [e["mono_us"] for e in self.cluster.events("task_ended")
                    if e["task"].startswith(job + ".")]
            self.assertEqual(len(runs), 30)
            self.assertLess(max(runs), min(ends), "a task ended before the gang had started")

    def test_tool_shows_progress(self):
        entry = next(iter(self.cluster.entries))
        done = self.cluster.tool("--entry", self.cluster.entry(entry), "--key", KEY, "job", "submit",
                                 "batch", "--tasks", "2", "--command", '{"run_ms": 60000}', "then",
                                 "job", "cancel", "then", "job", "wait", "--json")
        self.assertEqual(done.returncode, 1, done.stderr)
        self.assertEqual(json.loads(done.stdout.splitlines()[-1])["state"], "cancelled")
        listed = self.cluster.tool("--entry", self.cluster.entry(entry), "--key", KEY, "job", "list",
                                   "batch")
        self.assertIn("cancelled", listed.stdout)


if __name__ == "__main__":
    unittest.main()
