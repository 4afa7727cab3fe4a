"""A zone is cut from the others, and from the platform too: it serves what its capacity allows."""

import unittest

from harness import faults


class ZoneCut(unittest.TestCase):
    def test_cut_from_other_zones(self):
        faults.check_zone_serves(self, lambda cluster: cluster.cut_zone_from_zones("a"))

    def test_cut_from_both(self):
        faults.check_zone_serves(self, lambda cluster: cluster.cut_zone_from_zones("a")
                                 + cluster.cut_zone_from_platform("a"))


if __name__ == "__main__":
    unittest.main()
