"""The operators' configuration: races, lost replies, stale reads, entries that missed changes."""

import json
import pathlib
import subprocess
import tempfile
import threading
import time
import unittest

from harness import Cluster, call
from harness.cluster import OPERATOR_KEY, PROGRAMS, default_configuration

# Documented limit on the time until a change is in force everywhere.
IN_FORCE_S = 14


def with_team(name, **extra):
    configuration = json.loads(default_configuration())
    configuration["teams"][name] = {"share": 1}
    return json.dumps({**configuration, **extra})


def revision(cluster, entry):
    answer = cluster.admin("configuration", entry)
    return answer.json()["revision"] if answer.status == 200 else 0


def wait_revision(cluster, wanted, entries=None, timeout=IN_FORCE_S):
    names = entries or list(cluster.entries)
    cluster.wait(lambda: all(revision(cluster, name) >= wanted for name in names), timeout,
                 f"revision {wanted} is not in force at every one of {names}")


def assert_never_back(test, cluster):
    """Check that no entry puts an older revision in force after a newer one."""
    newest = {}
    for event in cluster.events():
        if event["event"] in ("started", "killed"):
            newest.pop(event["process"], None)
        if event["event"] == "configuration_in_force":
            test.assertGreater(event["revision"], newest.get(event["process"], 0), event)
            newest[event["process"]] = event["revision"]


