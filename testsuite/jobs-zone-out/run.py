"""A zone is taken out and brought back, or cut off and joined again, while a batch runs."""

import json
import time
import unittest

from harness import Cluster
from harness.cluster import default_configuration
from harness.jobs import check_all, keep_submitting, states, wait_finished


class ZoneOut(unittest.TestCase):
    def test_zone_taken_out_and_brought_back(self):
        with Cluster(zones=3, entries=1, targets=2, times={"task_lease": "6s"}) as cluster:
            thread, accepted = keep_submitting(cluster, list(cluster.entries), 44, 0.25, tasks=8,
                                               command={"run_ms": 600})
            time.sleep(2)
            out = json.loads(default_configuration())
            out["availability_zones"] = {"zone-a": {"state": "out"}}
            self.assertEqual(cluster.apply(json.dumps(out)).status, 200)
            time.sleep(6)
            taken_out = [e for e in cluster.events("task_running")
                         if e["process"].startswith("target-a")]
            time.sleep(0.5)
            self.assertEqual(cluster.apply(default_configuration()).status, 200)
            thread.join()
            for shown in wait_finished(cluster, accepted.values(), 40):
                self.assertEqual(states(shown), {"done": 8})
            runs = [e["mono_us"] for e in cluster.events("task_running")
                    if e["process"].startswith("target-a")]
            self.assertGreater(len(runs), len(taken_out), "the zone was not used after its return")
            self.assertGreater(max(b - a for a, b in zip(runs, runs[1:])) / 1e6, 4,
                               "tasks still started in the zone")
            check_all(cluster)

    def test_zone_cut_off_keeps_its_tasks(self):
        # Tasks outlast their lease, so that they end only if it is renewed while cut off.
        with Cluster(zones=3, entries=1, targets=1, proxy=True,
                     times={"task_lease": "6s"}) as cluster:
            thread, accepted = keep_submitting(cluster, ["entry-b1"], 6, 0, tasks=4,
                                               command={"run_ms": 9000})
            thread.join()
            cluster.wait(lambda: len(cluster.events("task_running")) >= 20, 15, "not started")
            cluster.rules(*cluster.cut_zone_from_zones("a"), *cluster.cut_zone_from_platform("a"))
            time.sleep(12)  # longer than the task lease and its margin
            cluster.rules()
            for shown in wait_finished(cluster, accepted.values(), 40):
                self.assertEqual(states(shown), {"done": 4})
            lapsed = [e for e in cluster.events("task_ended") if e["state"] == "lapsed"]
            self.assertEqual(lapsed, [])
            self.assertEqual(len(cluster.events("task_running")), 24, "a task ran again")
            check_all(cluster)


if __name__ == "__main__":
    unittest.main()
