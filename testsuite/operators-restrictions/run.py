"""Restrictions: in force at once at every reachable entry, with the store up, down or cut."""

import unittest

from harness import Cluster, call
from harness.cluster import OPERATOR_KEY

# A withdrawn key and a zone taken out must be in force within "a few seconds".
FEW_SECONDS = 5


def admin(cluster, entry, method, path, body=None, headers=None):
    return call(cluster.entry(entry), method, f"/v1/admin/{path}", body, OPERATOR_KEY, headers)


def accepts(cluster, entry, key="red-key"):
    """Whether an entry accepts requests with the key."""
    status = call(cluster.entry(entry), "POST", "/v1/requests/urgent", "{}", key).status
    assert status in (200, 401, 503), status
    return status != 401


def wait_refused(cluster, entries, key="red-key"):
    cluster.wait(lambda: not any(accepts(cluster, name, key) for name in entries), FEW_SECONDS,
                 f"{key} still works at one of {entries}")


def wait_restrictions_stored(cluster, entries):
    """Wait until the stored configuration includes every restriction that an entry has in force."""
    cluster.wait(lambda: all(admin(cluster, name, "GET", "restrictions").json()["restrictions"] == []
                             for name in entries), 20, "restrictions were not stored")


class OperatorsRestrictions(unittest.TestCase):
    def test_a_withdrawn_key_with_the_platform_up(self):
        with Cluster(zones=3, entries=1, targets=1) as cluster:
            self.assertTrue(all(accepts(cluster, name) for name in cluster.entries))
            # The response names only known entries, so each of the three must know the other two first.
            cluster.wait(lambda: len(cluster.events("peer_alive")) >= 6, 10,
                         "the entries are not connected to each other")
            answer = admin(cluster, "entry-a1", "DELETE", "keys/red-1")
            self.assertEqual((answer.status, answer.json()["state"]), (200, "kept"), answer)
            self.assertEqual(sorted(answer.json()["in_force"]), list(cluster.entries))
            wait_refused(cluster, cluster.entries)
            wait_restrictions_stored(cluster, cluster.entries)
            self.assertFalse(any(accepts(cluster, name) for name in cluster.entries))
            self.assertTrue(all(accepts(cluster, name, "blue-key") for name in cluster.entries))
            self.assertNotIn("red-1", cluster.admin("configuration").json()["text"])

    def test_a_withdrawn_key_with_the_platform_down(self):
        for down in ("refuse", "hang"):
            with self.subTest(down), Cluster(zones=3, entries=1, targets=1) as cluster:
                cluster.platform_faults(down=down)
                answer = admin(cluster, "entry-a1", "DELETE", "keys/red-1")
                self.assertEqual((answer.status, answer.json()["state"]),
                                 (200, "in_force_not_yet_kept"), answer)
                self.assertEqual(sorted(answer.json()["in_force"]), list(cluster.entries))
                wait_refused(cluster, cluster.entries)
                cluster.platform_faults()
                wait_restrictions_stored(cluster, cluster.entries)
                self.assertFalse(any(accepts(cluster, name) for name in cluster.entries))
                self.assertNotIn("red-1", cluster.admin("configuration").json()["text"])

    def test_a_withdrawn_key_in_a_zone_cut_from_the_platform(self):
        with Cluster(zones=3, entries=1, targets=1, proxy=True) as cluster:
            cluster.rules(*cluster.cut_zone_from_platform("b"))
            answer = admin(cluster, "entry-a1", "DELETE", "keys/red-1")
            self.assertEqual((answer.status, answer.json()["state"]), (200, "kept"), answer)
            wait_refused(cluster, cluster.entries)
            answer = admin(cluster, "entry-b1", "DELETE", "keys/blue-1")
            self.assertEqual(answer.status, 200, answer)
            wait_refused(cluster, cluster.entries, "blue-key")
            # The peers of the entry that is cut off write its restriction to the store.
            wait_restrictions_stored(cluster, ["entry-a1", "entry-c1"])
            cluster.rules()
            wait_restrictions_stored(cluster, cluster.entries)

    def test_an_isolated_entry_merges_its_restrictions_on_return(self):
        with Cluster(zones=2, entries=1, targets=1, proxy=True) as cluster:
            cluster.rules(*cluster.cut_zone_from_platform("b"), *cluster.cut_zone_from_zones("b"))
            there = admin(cluster, "entry-b1", "DELETE", "keys/blue-1")
            here = admin(cluster, "entry-a1", "DELETE", "keys/red-1")
            self.assertEqual(there.json()["state"], "in_force_not_yet_kept", there)
            self.assertNotIn("entry-a1", there.json()["in_force"])
            self.assertEqual(here.json()["state"], "kept", here)
            self.assertFalse(accepts(cluster, "entry-b1", "blue-key"))
            cluster.rules()
            cluster.wait(lambda: not any(accepts(cluster, name, key) for name in cluster.entries
                                         for key in ("red-key", "blue-key")), 14,
                         "the restrictions of both sides were not merged")
            wait_restrictions_stored(cluster, cluster.entries)
            text = cluster.admin("configuration").json()["text"]
            self.assertNotIn("red-1", text)
            self.assertNotIn("blue-1", text)

    def test_a_change_does_not_undo_a_restriction_that_is_not_stored(self):
        with Cluster(zones=2, entries=1, targets=1, proxy=True) as cluster:
            cluster.rules(*cluster.cut_zone_from_platform("b"), *cluster.cut_zone_from_zones("b"))
            admin(cluster, "entry-b1", "POST", "restrictions",
                  {"kind": "stop_queue", "subject": "urgent"})
            self.assertEqual(cluster.apply(cluster.configuration, entry="entry-a1").status, 200)
            cluster.rules()
            wait_restrictions_stored(cluster, cluster.entries)

            def stopped(name):
                queues = admin(cluster, name, "GET", "queues").json()["queues"]
                return next(q["stopped"] for q in queues if q["name"] == "urgent")

            cluster.wait(lambda: all(map(stopped, cluster.entries)), 14, "the queue is not stopped")
            undone = admin(cluster, "entry-a1", "PATCH", "queues/urgent?wait_ms=14000",
                           {"stopped": False})
            self.assertEqual(undone.status, 200, undone)
            cluster.wait(lambda: not any(map(stopped, cluster.entries)), 14, "still stopped")

    def test_a_lowered_limit_narrows_and_raising_it_needs_the_store(self):
        with Cluster(zones=1, entries=2, targets=1) as cluster:
            def limit(name):
                teams = admin(cluster, name, "GET", "teams").json()["teams"]
                return next(t.get("limit") for t in teams if t["name"] == "red")

            cluster.platform_faults(down="refuse")
            lower = {"kind": "lower_limit", "subject": "red", "limit": {"slots": 3}}
            answer = admin(cluster, "entry-a1", "POST", "restrictions", lower)
            self.assertEqual(answer.json()["state"], "in_force_not_yet_kept", answer)
            self.assertEqual([limit(name) for name in cluster.entries], [{"slots": 3}] * 2)
            refused = admin(cluster, "entry-a1", "PATCH", "teams/red", {"limit": {"slots": 5}})
            self.assertEqual((refused.status, refused.json()["outcome"]), (503, "not_run"), refused)
            cluster.platform_faults()
            wait_restrictions_stored(cluster, cluster.entries)
            raised = admin(cluster, "entry-a1", "PATCH", "teams/red?wait_ms=14000",
                           {"limit": {"slots": 5}})
            self.assertEqual(raised.status, 200, raised)
            self.assertEqual([limit(name) for name in cluster.entries], [{"slots": 5}] * 2)

    def test_a_restarted_entry_learns_restrictions_that_are_not_stored(self):
        with Cluster(zones=2, entries=1, targets=1) as cluster:
            # Reads and the VM list still work, so that the new process finds its peers.
            cluster.platform_faults(stale_reads=True, lose_replies=1000)
            admin(cluster, "entry-a1", "DELETE", "keys/red-1")
            cluster.kill("entry-b1")
            cluster.start_entry("entry-b1")
            cluster.wait_port(cluster.entry("entry-b1"))
            cluster.wait(lambda: not accepts(cluster, "entry-b1")
                         and cluster.admin("configuration", "entry-b1").json()["revision"] > 0,
                         14, "the new process accepts the withdrawn key")


if __name__ == "__main__":
    unittest.main()
