"""One request and one job, from the caller to a target and back, in three zones."""

import json
import unittest

from harness import Cluster


class QuickPath(unittest.TestCase):
    def test_request_and_job(self):
        with Cluster(zones=3, entries=1, targets=2) as cluster:
            for entry in cluster.entries:
                address = cluster.entry(entry)
                answer = cluster.tool("--entry", address, "--key", "red-key", "request", "urgent",
                                      "--body", '{"work_ms": 5, "quote": 42}')
                self.assertEqual(answer.returncode, 0, answer.stderr)
                self.assertEqual(json.loads(json.loads(answer.stdout)["echo"])["quote"], 42)
            done = cluster.tool("--entry", address, "--key", "red-key", "job", "submit", "batch",
                                "--tasks", "4", "--command", '{"run_ms": 50}', "then", "job",
                                "wait", "--json")
            self.assertEqual(done.returncode, 0, done.stderr)
            job = json.loads(done.stdout.splitlines()[-1])
            self.assertEqual([task["state"] for task in job["tasks"]], ["done"] * 4)
            cluster.check_trace()
            for entry in cluster.entries:
                self.assertEqual(cluster.stop(entry), 0)


if __name__ == "__main__":
    unittest.main()
