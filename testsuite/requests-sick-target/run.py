"""A target that fails or stalls everything is detected and does not attract work."""

import time
import unittest

from harness import Cluster

RATE = 200
SECONDS = 4


def share_ok(cluster, **flags):
    """Share of requests that a target ran with success."""
    result = cluster.load(RATE, SECONDS, work_ms=10, deadline_ms=1000, **flags)[0]
    return result["answered"] / result["sent"]


class SickTarget(unittest.TestCase):
    @staticmethod
    def served_since(cluster, wall_us):
        """Whether the target gets regular work again, and not only single probes."""
        runs = [e for e in cluster.events("request_running")
                if e["process"] == "target-a2" and e["wall_us"] > wall_us]
        return len(runs) > RATE / 20

    def measure(self, repeatable, **faults):
        with Cluster(zones=1, entries=1, targets=4, slots=4) as cluster:
            sound = share_ok(cluster, repeatable=repeatable)
            cluster.target_faults("target-a2", **faults)
            sick = share_ok(cluster, repeatable=repeatable)
            cluster.check_trace()
            cluster.target_faults("target-a2")
            back = time.time_ns() // 1000
            end = time.monotonic() + 25
            while time.monotonic() < end and not self.served_since(cluster, back):
                cluster.load(RATE, 1, work_ms=10)
            self.assertTrue(self.served_since(cluster, back),
                            "the target got no regular work after its recovery")
            found = {e["target"] for e in cluster.events("target_health") if e["probation"]}
            # A target that hangs may lose its lease, with its slots still reserved, before it is put
            # on probation.
            self.assertIn(found, [{"target-a2"}, set()] if "hang" in faults else [{"target-a2"}])
            print(f"{faults} repeatable={repeatable}: {sick / sound:.4f} of the share without")
            return sick / sound

    def test_fails_everything(self):
        self.assertGreater(self.measure("false", fail_everything=True), 0.95)

    def test_hangs(self):
        self.assertGreater(self.measure("false", hang=True), 0.95)

    def test_fails_everything_repeatable(self):
        self.assertGreater(self.measure("true", fail_everything=True), 0.99)


if __name__ == "__main__":
    unittest.main()
