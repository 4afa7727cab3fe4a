"""Queues with real processes: order, separate limits of each queue, a change of policy under load."""

import json
import threading
import time
import unittest

from harness import Cluster, call
from harness.cluster import default_configuration

SLOW = {"work_ms": 400}
QUICK = {"work_ms": 1}


def configuration(policy, **queues):
    base = json.loads(default_configuration())
    base["policy"] = policy
    base["queues"] = {name: {"deadline": "20s", **settings} for name, settings in queues.items()}
    return json.dumps(base)


class Callers:
    """Requests sent in a known order, each from its own thread."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.entry = next(iter(cluster.entries))
        self.threads = []
        self.answers = {}

    def send(self, name, queue, body, key="red-key"):
        taken = len(self.cluster.events("request_taken"))
        thread = threading.Thread(target=self.call, args=(name, queue, body, key))
        thread.start()
        self.threads.append(thread)
        self.cluster.wait(lambda: len(self.cluster.events("request_taken")) > taken, 5,
                          f"{name} was not accepted")

    def call(self, name, queue, body, key):
        self.answers[name] = call(self.cluster.entry(self.entry), "POST", f"/v1/requests/{queue}",
                                  body, key, {"Request-Id": name}, timeout=30)

    def finish(self):
        for thread in self.threads:
            thread.join()
        return self.answers

    def order_of_starts(self):
        names = {e["request"]: e["caller_id"] for e in self.cluster.events("request_taken")}
        return [names[e["request"]] for e in self.cluster.events("request_sent")]


class QueuePolicies(unittest.TestCase):
    def one_slot(self, text, **options):
        return Cluster(zones=1, entries=1, targets=1, configuration=text, **{"slots": 1, **options})

    def test_strict_order(self):
        text = configuration("strict", quotes={"priority": 0}, plans={"priority": 1},
                             checks={"priority": 2})
        with self.one_slot(text) as cluster:
            callers = Callers(cluster)
            callers.send("first", "checks", SLOW)
            for queue in ("checks", "plans", "quotes"):
                callers.send(queue, queue, QUICK)
            answers = callers.finish()
            self.assertEqual({a.status for a in answers.values()}, {200})
            self.assertEqual(callers.order_of_starts(), ["first", "quotes", "plans", "checks"])
            cluster.check_trace()

    def test_a_full_queue_refuses_only_its_own(self):
        text = configuration("share", urgent={"class": "urgent", "length_limit": 2},
                             batch={"class": "batch", "length_limit": 4})
        with self.one_slot(text) as cluster:
            callers = Callers(cluster)
            callers.send("first", "batch", SLOW)
            for number in range(5):
                callers.send(f"batch-{number}", "batch", QUICK)
            callers.send("urgent", "urgent", QUICK)
            answers = callers.finish()
            self.assertEqual(answers["batch-4"].status, 429)
            self.assertEqual(answers["urgent"].status, 200)
            self.assertEqual(callers.order_of_starts()[:2], ["first", "urgent"])

    def test_large_work_that_waits_does_not_hold_up_small(self):
        text = configuration("share", large={"class": "batch", "demand": {"slots": 2}},
                             small={"class": "batch"})
        with self.one_slot(text, slots=2) as cluster:
            callers = Callers(cluster)
            callers.send("first", "small", SLOW)
            callers.send("large", "large", QUICK)
            callers.send("small", "small", QUICK)
            answers = callers.finish()
            self.assertEqual({a.status for a in answers.values()}, {200})
            self.assertEqual(callers.order_of_starts(), ["first", "small", "large"])
            cluster.check_trace()

    def test_a_change_of_policy_keeps_queued_work(self):
        queues = {"first": {"priority": 0}, "last": {"priority": 1}}
        with self.one_slot(configuration("fifo", **queues)) as cluster:
            callers = Callers(cluster)
            callers.send("running", "last", {"work_ms": 1500})
            callers.send("last", "last", QUICK)
            callers.send("first", "first", QUICK)
            self.assertEqual(cluster.apply(configuration("strict", **queues)).status, 200)
            answers = callers.finish()
            self.assertEqual({a.status for a in answers.values()}, {200})
            self.assertEqual(callers.order_of_starts(), ["running", "first", "last"])

    def test_use_on_other_entries_counts_for_shares(self):
        """Red fills the target of the first entry, so that blue's work is first at the second entry."""
        text = configuration("share", batch={"class": "batch"})
        with Cluster(zones=2, entries=1, targets=1, slots=2, configuration=text) as cluster:
            busy, other = Callers(cluster), Callers(cluster)
            other.entry = "entry-b1"
            for number in range(2):
                busy.send(f"busy-{number}", "batch", {"work_ms": 4000})
            time.sleep(2.5)  # two intervals of the usage exchange
            other.send("filler", "batch", SLOW, "blue-key")
            other.send("filler-2", "batch", SLOW, "blue-key")
            other.send("red", "batch", QUICK, "red-key")
            other.send("blue", "batch", QUICK, "blue-key")
            other.finish()
            busy.finish()
            order = other.order_of_starts()
            self.assertLess(order.index("blue"), order.index("red"))


if __name__ == "__main__":
    unittest.main()
