"""Above its capacity the cluster keeps its goodput and refuses the excess at once."""

import collections
import time
import unittest

from harness import Cluster, call

WORK_MS = 20
SLOTS = 4
TARGETS = 2
CAPACITY = SLOTS * TARGETS * 1000 / WORK_MS  # requests a second
SECONDS = 4
DEADLINE_MS = 500


def goodput(cluster, factor, **flags):
    result = cluster.load(CAPACITY * factor, SECONDS, work_ms=WORK_MS, deadline_ms=DEADLINE_MS,
                          **flags)[0]
    return result, result["answered"] / SECONDS


class RequestOverload(unittest.TestCase):
    def test_goodput_and_refusals(self):
        with Cluster(zones=1, entries=1, targets=TARGETS, slots=SLOTS) as cluster:
            rates = {}
            for factor in (0.5, 1, 2, 4):
                result, rates[factor] = goodput(cluster, factor)
                print(factor, result)
                self.assertLessEqual(result["unknown"], 0.005 * result["sent"])
            peak = max(rates.values())
            self.assertGreater(rates[2], 0.85 * peak, rates)
            self.assertGreater(rates[4], 0.85 * peak, rates)
            cluster.check_trace()
            codes = collections.Counter(e["code"] for e in cluster.events("request_not_run"))
            print(dict(codes))
            # Most are refused on arrival; the rest when their wait becomes longer than was estimated.
            self.assertGreater(codes["wait_past_deadline"], 0.8 * codes.total())

    def test_refusals_come_at_once_and_say_when_to_return(self):
        with Cluster(zones=1, entries=1, targets=TARGETS, slots=SLOTS) as cluster:
            load = cluster.start_load(CAPACITY * 4, SECONDS, work_ms=WORK_MS, deadline_ms=DEADLINE_MS)
            time.sleep(SECONDS / 2)
            times = []
            for _ in range(50):
                started = time.monotonic()
                answer = call(cluster.entry("entry-a1"), "POST", "/v1/requests/open", {},
                              headers={"Deadline-Ms": "200"})
                if answer.status != 200:
                    times.append(time.monotonic() - started)
                    self.assertEqual(answer.json()["outcome"], "not_run")
                    self.assertIn("Retry-After", answer.headers)
                    self.assertGreater(answer.json()["retry_after_ms"], 0)
            load.communicate()
            self.assertGreater(len(times), 25)
            self.assertLess(sorted(times)[len(times) // 2], 0.1)

    def test_retries_do_not_multiply(self):
        with Cluster(zones=1, entries=1, targets=TARGETS, slots=SLOTS) as cluster:
            for target in cluster.targets:
                cluster.target_faults(target, fail_everything=True)
            result = cluster.load(CAPACITY / 2, SECONDS, repeatable="true")[0]
            runs = len(cluster.events("request_running"))
            self.assertLess(runs, 1.2 * result["sent"])
            self.assertGreater(runs, result["sent"])


if __name__ == "__main__":
    unittest.main()
