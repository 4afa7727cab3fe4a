"""Every open connection stops carrying data permanently, while new connections work."""

import time
import unittest

from harness import Cluster
from harness import faults

AFTER_S = 8


class SilentConnections(unittest.TestCase):
    def test_no_lease_and_no_peer_is_lost(self):
        with Cluster(zones=2, entries=2, targets=4, proxy=True) as cluster:
            faults.wait_for_stable_leases(cluster)
            leased = {entry: faults.leased_targets(cluster, entry) for entry in cluster.entries}
            before = time.monotonic_ns() // 1000
            cluster.rules({"mode": "freeze"})
            cluster.rules()
            end = time.monotonic() + AFTER_S
            while time.monotonic() < end:
                for zone in cluster.zones:
                    self.assertEqual(cluster.startable([zone]), faults.zone_targets(cluster, zone))
                time.sleep(0.2)
            for entry, names in leased.items():
                self.assertEqual(faults.leased_targets(cluster, entry), names)
            lost = [e for e in cluster.events("peer_silent") if e["mono_us"] > before]
            self.assertEqual(lost, [])
            cluster.check_trace()

    def test_load_goes_on(self):
        with Cluster(zones=2, entries=2, targets=4, proxy=True) as cluster:
            faults.wait_for_stable_leases(cluster)
            load = cluster.start_load(100, 4, work_ms=10, deadline_ms=1000)
            time.sleep(1)
            cluster.rules({"mode": "freeze"})
            cluster.rules()
            faults.finish(load)
            # All frozen connections have timed out by now, so that none of them is reused.
            figures = faults.finish(cluster.start_load(100, 6, work_ms=10, deadline_ms=1000))
            print(figures)
            self.assertGreaterEqual(faults.answered_share(figures), faults.ANSWERED_SHARE)
            cluster.check_trace()


if __name__ == "__main__":
    unittest.main()
