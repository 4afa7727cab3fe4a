"""The three final answers stay apart when targets die, hang or refuse."""

import concurrent.futures
import json
import time
import unittest

from harness import Cluster, call


def send(cluster, entry="entry-a1", work_ms=0, **headers):
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return call(cluster.entry(entry), "POST", "/v1/requests/open",
                {"work_ms": work_ms}, headers=named)


def runs(cluster, request):
    return [e for e in cluster.events("request_running") if e["request"] == request]


def target_of(cluster, event="request_running"):
    """The target of the newest run."""
    return cluster.wait(lambda: cluster.events(event), 5, "nothing ran")[-1]["process"]


class RequestOutcomes(unittest.TestCase):
    def kill_under(self, repeatable):
        with Cluster(zones=1, entries=1, targets=2) as cluster:
            with concurrent.futures.ThreadPoolExecutor() as pool:
                answer = pool.submit(send, cluster, work_ms=600, Repeatable=repeatable)
                cluster.kill(target_of(cluster))
                answer = answer.result()
            cluster.check_trace()
            request = cluster.events("request_taken")[-1]["request"]
            return answer, len(runs(cluster, request))

    def test_killed_target_not_repeatable(self):
        answer, ran = self.kill_under("false")
        self.assertEqual((answer.status, answer.json()["outcome"], ran), (502, "unknown", 1))

    def test_killed_target_repeatable(self):
        answer, ran = self.kill_under("true")
        self.assertEqual((answer.status, ran), (200, 2), answer)

    def test_hanging_target(self):
        with Cluster(zones=1, entries=1, targets=1, slots=2) as cluster:
            cluster.target_faults("target-a1", hang=True)
            started = time.monotonic()
            answer = send(cluster, Deadline_Ms="300")
            self.assertLess(time.monotonic() - started, 1.5)
            self.assertEqual((answer.status, answer.json()["outcome"]), (504, "unknown"))

    def test_hanging_target_repeatable(self):
        with Cluster(zones=1, entries=1, targets=2) as cluster:
            # Enough answers for the usual response time, and enough retries for the requests that hang.
            self.assertEqual({send(cluster, Repeatable="true").status for _ in range(30)}, {200})
            cluster.target_faults("target-a1", hang=True)
            answers = [send(cluster, Repeatable="true", Deadline_Ms="2000") for _ in range(4)]
            self.assertEqual([a.status for a in answers], [200] * 4)
            self.assertEqual({a.json()["target"] for a in answers}, {"target-a2"})

    def test_slot_of_an_unanswered_request_stays_reserved(self):
        with Cluster(zones=1, entries=1, targets=1, slots=1) as cluster:
            answer = send(cluster, work_ms=2500, Deadline_Ms="200")
            self.assertEqual(answer.json()["outcome"], "unknown")
            # It still runs at the target: one slot, so nothing else may run there.
            answer = send(cluster, Deadline_Ms="300")
            self.assertEqual((answer.status, answer.json()["outcome"]), (503, "not_run"))
            answer = send(cluster, Deadline_Ms="8000")
            self.assertEqual(answer.status, 200, answer)
            cluster.check_trace()

    def test_answers_of_the_target_pass_whole(self):
        with Cluster(zones=1, entries=1, targets=1) as cluster:
            cluster.target_faults("target-a1", fail_everything=True)
            answer = send(cluster)
            self.assertEqual((answer.status, answer.json()), (500, {"reason": "failed"}))
            self.assertEqual(cluster.metric("entry-a1", "requests_answered"), 1)

    def test_old_epoch_is_tried_elsewhere(self):
        with Cluster(zones=1, entries=1, targets=2,
                     times={"target_lease": "20s", "target_lease_renewal": "10s"}) as cluster:
            granted = {e["process"]: e["epoch"] for e in cluster.events("lease_granted")}
            thief = "target-a1"
            address = cluster.target(thief)
            call(address, "DELETE", "/lease", {"holder": "entry-a1", "epoch": granted[thief]})
            call(address, "PUT", "/lease", {"holder": "other", "epoch": 0, "ttl_ms": 30000})
            answers = [send(cluster) for _ in range(10)]
            self.assertEqual([a.status for a in answers], [200] * 10)
            self.assertEqual({json.loads(a.body)["target"] for a in answers}, {"target-a2"})
            cluster.check_trace()


if __name__ == "__main__":
    unittest.main()
