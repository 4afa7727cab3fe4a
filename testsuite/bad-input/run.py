"""Wrong settings and requests: a clear message, the right status, and no partial effect."""

import pathlib
import subprocess
import tempfile
import unittest

from harness import Cluster, call
from harness.cluster import PROGRAMS


class BadInput(unittest.TestCase):
    def test_settings_report_every_problem(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "entry.yaml"
            path.write_text("name: x\navailability_zone: a\nhttp: nowhere\npeer: 127.0.0.1:1\n"
                            "platform: 127.0.0.1:2\ntimes: {task_lease: 30}\ncolour: red\n")
            result = subprocess.run([PROGRAMS["entry"], "--settings", path], capture_output=True,
                                    text=True, timeout=10, check=False)
        self.assertEqual(result.returncode, 2)
        for expected in (":3: http: 'nowhere'", ":6: times.task_lease: '30'",
                         ":7: colour: is not a known setting"):
            self.assertIn(expected, result.stderr)

    def test_requests(self):
        with Cluster(zones=1, entries=1, targets=1) as cluster:
            entry = cluster.entry("entry-a1")
            cases = [
                ("GET", "/v1/requests/open", None, None, {}, 405),
                ("POST", "/v1/nothing", "", None, {}, 404),
                ("POST", "/v1/requests/none", "", None, {}, 404),
                ("POST", "/v1/requests/urgent", "", None, {}, 401),
                ("POST", "/v1/requests/urgent", "", "wrong", {}, 401),
                ("POST", "/v1/requests/open", "", None, {"Deadline-Ms": "soon"}, 400),
                ("POST", "/v1/requests/open", "", None, {"Repeatable": "maybe"}, 400),
                ("POST", "/v1/requests/open", "x" * (1 << 21), None, {}, 413),
                ("POST", "/v1/jobs", "{", "red-key", {}, 400),
                ("POST", "/v1/jobs", '{"queue": "batch", "tusks": 2}', "red-key", {}, 400),
                ("GET", "/v1/jobs/none", None, "red-key", {}, 404),
                ("PUT", "/v1/admin/configuration", "", "red-key", {"If-Match": "0"}, 401),
            ]
            for method, path, body, key, headers, status in cases:
                answer = call(entry, method, path, body, key, headers)
                self.assertEqual(answer.status, status, (method, path, answer))
                self.assertEqual(answer.json()["outcome"], "not_run")
                self.assertTrue(answer.json()["message"])
            self.assertEqual(cluster.events("request_running"), [])


if __name__ == "__main__":
    unittest.main()
