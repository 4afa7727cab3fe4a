"""Entry daemons that run against the stand-in of the users' platform."""

import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import tempfile
import time

from .client import call
from .cluster import Subnet

BUILD = pathlib.Path(os.environ.get("VERBENALEVER_BUILD", "build"))
HOST, PREFIX, KEY = "desk.example", "/q/", "key-1"
URGENT_PREFIX = "/u/"  # of the route whose queue preempts, if configured


class Entries:
    def __init__(self, platform, count, build=BUILD, settings="", vms=()):
        """settings: lines added for all entries; vms: settings of each entry, as {setting: value}."""
        self.platform = platform
        self.subnet = Subnet()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="verbenalever-platform-"))
        self.processes, self.addresses, self.keep_folder = {}, {}, True
        self.started_at = {}
        for number in range(count):
            name = f"entry-{number}"
            # Not a port of 127.0.0.1 that is free now: others may connect from it meanwhile.
            host = self.subnet.address(1 + number // 200, 1 + number % 200)
            self.addresses[name] = {"callers": f"{host}:7000", "ready": f"{host}:7001",
                                    "peers": f"{host}:7002", "metrics": f"{host}:7003"}
            own = dict(vms[number]) if vms else {}
            (self.folder / f"{name}.yaml").write_text(f"""
vm: "{name}"
availability_zone: "z1"
callers: "{self.addresses[name]['callers']}"
readiness: "{self.addresses[name]['ready']}"
peers: "{self.addresses[name]['peers']}"
metrics: "{self.addresses[name]['metrics']}"
store: "{own.pop('store', platform.store_address)}"
advisor: "{platform.advice_address}"
task_lease_limit: "6s"
stop_grace: "6s"
finished_rest: "120s"
""" + "".join(f"{setting}: {value}\n" for setting, value in own.items()) + settings + "\n")
            self.start(name, build)

    def start(self, name, build=BUILD):
        self.started_at[name] = time.monotonic()
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [str(pathlib.Path(build) / "src/verbenaleverd/verbenaleverd"), "--platform",
             "--settings", str(self.folder / f"{name}.yaml")],
            stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def kill(self, name, how=signal.SIGKILL):
        process = self.processes.pop(name)
        process.send_signal(how)
        return process.wait(10)

    def lines(self, event):
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_text().splitlines():
                if f'"event":"{event}"' in line:
                    yield json.loads(line)

    def coordinator(self):
        """Name of the entry that was elected last."""
        return max(self.lines("leadership_won"), key=lambda line: line["term"])["process"]

    def wait_ready(self, timeout=15):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            answers = [call(self.addresses[name]["ready"], "GET", "/verbenalever/ready").status
                       for name in self.processes]
            if answers and all(status == 200 for status in answers):
                return
            time.sleep(0.05)
        raise AssertionError(f"not ready: {answers}")

    def job(self, method, job="", body=None, entry=None, key=KEY, timeout=4):
        name = entry or random.choice(sorted(self.processes))
        return call(self.addresses[name]["callers"], method, PREFIX + job, body=body, key=key,
                    headers={"Host": HOST, "Time-Remaining": str(int(timeout * 1000))},
                    timeout=timeout)

    def submit(self, job, steps, tries=20, spec="x"):
        """Submit a job, and again with the same id until it is accepted, as callers do."""
        body = {"spec": spec, "steps": steps}
        self.platform.fleet.jobs[job] = body
        for _ in range(tries):
            answer = self.job("POST", job, body)
            if answer.status == 200:
                return
            assert answer.status in (0, 503, 504), answer
            time.sleep(0.2)
        raise AssertionError(f"{job} was not accepted")

    def wait_completed(self, jobs, timeout):
        end = time.monotonic() + timeout
        left = set(jobs)
        while left and time.monotonic() < end:
            for job in sorted(left):
                answer = self.job("GET", job)
                if answer.status == 200 and answer.json()["state"] == "completed":
                    left.discard(job)
                else:
                    assert answer.status in (0, 200, 503, 504), (job, answer)
            time.sleep(0.1)
        explained = self.platform.do(
            lambda: "\n".join(self.platform.fleet.explain(job) for job in sorted(left)[:5]))
        assert not left, f"not completed: {sorted(left)}\n{explained}"

    def close(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        if not self.keep_folder:
            shutil.rmtree(self.folder)


def configure(platform, limit_cpu=0, version=3, extra_keys=(), service="pool", attempts=3,
              advised=True, with_route=True, preempting=False):
    """Write a version of the operators' configuration.

    with_route: whether the route of the jobs is in it; another one always is.
    preempting: whether a further queue may preempt that of the jobs."""
    def route(name, prefix, priority=0):
        made = {"name": name, "host": HOST, "prefix": prefix, "kind": "unsafe", "timeoutMs": 3000,
                "targetLatencyMs": 1000, "priority": priority, "service": service,
                "maxAttempts": attempts, "stretch": 2.0, "public": False}
        if advised:
            made["advice"] = {"decideMs": 5.0, "eachMs": 0.2, "validMs": 2000}
        return made

    routes = [route("r", PREFIX, int(preempting))] if with_route else []
    routes += [route("s", "/s/")] + ([route("u", URGENT_PREFIX)] if preempting else [])
    document = {"version": version, "routes": routes,
                "services": [{"name": "pool"}, {"name": "other-pool"}], "limits": {},
                "tenants": [{"name": "t", "apiKeys": [KEY, *extra_keys], "weight": 1,
                             "maxCount": {"cpu": limit_cpu, "memMb": 0, "gpu": 0}}]}
    platform.do(lambda: platform.fleet.store.put("op/config", json.dumps(document).encode()))
