"""A resend with the same Request-Id of a request that is not repeatable never runs it again."""

import concurrent.futures
import unittest

from harness import Cluster, call


def send(cluster, entry, request_id, work_ms=0):
    return call(cluster.entry(entry), "POST", "/v1/requests/urgent", {"work_ms": work_ms},
                "red-key", {"Request-Id": request_id})


def runs(cluster):
    return len(cluster.events("request_running"))


class RequestResend(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = Cluster(zones=1, entries=2, targets=4)
        cls.cluster.__enter__()

    @classmethod
    def tearDownClass(cls):
        try:
            cls.cluster.check_trace()
        finally:
            cls.cluster.__exit__(None, None, None)

    def setUp(self):
        self.before = runs(self.cluster)

    def test_same_entry_after_the_answer(self):
        first = send(self.cluster, "entry-a1", "after")
        second = send(self.cluster, "entry-a1", "after")
        self.assertEqual((first.status, second.status, first.body), (200, 200, second.body))
        self.assertEqual(runs(self.cluster) - self.before, 1)

    def test_same_entry_while_in_flight(self):
        with concurrent.futures.ThreadPoolExecutor() as pool:
            futures = [pool.submit(send, self.cluster, "entry-a1", "during", 400) for _ in range(3)]
            bodies = {future.result().body for future in futures}
        self.assertEqual(len(bodies), 1)
        self.assertEqual(runs(self.cluster) - self.before, 1)

    def test_another_entry(self):
        self.assertEqual(send(self.cluster, "entry-a1", "other").status, 200)
        answer = send(self.cluster, "entry-a2", "other")
        self.assertEqual((answer.status, answer.json()["outcome"], answer.json()["code"]),
                         (409, "unknown", "already_taken"))
        self.assertEqual(answer.headers["Taken-By"], self.cluster.entry("entry-a1"))
        self.assertEqual(runs(self.cluster) - self.before, 1)

    def test_both_entries_at_once(self):
        for number in range(20):
            with concurrent.futures.ThreadPoolExecutor() as pool:
                futures = [pool.submit(send, self.cluster, entry, f"race-{number}", 20)
                           for entry in self.cluster.entries]
                statuses = sorted(future.result().status for future in futures)
            self.assertEqual(statuses, [200, 409])

    def test_reply_of_the_claim_lost(self):
        # Obtains the lease for the claims before the fault.
        send(self.cluster, "entry-a1", "warm")
        self.before = runs(self.cluster)
        self.cluster.platform_faults(lose_replies=1)
        first = send(self.cluster, "entry-a1", "lost")
        self.assertEqual(first.status, 200, first)
        self.assertEqual(send(self.cluster, "entry-a2", "lost").status, 409)
        self.assertEqual(runs(self.cluster) - self.before, 1)

    def test_platform_down(self):
        for mode in ("refuse", "hang"):
            self.cluster.platform_faults(down=mode)
            answer = send(self.cluster, "entry-a1", f"down-{mode}")
            self.assertEqual((answer.status, answer.json()["outcome"]), (503, "not_run"))
            self.assertIn("Retry-After", answer.headers)
            plain = call(self.cluster.entry("entry-a1"), "POST", "/v1/requests/urgent", {}, "red-key")
            self.assertEqual(plain.status, 200)
            self.assertEqual(runs(self.cluster) - self.before, 1)
            self.cluster.platform_faults()
            answer = send(self.cluster, "entry-a1", f"down-{mode}")
            self.assertEqual(answer.status, 200, answer)
            self.before = runs(self.cluster)


if __name__ == "__main__":
    unittest.main()
