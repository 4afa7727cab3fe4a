"""A zone taken out under load and brought back, with the store up and down."""

import time
import unittest

from harness import Cluster, call
from harness.cluster import OPERATOR_KEY

# A withdrawn key and a zone taken out must be in force within "a few seconds".
FEW_SECONDS = 5


def admin(cluster, entry, method, path, body=None, headers=None):
    return call(cluster.entry(entry), method, f"/v1/admin/{path}", body, OPERATOR_KEY, headers)


def wait_restrictions_stored(cluster, entries):
    """Wait until the stored configuration includes every restriction that an entry has in force."""
    cluster.wait(lambda: all(admin(cluster, name, "GET", "restrictions").json()["restrictions"] == []
                             for name in entries), 20, "restrictions were not stored")


class OperatorsZones(unittest.TestCase):
    def test_a_zone_taken_out_under_load(self):
        for down in ("", "refuse"):
            with self.subTest(down), Cluster(zones=2, entries=1, targets=2) as cluster:
                load = cluster.start_load(100, 14, entries=["entry-a1"], work_ms=5)
                cluster.wait(lambda: any(e["process"].startswith("target-a")
                                         for e in cluster.events("request_running")),
                             10, "the load has not reached the zone")
                cluster.platform_faults(down=down)
                answer = admin(cluster, "entry-b1", "POST", "restrictions",
                               {"kind": "zone_out", "subject": "zone-a", "drain": "let-end"})
                self.assertEqual(answer.status, 200, answer)
                out_us = cluster.events("availability_zone_state")[-1]["mono_us"]
                cluster.wait(lambda: cluster.startable() == {"target-b1", "target-b2"},
                             FEW_SECONDS, "targets of the zone still accept new work")
                time.sleep(FEW_SECONDS + 1)
                cluster.platform_faults()
                wait_restrictions_stored(cluster, cluster.entries)
                back = admin(cluster, "entry-b1", "POST", "availability_zones/zone-a/in")
                self.assertEqual(back.status, 200, back)
                cluster.wait(lambda: cluster.startable() == set(cluster.targets), 14,
                             "the zone is not back")
                load.communicate()
                starts = [e["mono_us"] for e in cluster.events("request_running")
                          if e["process"].startswith("target-a")]
                in_us = cluster.events("availability_zone_state")[-1]["mono_us"]
                self.assertTrue([s for s in starts if s < out_us])
                late = [s for s in starts if out_us + FEW_SECONDS * 1_000_000 < s < in_us]
                self.assertEqual(late, [])
                cluster.check_trace()


if __name__ == "__main__":
    unittest.main()
