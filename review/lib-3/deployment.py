"""A small deployment on loopback addresses for the scripts of these cases: entries started with the
command and the template of the deploy file, stand-ins for the platform and the workers, clients and
the operator. Everything that is sent, answered and run goes into record.txt of the case."""

import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

from proxy import Proxies

ROOT = pathlib.Path(__file__).resolve().parents[2]
LIB = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "desk.example"
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
          "drainMs": 2000, "graceS": 6, "configMs": 2000, "maxSkewMs": 5000, "recoverS": 12,
          "holdMaxMs": 6000, "stopMs": 200, "gangMs": 3000, "cancel_ms": 3000,
          "visible_ms": 3000, "finish_s": 14, "status_s": 120, "leaseMs": 3000}


class CannotRun(Exception):
    pass


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def render(text, fields):
    """The part of the template language of DEPLOY.md that deploy/entry.yaml uses: {{a.b.0}}."""
    def value(match):
        found = fields
        for part in match[1].split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return str(found)
    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value, text)


class Site:
    def __init__(self, folder, entries=6, workers=12, worker_options=None, zones=3,
                 options_of=None, proxied=False):
        self.folder = pathlib.Path(folder)
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.began = time.time()
        self.record_lock = threading.Lock()
        self.lines, self.processes = [], {}
        self.net = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        self.last_host = 0
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        self.command = role["run"].split()
        self.template = (ROOT / role["template"]).read_text()
        if not (ROOT / self.command[0]).exists():
            raise CannotRun(f"{self.command[0]} is not built")
        self.zones = [f"zone-{letter}" for letter in "abc"[:zones]]
        host = self.host()
        self.store = f"{host}:{free_port(host)}"
        self.advice = f"{host}:{free_port(host)}"
        self.bounds, self.options_of = dict(BOUNDS), options_of or {}
        self.options = {"cpu": 16000, "memMb": 65536, "stopMs": BOUNDS["stopMs"],
                        "holdMaxMs": BOUNDS["holdMaxMs"], "workMs": {"": 500},
                        "service": "desk", "drainMs": BOUNDS["drainMs"], "failing": [],
                        "ticketed": False} | (worker_options or {})
        self.start("platform", [sys.executable, str(LIB / "platform_process.py"), self.store,
                                self.advice])
        try:
            self.wait(lambda: self.call(self.store, "GET", "/standin/advised")[0] == 200, 5,
                      "the platform does not answer")
        except CannotRun:
            self.close()
            raise
        self.workers = {}
        for number in range(workers):
            host = self.host()
            self.workers[f"w-{number:02}"] = (f"{host}:{free_port(host)}",
                                              self.zones[number % zones])
        # With proxies, the addresses that workers register are those of their proxies.
        self.proxies = Proxies(self.record) if proxied else None
        self.registered = {}
        for name, (address, _) in self.workers.items():
            self.registered[name] = address
            if proxied:
                host = self.host()
                self.registered[name] = f"{host}:{free_port(host)}"
                self.proxies.add(name, self.registered[name], address)
        self.entries = {}
        for number in range(entries):
            host = self.host()
            ports = [free_port(host) for _ in range(4)]
            self.entries[f"edge-{number}"] = {
                "nodeName": f"edge-{number}", "zone": self.zones[number % zones], "ip": host,
                "portRange": ports[2:4], "advice": self.advice,
                "listen": {"front": f"{host}:{ports[0]}", "ready": f"{host}:{ports[1]}"},
                "limits": {"cpuShare": 0.25, "linkMbps": 1000.0, "memoryMb": 260,
                           "maxFds": 4100},
                "platform": {"address": self.store}}

    def host(self):
        self.last_host += 1
        return f"{self.net}.{self.last_host}"

    def record(self, what, **fields):
        with self.record_lock:
            self.lines.append({"at": time.time(), "what": what} | fields)

    # Processes.

    def start(self, name, command, environment=None):
        log = (self.temporary / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": str(self.temporary), "LANG": "C"}
            | (environment or {}))
        log.close()

    def signal(self, name, what):
        self.record("signal", process=name, signal=signal.Signals(what).name)
        self.processes[name].send_signal(what)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    def start_worker(self, name):
        address, zone = self.workers[name]
        options = self.options | self.options_of.get(name, {})
        self.record("start of a worker", worker=name)
        self.start(name, [sys.executable, str(LIB / "worker_process.py"), name, address, zone,
                          self.store, str(self.temporary / f"{name}.runs"), self.registered[name],
                          json.dumps(options)])

    def start_entry(self, name):
        settings = self.temporary / f"{name}.yaml"
        settings.write_text(render(self.template, self.entries[name] | {"bounds": self.bounds}))
        self.record("start of an entry", entry=name)
        self.start(name, self.command, {"VERBENALEVER_NODE_FILE": str(settings)})

    def start_all(self):
        for name in self.workers:
            self.start_worker(name)
        for name in self.entries:
            self.start_entry(name)
        self.wait(self.all_ready, 15, "the entries are not ready")
        time.sleep(1)

    def all_ready(self):
        return all(self.call(entry["listen"]["ready"], "GET", "/verbenalever/ready")[0] == 200
                   for entry in self.entries.values())

    # Calls.

    def call(self, address, method, path, body=None, headers=None, timeout=3.0):
        connection = http.client.HTTPConnection(address, timeout=timeout)
        try:
            connection.request(method, path, json.dumps(body) if body is not None else None,
                               {"Content-Type": "application/json"} | (headers or {}))
            response = connection.getresponse()
            text = response.read()
            return response.status, json.loads(text) if text else None
        except (OSError, http.client.HTTPException, ValueError) as error:
            return 0, str(error)
        finally:
            connection.close()

    def operator(self, key, value):
        status, answer = self.call(self.store, "POST", "/standin/operator",
                                   {"key": key, "value": value})
        self.record("operator", key=key, value=value, status=status)
        if status != 200:
            raise CannotRun(f"the operator's write failed: {answer}")
        return time.time()

    def job(self, method, path, body=None, key="key-1", entry=None, timeout=3.0):
        """A client's call at any entry that runs."""
        name = entry or random.choice([e for e in self.entries if e in self.processes])
        status, answer = self.call(
            self.entries[name]["listen"]["front"], method, path, body,
            {"Host": HOST, "Authorization": f"Bearer {key}",
             "Time-Remaining": str(int(timeout * 1000))}, timeout)
        text = json.dumps(body) if body is not None else ""
        self.record("client", method=method, path=path, entry=name, status=status, answer=answer,
                    body=body if len(text) < 2000 else f"{len(text)} bytes")
        return status, answer

    def submit(self, path, body, key="key-1", tries=8):
        """Hand a job in, again with the same id until it is accepted, as clients do."""
        for _ in range(tries):
            if self.job("POST", path, body, key)[0] == 200:
                return time.time()
            time.sleep(0.5)
        raise CannotRun(f"{path} was not accepted")

    def wait(self, condition, seconds, problem):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRun(problem)

    # What the workers ran.

    def runs(self):
        lines = []
        for path in self.temporary.glob("*.runs"):
            for line in path.read_text().splitlines():
                try:
                    lines.append(json.loads(line))
                except ValueError:
                    pass  # cut off by a kill
        return sorted(lines, key=lambda line: line["at"])

    def log_lines(self, event):
        found = []
        for path in self.temporary.glob("edge-*.log"):
            for line in path.read_text(errors="replace").splitlines():
                if f'"event":"{event}"' in line:
                    found.append(json.loads(line))
        return found

    def close(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        lines = sorted(self.lines + self.runs(), key=lambda line: line["at"])
        with (self.folder / "record.txt").open("w") as out:
            for line in lines:
                at = line.pop("at")
                out.write(f"{at - self.began:8.3f} {json.dumps(line)}\n")
        if os.environ.get("KEEP"):
            print(self.temporary)
        else:
            shutil.rmtree(self.temporary)


def main(folder, play, **options):
    """Run a case. play(site) returns a text that says how the rule was broken, or None."""
    site = None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends the processes too
    try:
        site = Site(folder, **options)
        broken = play(site)
    except CannotRun as problem:
        print(f"the case could not run: {problem}")
        return 2
    except Exception:  # not a result: only a broken rule may end with 1
        traceback.print_exc()
        return 2
    finally:
        if site:
            site.close()
    print(broken or "the rule held")
    return 1 if broken else 0
