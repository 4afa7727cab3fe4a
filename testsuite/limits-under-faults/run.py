"""A team that always wants more than its upper limit never has more running, whatever breaks."""

import json
import time
import unittest

from harness import Cluster
from harness.cluster import default_configuration

LIMIT = 6
WORK_MS = 50
SECONDS = 14


def limited(slots):
    configuration = json.loads(default_configuration())
    configuration["teams"]["red"]["limit"] = {"slots": slots}
    return json.dumps(configuration)


class LimitsUnderFaults(unittest.TestCase):
    def run_under_load(self, fault):
        with Cluster(zones=2, entries=2, targets=2, proxy=True,
                     configuration=limited(LIMIT)) as cluster:
            load = cluster.start_load(300, SECONDS, "urgent", keys="red-key", work_ms=WORK_MS,
                                      deadline_ms=400)
            time.sleep(5)
            fault(cluster)
            figures = json.loads(load.communicate(timeout=60)[0])[0]
            cluster.check_trace("--limits", f"red={LIMIT}")
            starts = len(cluster.events("request_running"))
        most = LIMIT * SECONDS * 1000 / WORK_MS
        print(f"answered {figures['answered']} of at most {most:.0f}; starts {starts}", flush=True)
        self.assertGreater(figures["answered"], 0)
        return figures["answered"] / most

    def test_no_fault(self):
        self.assertGreater(self.run_under_load(lambda cluster: None), 0.3)

    def test_entry_killed_while_the_platform_is_down(self):
        def fault(cluster):
            cluster.platform_faults(down="hang")
            time.sleep(1)
            cluster.kill("entry-a1")
            time.sleep(5)
            cluster.platform_faults()

        self.run_under_load(fault)

    def test_zone_cut_from_everything_and_back(self):
        def fault(cluster):
            cluster.rules(*cluster.cut_zone_from_zones("a"), *cluster.cut_zone_from_platform("a"))
            time.sleep(5)
            cluster.rules()

        self.run_under_load(fault)

    def test_entry_frozen_past_its_lease_while_replies_are_lost(self):
        def fault(cluster):
            cluster.pause("entry-b1")
            cluster.platform_faults(lose_replies=4)
            time.sleep(5)
            cluster.resume("entry-b1")
            time.sleep(1)
            cluster.platform_faults()

        self.run_under_load(fault)


if __name__ == "__main__":
    unittest.main()
