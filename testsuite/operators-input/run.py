"""Operators' calls and verbs: wrong input is refused and changes nothing; the tool does it all."""

import json
import pathlib
import re
import unittest
import xml.dom.minidom

from harness import Cluster, call
from harness.cluster import OPERATOR_KEY, default_configuration, digest

OPENAPI = pathlib.Path(__file__).parents[2] / "docs/openapi.yaml"


class OperatorsInput(unittest.TestCase):
    def test_wrong_input_to_every_call(self):
        with Cluster(zones=1, entries=1, targets=1) as cluster:
            entry = cluster.entry("entry-a1")
            before = cluster.admin("configuration").json()
            restriction = {"kind": "stop_queue", "subject": "open"}
            key = {"id": "k", "team": "red", "sha256": digest("k")}
            # method, path, body, headers, status
            cases = [
                ("PUT", "configuration", "teams: {}", {}, 400),
                ("PUT", "configuration", "teams: {}", {"If-Match": "new"}, 400),
                ("PUT", "configuration", "teams: {}", {"If-Match": "0"}, 409),
                ("PUT", "configuration", "teams: {}", {"If-Match": "999999"}, 503),
                ("PUT", "configuration", "teams: [", {"If-Match": "1"}, 400),
                ("PUT", "configuration", "a: &a [*a]", {"If-Match": "1"}, 400),
                ("PUT", "configuration", "[" * 100000, {"If-Match": "1"}, 400),
                ("PUT", "configuration?wait_ms=soon", "teams: {}", {"If-Match": "1"}, 400),
                ("PUT", "configuration?wait_ms=99999999", "teams: {}", {"If-Match": "1"}, 400),
                ("POST", "configuration", "", {}, 405),
                ("POST", "restrictions", "", {}, 400),
                ("POST", "restrictions", "[]", {}, 400),
                ("POST", "restrictions", {**restriction, "kind": "widen"}, {}, 400),
                ("POST", "restrictions", {**restriction, "kind": 3}, {}, 400),
                ("POST", "restrictions", {**restriction, "subject": "none"}, {}, 404),
                ("POST", "restrictions", {**restriction, "extra": 1}, {}, 400),
                ("POST", "restrictions?wait_ms=-1", restriction, {}, 400),
                ("POST", "restrictions", {"kind": "zone_out"}, {}, 400),
                ("POST", "restrictions", {"kind": "zone_out", "subject": "zone-a",
                                          "drain": "now"}, {}, 400),
                ("POST", "restrictions", {"kind": "lower_limit", "subject": "red"}, {}, 400),
                ("POST", "restrictions", {"kind": "lower_limit", "subject": "red",
                                          "limit": {"slots": -1}}, {}, 400),
                ("POST", "restrictions", {"kind": "lower_limit", "subject": "red",
                                          "limit": {"slots": 1, "wheels": 4}}, {}, 400),
                ("DELETE", "keys/none", None, {}, 404),
                ("POST", "keys", {**key, "team": "none"}, {}, 400),
                ("POST", "keys", {**key, "sha256": "xyz"}, {}, 400),
                ("POST", "keys", {**key, "id": ""}, {}, 400),
                ("POST", "keys", {**key, "id": "red-1"}, {}, 400),
                ("POST", "keys", key, {"If-Match": "x"}, 400),
                ("POST", "keys", key, {"If-Match": "0"}, 409),
                ("POST", "teams", {}, {}, 400),
                ("POST", "teams", {"name": 3}, {}, 400),
                ("POST", "teams", {"name": "red"}, {}, 409),
                ("POST", "teams", {"name": "x", "share": "much"}, {}, 400),
                ("POST", "teams", {"name": "x", "limit": {"slots": "many"}}, {}, 400),
                ("PATCH", "teams/none", {"share": 2}, {}, 404),
                ("PATCH", "teams/red", {"share": -1}, {}, 400),
                ("PATCH", "teams/red", {"share": {"a": 1}}, {}, 400),
                ("PATCH", "teams/red", {"name": "x"}, {}, 400),
                ("PATCH", "teams/red", {"limit": {}}, {}, 400),
                ("DELETE", "teams/none", None, {}, 404),
                ("DELETE", "teams/red", None, {}, 400),  # the team still has a key
                ("PATCH", "queues/none", {"stopped": True}, {}, 404),
                ("PATCH", "queues/open", {"stopped": "maybe"}, {}, 400),
                ("PATCH", "queues/open", {"deadline": "soon"}, {}, 400),
                ("PATCH", "queues/open", {"colour": "red"}, {}, 400),
                ("PATCH", "queues/open", "\xff{", {}, 400),
                ("POST", "availability_zones/zone-a/in", None, {}, 404),
                ("POST", "availability_zones/zone-a/out", None, {}, 404),
                ("GET", "drain", None, {}, 405),
            ]
            for method, path, body, headers, status in cases:
                if isinstance(body, str):
                    body = body.encode("latin-1")
                answer = call(entry, method, f"/v1/admin/{path}", body, OPERATOR_KEY, headers)
                self.assertEqual(answer.status, status, (method, path, body, answer))
                self.assertEqual(answer.json()["outcome"], "not_run")
                self.assertTrue(answer.json()["message"])
            for path in ("configuration", "configuration/history", "entries", "targets", "use",
                         "teams", "queues", "availability_zones", "keys", "restrictions"):
                self.assertEqual(cluster.admin(path).status, 200, path)
                for wrong, status in ((None, 401), ("red-key", 401)):
                    answer = call(entry, "GET", f"/v1/admin/{path}", key=wrong)
                    self.assertEqual(answer.status, status, (path, answer))
            self.assertEqual(cluster.admin("configuration").json(), before)

    def test_the_openapi_file_names_every_call(self):
        documented = {}
        for line in OPENAPI.read_text().splitlines():
            if found := re.match(r"  (/\S+):$", line):
                methods = documented.setdefault(found[1], set())
            elif found := re.match(r"    (get|put|post|patch|delete):$", line):
                methods.add(found[1].upper())
        self.assertGreater(len(documented), 10)
        with Cluster(zones=1, entries=1, targets=1) as cluster:
            for path, methods in documented.items():
                real = "/v1/admin" + re.sub(r"{\w+}", "x", path)
                answer = call(cluster.entry("entry-a1"), "OPTIONS", real, key=OPERATOR_KEY)
                self.assertEqual(answer.status, 405, (path, answer))
                self.assertEqual(set(answer.headers["Allow"].split(", ")), methods, path)

    def test_wrong_keys_are_limited_and_right_ones_are_not(self):
        with Cluster(zones=1, entries=1, targets=1) as cluster:
            entry = cluster.entry("entry-a1")
            statuses = [call(entry, "POST", "/v1/requests/urgent", "{}", f"guess-{n}")
                        for n in range(40)]
            refused = [a for a in statuses if a.status == 429]
            self.assertGreaterEqual(len(refused), 10)
            self.assertEqual({a.status for a in statuses}, {401, 429})
            self.assertGreaterEqual(int(refused[-1].headers["Retry-After"]), 1)
            right = call(entry, "POST", "/v1/requests/urgent", "{}", "red-key")
            self.assertEqual(right.status, 200, right)
            self.assertEqual(cluster.admin("entries").status, 200)

    def test_the_tool(self):
        with Cluster(zones=2, entries=1, targets=1) as cluster:
            address = cluster.entry("entry-a1")

            def run(*words, code=0):
                done = cluster.tool("--entry", address, "--key", OPERATOR_KEY, *words)
                self.assertEqual(done.returncode, code, (words, done.stdout, done.stderr))
                return done.stdout + done.stderr

            base = cluster.folder / "base.yaml"
            overlay = cluster.folder / "site.yaml"
            base.write_text(default_configuration())
            overlay.write_text("teams: {green: {share: 3}}\n")
            run("config", "check", str(base), str(overlay))
            self.assertIn("+  green:", run("config", "diff", str(base), str(overlay), code=1))
            self.assertIn("kept: revision", run("config", "apply", "--wait", str(base), str(overlay)))
            run("config", "diff", str(base), str(overlay))
            overlay.write_text("teams: {green: {share: lots}}\n")
            self.assertIn("site.yaml:1: teams.green.share",
                          run("config", "check", str(base), str(overlay), code=2))
            self.assertIn("newer one is kept",
                          run("config", "apply", "--base", "1", str(base), code=3))
            self.assertEqual(len(run("config", "history").splitlines()), 3)
            granted = run("key", "grant", "green", "--wait")
            key = re.search(r"^key +(\w+)$", granted, re.MULTILINE)[1]
            key_id = re.search(r"^id +(\S+)$", granted, re.MULTILINE)[1]
            for name in cluster.entries:
                answer = call(cluster.entry(name), "POST", "/v1/requests/urgent", "{}", key)
                self.assertEqual(answer.status, 200, (name, answer))
            self.assertIn(key_id, run("key", "list"))
            self.assertNotIn(key, run("config", "show"))
            run("key", "withdraw", key_id)
            self.assertNotIn(key_id, run("key", "list"))
            operator = re.search(r"^key +(\w+)$", run("key", "grant-operator"), re.MULTILINE)[1]
            self.assertEqual(call(address, "GET", "/v1/admin/entries", key=operator).status, 200)
            self.assertIn("kept", run("zone", "out", "zone-b", "--drain", "move"))
            self.assertIn("move", run("zones"))
            run("zone", "in", "zone-b")
            self.assertIn("warning: ", run("zone", "out", "zone-typo"))
            self.assertNotIn("warning: ", run("zone", "out", "zone-a"))
            for zone in ("zone-typo", "zone-a"):
                run("zone", "in", zone)
            run("queue", "stop", "open")
            run("queue", "start", "open")
            run("team", "add", "blue-green")
            run("team", "share", "blue-green", "2.5")
            run("team", "limit", "blue-green", '{"slots": 9}')
            run("team", "limit", "blue-green", '{"slots": 4}', "--lower")
            self.assertRegex(run("teams"), r'blue-green +2.5 +{"slots":4}')
            run("team", "remove", "blue-green")
            top = run("top", "--times", "2", "--interval_ms", "10")
            self.assertEqual(top.count("running, by team"), 2)
            for verb in ("entries", "targets", "teams", "queues", "zones", "restrictions"):
                self.assertIsInstance(json.loads(run(verb, "--json")), dict)
            logs = [str(path) for path in cluster.folder.glob("*.log")]
            self.assertIn("availability_zone=zone-b", run("timeline", "show", *logs))
            shown = run("timeline", "show", "--team", "green", *logs)
            self.assertIn("request_running", shown)
            self.assertNotIn("configuration_in_force", shown)
            drawing = xml.dom.minidom.parseString(run("timeline", "svg", *logs))
            self.assertGreater(len(drawing.getElementsByTagName("rect")), len(logs))
            for path in cluster.folder.glob("*.log"):
                text = path.read_text(errors="replace")
                self.assertNotIn(key, text)
                self.assertNotIn(operator, text)
            run("drain")
            self.assertEqual(cluster.processes["entry-a1"].wait(40), 0)


if __name__ == "__main__":
    unittest.main()
