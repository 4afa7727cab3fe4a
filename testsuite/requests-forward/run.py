"""A request that arrives at an entry without free capacity is forwarded to one peer, at most once."""

import concurrent.futures
import time
import unittest

from harness import Cluster, call
from harness.cluster import default_configuration

TIMES = {"heartbeat_interval": "200ms"}


def send(cluster, work_ms=0, entry="entry-a1", repeatable="false", body=None, deadline_ms=2000):
    return call(cluster.entry(entry), "POST", "/v1/requests/open", body or {"work_ms": work_ms},
                headers={"Repeatable": repeatable, "Deadline-Ms": str(deadline_ms)})


def cluster_of(**options):
    return Cluster(zones=2, entries=1, targets=1, slots=2, proxy=True, times=TIMES, **options)


def fill(cluster, pool, work_ms=1500):
    """Occupy both slots of zone a."""
    futures = [pool.submit(send, cluster, work_ms) for _ in range(2)]
    cluster.wait(lambda: len(cluster.events("request_running")) >= 2, 5, "zone a is not full")
    return futures


def wait_for_peers(cluster):
    """Wait until both entries have received a heartbeat from the other."""
    cluster.wait(lambda: len(cluster.events("peer_alive")) >= 2, 10,
                 "the entries are not connected to each other")
    time.sleep(0.5)


class RequestForward(unittest.TestCase):
    def test_full_zone(self):
        with cluster_of() as cluster, concurrent.futures.ThreadPoolExecutor() as pool:
            wait_for_peers(cluster)
            futures = fill(cluster, pool)
            body = '{"text": "' + "x" * 500_000 + '"}'
            started = time.monotonic()
            answer = send(cluster, body=body)
            self.assertLess(time.monotonic() - started, 1.0)
            self.assertEqual((answer.status, answer.json()["target"]), (200, "target-b1"))
            self.assertEqual(answer.json()["echo"], body)
            self.assertEqual([f.result().status for f in futures], [200, 200])
            cluster.check_trace()

    def test_answers_out_of_order(self):
        with cluster_of() as cluster, concurrent.futures.ThreadPoolExecutor() as pool:
            wait_for_peers(cluster)
            fill(cluster, pool)
            bodies = ['{"work_ms": 500, "mine": 1}', '{"work_ms": 50, "mine": 2}']
            answers = [pool.submit(send, cluster, body=body) for body in bodies]
            self.assertEqual([a.result().json()["echo"] for a in answers], bodies)
            self.assertEqual(len(cluster.events("request_forwarded")), 2)

    def lose_peer(self, repeatable, break_peer):
        with cluster_of() as cluster, concurrent.futures.ThreadPoolExecutor() as pool:
            wait_for_peers(cluster)
            fill(cluster, pool, 1000)
            forwarded = pool.submit(send, cluster, 1200, repeatable=repeatable, deadline_ms=6000)
            cluster.wait(lambda: len(cluster.events("request_running")) == 3, 5, "not forwarded")
            self.assertEqual(len(cluster.events("request_forwarded")), 1)
            break_peer(cluster)
            answer = forwarded.result()
            cluster.check_trace()
            return answer

    def test_peer_killed(self):
        answer = self.lose_peer("false", lambda cluster: cluster.kill("entry-b1"))
        self.assertEqual((answer.status, answer.json()["code"]), (502, "peer_lost"))
        self.assertEqual(answer.json()["outcome"], "unknown")

    def test_peer_killed_repeatable(self):
        answer = self.lose_peer("true", lambda cluster: cluster.kill("entry-b1"))
        self.assertEqual((answer.status, answer.json()["target"]), (200, "target-a1"))

    def test_frozen_connections(self):
        answer = self.lose_peer("true", lambda cluster: cluster.rules(
            {"link": "a-entry", "mode": "freeze"}, {"link": "b-entry", "mode": "freeze"}))
        self.assertEqual(answer.status, 200, answer)

    def test_answer_after_the_deadline(self):
        with cluster_of() as cluster, concurrent.futures.ThreadPoolExecutor() as pool:
            wait_for_peers(cluster)
            fill(cluster, pool, 3000)
            # The deadline passes before three missed heartbeats mark the peer as lost.
            forwarded = pool.submit(send, cluster, 200, deadline_ms=300)
            cluster.wait(lambda: cluster.events("request_forwarded"), 5, "not forwarded")
            cluster.wait(lambda: len(cluster.events("request_running")) == 3, 5, "not running")
            cluster.pause("entry-b1")
            answer = forwarded.result()
            cluster.resume("entry-b1")
            self.assertEqual((answer.status, answer.json()["outcome"]), (504, "unknown"))
            cluster.wait(lambda: cluster.metric("entry-a1", "forward_answers_late") == 1, 5,
                         "the late answer was not received")
            # It is not delivered to another request.
            body = '{"mine": 1}'
            self.assertEqual(send(cluster, body=body, deadline_ms=8000).json()["echo"], body)
            cluster.check_trace()

    def test_zone_out_of_service(self):
        with cluster_of() as cluster:
            wait_for_peers(cluster)
            out = default_configuration()[:-1] + ', "availability_zones": {"zone-a": {"state": "out"}}}'
            self.assertEqual(cluster.apply(out).status, 200)
            cluster.wait(cluster.same_revision, 10, "the entries have different configurations")
            answers = [send(cluster) for _ in range(10)]
            self.assertEqual([a.status for a in answers], [200] * 10)
            self.assertEqual({a.json()["target"] for a in answers}, {"target-b1"})


if __name__ == "__main__":
    unittest.main()