class OperatorsConfiguration(unittest.TestCase):
    def test_a_race_has_one_winner_and_names_it(self):
        with Cluster(zones=3, entries=1, targets=1) as cluster:
            base = revision(cluster, "entry-a1")
            answers = {}

            def change(entry):
                answers[entry] = cluster.apply(with_team(f"of-{entry}"), base, entry)

            threads = [threading.Thread(target=change, args=(name,)) for name in cluster.entries]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            won = [name for name, answer in answers.items() if answer.status == 200]
            self.assertEqual(len(won), 1, answers)
            newer = answers[won[0]].json()["revision"]
            for name, answer in answers.items():
                if name not in won:
                    self.assertEqual(answer.status, 409, answer)
                    self.assertEqual(answer.json()["outcome"], "not_run")
                    self.assertIn(f"revision {newer}, accepted at ", answer.json()["message"])
                    self.assertIn("by settings", answer.json()["message"])
            wait_revision(cluster, newer)
            for name in cluster.entries:
                teams = [t["name"] for t in cluster.admin("teams", name).json()["teams"]]
                self.assertEqual(teams, ["blue", f"of-{won[0]}", "red"])
            again = cluster.apply(with_team("late"), base, won[0])
            self.assertEqual(again.status, 409, again)

    def test_a_check_compares_with_the_version_in_force(self):
        with Cluster(zones=1, entries=1, targets=1) as cluster:
            path = cluster.folder / "checked.yaml"

            def check(text, entry=cluster.entry("entry-a1"), key=OPERATOR_KEY, compare=True):
                path.write_text(text)
                flags = ["--compare"] if compare else []
                return cluster.tool("--entry", entry, "--key", key, *flags, "config", "check",
                                    str(path))

            same = check(default_configuration())
            self.assertEqual(same.returncode, 0, same)
            changed = check(with_team("third"))
            self.assertEqual(changed.returncode, 8, changed)
            self.assertIn("third", changed.stdout)
            alone = check(with_team("third"), compare=False)
            self.assertEqual(alone.returncode, 0, alone)
            without_keys = check(with_team("third", keys=[]))
            self.assertEqual(without_keys.returncode, 6, without_keys)
            refused = check(with_team("third"), key="wrong")
            self.assertEqual(refused.returncode, 0, refused)
            self.assertIn("not compared with the version in force", refused.stderr)
            unreachable = check(default_configuration(), "127.0.0.1:1")
            self.assertEqual(unreachable.returncode, 0, unreachable)
            self.assertEqual(check("teams: {red: {colour: 1}}").returncode, 2)

    def test_a_check_asks_live_targets(self):
        """Guards against queues that no target can serve, and findings without a list of targets."""
        with Cluster(zones=2, entries=1, targets=1) as cluster:
            path = cluster.folder / "checked.yaml"

            def check(configuration, entry=cluster.entry("entry-a1"), *flags):
                path.write_text(json.dumps(configuration))
                return cluster.tool("--entry", entry, "--key", OPERATOR_KEY, "--live_targets", *flags,
                                    "config", "check", str(path))

            usual = json.loads(default_configuration())
            wide = {**usual, "queues": {**usual["queues"],
                                        "wide": {"open": True, "demand": {"slots": 9}}}}
            found = check(usual)
            self.assertEqual((found.returncode, found.stderr), (0, ""), found)
            found = check(wide)
            self.assertEqual(found.returncode, 6, found)
            self.assertIn("queues.wide: demand of one task is above", found.stdout)
            self.assertNotIn("queues.urgent", found.stdout)
            out = {zone: {"state": "out"} for zone in ("zone-a", "zone-b")}
            found = check({**usual, "availability_zones": out})
            self.assertIn("queues.urgent: has no targets", found.stdout)
            for entry, killed in (("127.0.0.1:1", False), (cluster.entry("entry-a1"), True)):
                if killed:
                    cluster.kill("entry-b1")
                found = check(wide, entry)
                self.assertEqual(found.returncode, 0, found)
                self.assertIn("not checked against live targets", found.stderr)

    def test_documents_of_the_platform_are_compared(self):
        """Guards against access keys in the output, and a difference that is not found."""
        with tempfile.TemporaryDirectory() as folder:
            def write(name, document):
                path = pathlib.Path(folder) / name
                path.write_text(json.dumps(document))
                return str(path)

            def check(*arguments):
                return subprocess.run([PROGRAMS["tool"], "config", "check", *arguments],
                                      capture_output=True, text=True, timeout=20, check=False)

            route = {"name": "r", "host": "h", "prefix": "/", "service": "s", "priority": 1}
            tenant = {"name": "t", "apiKeys": ["secret-key"]}
            before = {"version": 1, "services": [{"name": "s"}], "routes": [route],
                      "tenants": [tenant]}
            old = write("old.json", before)
            new = write("new.json", {**before, "routes": [{**route, "priority": 2}]})
            found = check("--compare", new, old)
            self.assertEqual(found.returncode, 8, found)
            self.assertEqual(found.stdout.splitlines()[-2:],
                             ["-routes[r].priority: 1", "+routes[r].priority: 2"])
            same = write("same.json", dict(reversed(before.items())))
            self.assertEqual(check("--compare", same, old).returncode, 0)
            found = check("--compare", write("key.json", {**before, "tenants": [
                {**tenant, "apiKeys": ["other-key"]}]}), old)
            self.assertEqual(found.returncode, 8, found)
            self.assertNotIn("-key", found.stdout)
            self.assertEqual(check(new, old).returncode, 2)
            self.assertEqual(check("--compare", new, write("x.yaml", {})).returncode, 2)
            alone = check("--compare", "--live_targets", new)
            self.assertEqual(alone.returncode, 0, alone)
            self.assertIn("not compared with the version in force", alone.stderr)
            self.assertIn("not checked against live targets", alone.stderr)

    def test_a_lost_reply_is_resolved(self):
        with Cluster(zones=2, entries=1, targets=1) as cluster:
            base = revision(cluster, "entry-a1")
            accepted = self.apply_with_lost_reply(cluster, base)
            self.assertEqual(accepted.status, 200, accepted)
            self.assertGreater(accepted.json()["revision"], base)
            wait_revision(cluster, accepted.json()["revision"])
            self.assertEqual(len(cluster.events("change_in_doubt")), 1)
            assert_never_back(self, cluster)

    def apply_with_lost_reply(self, cluster, base):
        """Apply a change so that only the reply to its write in the store is lost."""
        writes = call(cluster.platform, "GET", "/control/calls").json().get("writes", 0)
        answer = {}
        thread = threading.Thread(
            target=lambda: answer.update(got=cluster.apply(with_team("third"), base)))
        cluster.platform_faults(delay_ms=300)  # time to arm the fault between the two writes
        thread.start()
        cluster.wait(lambda: call(cluster.platform, "GET", "/control/calls").json()["writes"]
                     > writes, 10, "the history was not written")
        cluster.platform_faults(lose_replies=1, delay_ms=300)
        thread.join()
        cluster.platform_faults()
        return answer["got"]

    def test_with_the_store_down_a_change_is_surely_not_accepted(self):
        with Cluster(zones=1, entries=2, targets=1) as cluster:
            base = revision(cluster, "entry-a1")
            cluster.platform_faults(down="refuse")
            answer = cluster.apply(with_team("green"), base)
            self.assertEqual((answer.status, answer.json()["outcome"]), (503, "not_run"), answer)
            cluster.platform_faults()
            self.assertEqual(revision(cluster, "entry-a1"), base)
            self.assertEqual(cluster.apply(with_team("green"), base).status, 200)

    def test_an_entry_cut_from_the_platform_gets_it_from_peers(self):
        with Cluster(zones=3, entries=1, targets=1, proxy=True) as cluster:
            cluster.rules(*cluster.cut_zone_from_platform("b"))
            answer = cluster.apply(with_team("green"), entry="entry-a1")
            self.assertEqual(answer.status, 200, answer)
            wait_revision(cluster, answer.json()["revision"])
            assert_never_back(self, cluster)

    def test_an_entry_cut_off_for_long_catches_up(self):
        with Cluster(zones=3, entries=1, targets=1, proxy=True) as cluster:
            before = revision(cluster, "entry-b1")
            cluster.rules(*cluster.cut_zone_from_platform("b"), *cluster.cut_zone_from_zones("b"))
            last = None
            for number in range(20):
                last = cluster.apply(with_team(f"team-{number}"), entry="entry-a1")
                self.assertEqual(last.status, 200, last)
            waited = call(cluster.entry("entry-a1"), "PUT",
                          "/v1/admin/configuration?wait_ms=4000", with_team("last"), OPERATOR_KEY,
                          {"If-Match": str(last.json()["revision"])})
            self.assertEqual(waited.status, 200, waited)
            self.assertIn("entry-b1", waited.json()["pending"] + waited.json()["not_reached"])
            self.assertIn("entry-c1", waited.json()["in_force"])
            self.assertEqual(revision(cluster, "entry-b1"), before)
            stale = cluster.apply(with_team("blind"), before, "entry-b1")
            self.assertEqual((stale.status, stale.json()["outcome"]), (503, "not_run"), stale)
            cluster.rules()
            wait_revision(cluster, waited.json()["revision"])
            history = cluster.admin("configuration/history", "entry-b1").json()["revisions"]
            self.assertEqual(len(history), 17)
            self.assertEqual([h["number"] for h in history],
                             list(range(history[0]["number"], history[0]["number"] - 17, -1)))
            assert_never_back(self, cluster)

    def test_a_stale_read_does_not_bring_an_old_revision_back(self):
        with Cluster(zones=2, entries=1, targets=1, proxy=True) as cluster:
            cluster.platform_faults(stale_reads=True)
            answer = cluster.apply(with_team("green"), entry="entry-a1")
            self.assertEqual(answer.status, 200, answer)
            newer = answer.json()["revision"]
            wait_revision(cluster, newer)  # the other entry can only get it from its peer
            cluster.kill("entry-b1")
            # It reads the old revision, then gets the newer one from its peer.
            cluster.start_entry("entry-b1")
            cluster.wait_port(cluster.entry("entry-b1"))
            wait_revision(cluster, newer)
            reads = call(cluster.platform, "GET", "/control/calls").json()["reads"]
            cluster.rules({"link": "platform", "mode": "cut"})  # ends the watches
            time.sleep(1)
            cluster.rules()
            cluster.wait(lambda: call(cluster.platform, "GET", "/control/calls").json()["reads"]
                         >= reads + 2, 10, "the entries did not read the old revision again")
            time.sleep(1)
            self.assertEqual({revision(cluster, name) for name in cluster.entries}, {newer})
            assert_never_back(self, cluster)


if __name__ == "__main__":
    unittest.main()
