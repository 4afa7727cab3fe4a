"""The shipped example configurations are valid, and a cluster runs with them."""

import pathlib
import subprocess
import unittest

from harness import Cluster, call
from harness.cluster import PROGRAMS

FOLDER = pathlib.Path(__file__).resolve().parents[2] / "examples"


class Examples(unittest.TestCase):
    def test_config_check_accepts_each(self):
        files = sorted(FOLDER.glob("*.yaml"))
        self.assertEqual([f.stem for f in files], ["saurashtra", "siam"])
        for file in files:
            result = subprocess.run([PROGRAMS["tool"], "config", "check", file],
                                    capture_output=True, text=True, timeout=20, check=False)
            self.assertEqual(result.returncode, 0, result.stderr)

    def test_config_check_refuses_unknown_policies(self):
        for wrong, path in (("policy: strict", "policy"), ("placement: expected_finish", "placement"),
                            ("aging: 30s", "aging")):
            text = (FOLDER / "saurashtra.yaml").read_text(encoding="utf-8")
            name = wrong.split(":")[0]
            line = next(n for n in text.splitlines() if n.strip().startswith(name))
            broken = text.replace(line, line.split(":")[0] + ": nonsense", 1)
            result = subprocess.run([PROGRAMS["tool"], "config", "check", "/dev/stdin"],
                                    input=broken, capture_output=True, text=True, timeout=20,
                                    check=False)
            self.assertEqual(result.returncode, 2, result.stdout)
            self.assertIn(path, result.stderr)

    def test_siam_is_served(self):
        text = (FOLDER / "siam.yaml").read_text(encoding="utf-8")
        with Cluster(zones=1, entries=1, targets=1, configuration=text,
                     target_flags=["--processors", "16", "--memory_mb", "65536"]) as cluster:
            answer = call(cluster.entry("entry-a1"), "POST", "/v1/requests/stock-checks",
                          {"work_ms": 1})
            self.assertEqual(answer.status, 200, answer)
            self.assertEqual(call(cluster.entry("entry-a1"), "POST",
                                  "/v1/requests/netting-quotes", {}).status, 401)
            cluster.check_trace()


if __name__ == "__main__":
    unittest.main()
