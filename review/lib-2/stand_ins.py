"""Stand-ins for the platform's store, the workers and the advice service, after PROTOCOL.md, and the entry
daemons as separate processes. Everything listens on loopback addresses. Standard library only."""

import asyncio
import base64
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
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST, KEY = "desk.example", "key-of-team-1"
PREFIXES = {"work": "/work7/", "urgent": "/price3/"}  # queue -> prefix; `urgent` has priority 0
# Bounds of sites/sscl-lever.toml that the stand-ins and the checks use.
HOLD_MAX_MS, STOP_MS, GANG_MS, BEAT_S = 6000, 400, 3000, 1.5


class Record:
    """What was sent, answered and run, in record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")
            self.file.flush()


class Server:
    """An HTTP/1.1 server on one loopback address, which can go away like a process that is killed."""

    def __init__(self, handler, host, port=0):
        self.handler, self.host, self.port = handler, host, port
        self.writers, self.server = set(), None

    async def open(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]

    def abort(self):
        """Stop listening and reset all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while line := await reader.readline():
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while (row := (await reader.readline()).strip()):
                    name, _, value = row.decode().partition(":")
                    headers[name.strip().lower()] = value.strip()
                raw = await reader.readexactly(int(headers.get("content-length", 0)))
                path, _, query = target.partition("?")
                answer = await self.handler(method, path, dict(urllib.parse.parse_qsl(query)), headers,
                                            json.loads(raw) if raw else {})
                if answer is None:  # no answer: the connection returns nothing further
                    await reader.read()
                    return
                text = json.dumps(answer[1]).encode()
                writer.write(b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (answer[0], http.client.responses[answer[0]].encode(), len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store: linearizable, loses nothing that it has acknowledged."""

    def __init__(self):
        self.items, self.history, self.revision = {}, [], 1
        self.leases = {}  # id -> [ttl in seconds, end]
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.down = False  # no call is carried out or answered; leases run out meanwhile
        self.answer_s = 0.004

    def _announce(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "created": created, "lease": lease}

    def _write(self, key, value, lease):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self._announce(self._item(key))

    def _remove(self, key):
        if self.items.pop(key, None):
            self._announce({"key": key, "revision": self.revision, "removed": True})

    def put(self, key, value):
        self.revision += 1
        self._write(key, value, 0)

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self._remove(key)

    def end_lease(self, lease):
        if self.leases.pop(lease, None):
            self.revision += 1
            for key in [key for key, item in self.items.items() if item[3] == lease]:
                self._remove(key)

    def expire(self):
        now = time.monotonic()
        for lease in [lease for lease, entry in self.leases.items() if entry[1] < now]:
            self.end_lease(lease)

    def transact(self, body):
        self.expire()
        for row in body.get("expected", []):
            if (self.items[row["key"]][1] if row["key"] in self.items else 0) != row["revision"]:
                return 412, {"items": [self._item(row["key"]) if row["key"] in self.items else
                                       {"key": row["key"], "revision": 0}
                                       for row in body["expected"]]}
        if any(put.get("lease") and put["lease"] not in self.leases for put in body.get("puts", [])):
            return 404, {}
        self.revision += 1
        for put in body.get("puts", []):
            self._write(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("deletes", []):
            self._remove(key)
        return 200, {"revision": self.revision}

    async def handle(self, method, path, query, headers, body):
        if self.down:
            return None
        await asyncio.sleep(self.answer_s)
        return None if self.down else await self.carry_out(path, query, body)

    async def carry_out(self, path, query, body):
        name = path.removeprefix("/verbenalever/")
        if name == "kv-txn":
            return self.transact(body)
        if name == "kv-key":
            return (200, {**self._item(query["key"]), "currentRev": self.revision}) \
                if query["key"] in self.items else (404, {})
        if name == "kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"]) and key > query.get("after", ""))
            return 200, {"items": [self._item(key) for key in keys[:500]], "hasMore": len(keys) > 500,
                         "currentRev": self.revision}
        if name == "kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["waitMs"]) / 1000)
        if name == "kv-lease":
            self.last_lease += 1
            self.leases[self.last_lease] = [body["ttlMs"] / 1000, time.monotonic() + body["ttlMs"] / 1000]
            return 200, {"lease": self.last_lease, "ttlMs": body["ttlMs"]}
        lease = int(name.rpartition("/")[2])
        self.expire()
        if lease not in self.leases:
            return 404, {}
        if name.startswith("kv-keep/"):
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {"ttlMs": int(self.leases[lease][0] * 1000)}
        self.end_lease(lease)
        return 200, {}

    async def watch(self, prefix, after, wait_s):
        end = time.monotonic() + wait_s
        while True:
            events = []
            for event in reversed(self.history):
                if event["revision"] <= after:
                    break
                if event["key"].startswith(prefix):
                    events.append(event)
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events[::-1], "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker:
    """A worker without admissionCheck. Runs tasks under one lease and lists their ends."""

    def __init__(self, fleet, name, zone, rack, cpu=16000, memory=65536):
        self.fleet, self.name, self.zone, self.rack = fleet, name, zone, rack
        self.cpu, self.memory, self.seq = cpu, memory, 0
        self.kind = "a"
        self.up, self.server = False, None
        self.changed = asyncio.Event()

    async def boot(self):
        """Begin a life: nothing of an earlier one is known; the address stays."""
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence, self.until, self.last_end, self.seq = 0, 0, 0, 0
        self.running, self.ends, self.barred = {}, [], {}
        self.server = Server(self.handle, "127.0.0.1", self.server.port if self.server else 0)
        await self.server.open()
        self.up = True
        self.report()

    def crash(self, silent=False):
        """Lose everything. Silent: the machine has no power, so that connections to it hang."""
        lost = sorted(f"{task} run {run['run']}" for task, run in self.running.items())
        self.fleet.record.write(f"worker {self.name} {'loses power' if silent else 'crashes'}; "
                                f"lost: {', '.join(lost) or 'nothing'}")
        self.up, self.running = False, {}
        if not silent:
            self.server.abort()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000) + 1

    def report(self):
        self.seq += 1
        self.reported = time.monotonic()
        self.fleet.store.put(f"servers/{self.name}", json.dumps({
            "service": "desk", "address": f"127.0.0.1:{self.server.port}", "zone": self.zone,
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "seq": self.seq,
            "born": self.born, "capacity": {"cpu": self.cpu, "memMb": self.memory, "gpu": 0},
            "labels": [self.kind, self.rack]}).encode())

    def tick(self, now):
        key = f"servers/{self.name}"
        if not self.up:
            if now - self.reported > 3 * BEAT_S:
                self.fleet.store.remove(key)
            return
        if now - self.reported >= BEAT_S:
            self.report()
        if self.running and self.clock() > self.until:
            for task in list(self.running):
                self.end(task, "lapsed")
        for task, run in list(self.running.items()):
            if task not in self.running:
                continue  # it ended with its gang
            if run["stopping"] and now >= run["stopping"]:
                self.end(task, "stopped")
            elif self.fleet.is_gang(task):
                self.fleet.tick_gang(task, run, now)
            elif now - run["since"] >= run["work_s"]:
                self.end(task, "done")

    def end(self, task, how):
        run = self.running.pop(task)
        self.barred[task] = max(self.barred.get(task, 0), run["run"])
        self.last_end += 1
        self.ends.append([self.last_end, task, run["run"], how, ""])
        self.fleet.note_end(self, task, run["run"], how)
        self.changed.set()
        self.changed = asyncio.Event()

    def rows(self):
        now = time.monotonic()
        return [[task, run["run"], "", min(99, int(100 * (now - run["since"]) / run["work_s"])),
                 run["cpu"]] for task, run in self.running.items()]

    def answer(self, status, **more):
        return status, {"clockMs": self.clock(), "born": self.born, **more}

    async def handle(self, method, path, query, headers, body):
        if not self.up:
            return None
        if headers.get("expected-instance") not in (None, self.name):
            return self.answer(421)
        self.tick(time.monotonic())
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return self.answer(409, reason="fence")
        self.fence = token
        if path.endswith("/run-start"):
            return self.start(body)
        if path.endswith("/run-stop"):
            task, run = body["task"], body["run"]
            self.barred[task] = max(self.barred.get(task, 0), run)
            if task in self.running and self.running[task]["run"] == run:
                self.running[task]["stopping"] = time.monotonic() + STOP_MS / 4000
            return self.answer(200)
        self.extend(body.get("deadlineMs", 0))
        self.ends = [end for end in self.ends if end[0] > body.get("ackCursor", 0)]
        if not self.ends and body.get("waitMs"):
            born = self.born
            try:
                await asyncio.wait_for(self.changed.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
            if born != self.born or not self.up:
                return None
        return self.answer(200, running=self.rows(), ended=self.ends[:500])

    def extend(self, deadline):
        self.until = max(self.until, min(deadline, self.clock() + HOLD_MAX_MS))

    def start(self, body):
        task, run = body["task"], body["run"]
        if task in self.running and self.running[task]["run"] == run:
            return self.answer(200)
        if run <= self.barred.get(task, 0) or task in self.running:
            self.extend(body["deadlineMs"])
            return self.answer(409, reason="old")
        if body["deadlineMs"] < self.clock():
            return self.answer(409, reason="late")
        self.extend(body["deadlineMs"])
        cpu, work_s = self.fleet.work_of(task)
        self.running[task] = {"run": run, "since": time.monotonic(), "work_s": work_s, "cpu": cpu,
                              "stopping": 0}
        self.fleet.note_start(self, task, run, body["spec"])
        return self.answer(200)


class Fleet:
    """The platform: store, workers and advice service, in a thread of their own."""

    def __init__(self, record, workers):
        self.record, self.specs = record, {}  # specs: job -> body of its submission
        self.starts, self.ends = [], []  # (time, task, run, worker), (time, task, run, worker, how)
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.workers = {}
        self.run(self._open(workers))

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    def do(self, action):
        async def wrapped():
            return action()
        return self.run(wrapped())

    async def _open(self, count):
        self.store = Store()
        servers = [Server(self.store.handle, "127.0.0.1"), Server(self._advise, "127.0.0.1")]
        for server in servers:
            await server.open()
        self.store_address, self.advice_address = (f"127.0.0.1:{server.port}" for server in servers)
        for number in range(count):
            worker = Worker(self, f"i-{random.getrandbits(40):010x}", f"zone-{'abc'[number % 3]}",
                            f"r{number % 3}-1")
            self.workers[worker.name] = worker
            await worker.boot()
        self.loop.create_task(self._tick())

    async def _tick(self):
        while True:
            self.store.expire()
            for worker in self.workers.values():
                worker.tick(time.monotonic())
            await asyncio.sleep(0.01)

    async def _advise(self, method, path, query, headers, body):
        return 200, {"granted": [[name, "t"] for name in body.get("workers", [])], "validMs": 2000}

    def work_of(self, task):
        job, _, step, _ = task.split(".")
        spec = self.specs[job]["steps"][int(step)]
        return spec["cpu"], spec["estimatedMs"] / 1000

    def is_gang(self, task):
        job, _, step, _ = task.split(".")
        return self.specs[job]["steps"][int(step)].get("gang", False)

    def tick_gang(self, task, run, now):
        """Members work from the moment when all of one run are present, and end together."""
        job, _, step, _ = task.split(".")
        members = [(worker, name, other) for worker in self.workers.values() if worker.up
                   for name, other in worker.running.items()
                   if name.startswith(f"{job}.0.{step}.") and other["run"] == run["run"]]
        complete = len(members) == self.specs[job]["steps"][int(step)]["count"]
        if complete and not run.get("together"):
            for _, _, other in members:
                other["together"] = now
        if run.get("together"):
            if not complete or now - run["together"] >= run["work_s"]:
                how = "done" if complete else "broken"
                for worker, name, _ in members:
                    worker.end(name, how)
        elif now - run["since"] > GANG_MS / 1000:
            for worker, name, _ in members:
                worker.end(name, "alone")

    def note_start(self, worker, task, run, spec):
        self.starts.append((time.monotonic(), task, run, worker.name))
        self.record.write(f"worker {worker.name} starts {task} run {run}")

    def note_end(self, worker, task, run, how):
        self.ends.append((time.monotonic(), task, run, worker.name, how))
        self.record.write(f"worker {worker.name} lists {task} run {run} as {how}")

    def where(self, job):
        """The worker that runs a task of the job, and for how long it has run there."""
        for worker in self.workers.values():
            for task, run in worker.running.items():
                if task.startswith(job) and worker.up:
                    return worker, time.monotonic() - run["since"]
        return None, 0

    def configure(self, version=7, limit_cpu=0):
        routes = [{"name": name, "host": HOST, "prefix": prefix, "kind": "unsafe", "timeoutMs": 3000,
                   "targetLatencyMs": 1000, "priority": int(name != "urgent"), "service": "desk",
                   "maxAttempts": 4, "stretch": 2.2, "public": False} for name, prefix in PREFIXES.items()]
        tenant = {"name": "team-1", "apiKeys": [KEY], "weight": 1,
                  "maxCount": {"cpu": limit_cpu, "memMb": 0, "gpu": 0}}
        document = {"version": version, "routes": routes, "tenants": [tenant], "limits": {},
                    "services": [{"name": "desk", "admissionCheck": False}]}
        self.do(lambda: self.store.put("op/config", json.dumps(document).encode()))


class Entries:
    """The entry daemons, started as the deploy file says, each on a loopback address of its own."""

    def __init__(self, fleet, count):
        deploy = (ROOT / "deploy/system.toml").read_text()
        self.command = re.search(r'^run = "(.*)"', deploy, re.M).group(1).split()
        self.template = (ROOT / re.search(r'^template = "(.*)"', deploy, re.M).group(1)).read_text()
        if not (ROOT / self.command[0]).exists():
            raise RuntimeError("the deploy file has not been built")
        self.fleet, self.processes, self.addresses = fleet, {}, {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        for number in range(count):
            name, ip = f"edge-{number}", f"{net}.{number + 1}"
            ports = {key: free_port(ip) for key in ("front", "ready", "peers", "metrics")}
            self.addresses[name] = {key: f"{ip}:{port}" for key, port in ports.items()}
            values = {"nodeName": name, "zone": f"zone-{'abc'[number % 3]}", "ip": ip,
                      "listen.front": self.addresses[name]["front"],
                      "listen.ready": self.addresses[name]["ready"], "portRange.0": ports["peers"],
                      "portRange.1": ports["metrics"], "platform.address": fleet.store_address,
                      "advice": fleet.advice_address, "limits.cpuShare": 0.25,
                      "bounds.holdMaxMs": HOLD_MAX_MS, "bounds.graceS": 6, "bounds.status_s": 120}
            text = re.sub(r"\{\{(.*?)\}\}", lambda found: str(values[found.group(1)]), self.template)
            (self.folder / f"{name}.yaml").write_text(text)
            self.start(name)

    def start(self, name):
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [str(ROOT / self.command[0]), *self.command[1:]], cwd=ROOT, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"],
                     "VERBENALEVER_NODE_FILE": str(self.folder / f"{name}.yaml")})
        self.fleet.record.write(f"process {name} is started")

    def kill(self, name, how=signal.SIGKILL):
        process = self.processes.pop(name)
        self.fleet.record.write(f"process {name} gets {signal.Signals(how).name}")
        process.send_signal(how)
        return process.wait(10)

    def ready(self):
        return [name for name in self.processes
                if request(self.addresses[name]["ready"], "GET", "/verbenalever/ready", timeout=1)[0] == 200]

    def wait_ready(self, timeout=20):
        end = time.monotonic() + timeout
        while len(self.ready()) < len(self.processes):
            if time.monotonic() > end:
                raise RuntimeError("the entry daemons are not ready")
            time.sleep(0.1)

    def events(self, name):
        """Events of the daemons' logs, for explaining a result; no check depends on them."""
        found = []
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if f'"event":"{name}"' in line:
                    found.append(json.loads(line))
        return found

    def coordinator(self):
        return max(self.events("leadership_won"), key=lambda event: event["term"])["process"]

    def call(self, method, job="", body=None, timeout=3.0, entry=None, queue="work"):
        """One call of a client, through a daemon in rotation. Status 0: no answer."""
        names = [entry] if entry else sorted(self.processes)
        name = random.choice(names)
        status, answer = request(self.addresses[name]["front"], method, PREFIXES[queue] + job, body,
                                 {"Host": HOST, "Authorization": "Bearer " + KEY,
                                  "Time-Remaining": str(int(timeout * 1000))}, timeout)
        self.fleet.record.write(f"client {method} {job or 'count'} through {name}: {status or 'no answer'} "
                                f"{json.dumps(answer)}")
        return status, answer

    def submit(self, job, steps, tries=10, queue="work"):
        """Hand a job in, as clients do: after no answer, 502, 504 or a refusal with the same id again."""
        body = {"spec": "text of " + job, "steps": steps}
        self.fleet.specs[job] = body
        for _ in range(tries):
            status, _ = self.call("POST", job, body, queue=queue)
            if 200 <= status < 300:
                return True
            time.sleep(0.3)
        return False

    def state(self, job, timeout=3.0):
        status, answer = self.call("GET", job, timeout=timeout)
        return answer.get("state") if status == 200 else status

    def close(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def request(address, method, path, body=None, headers=None, timeout=3.0):
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    sent = {"Content-Type": "application/json", **(headers or {})}
    try:
        connection.request(method, path, body=None if body is None else json.dumps(body), headers=sent)
        response = connection.getresponse()
        raw = response.read()
        return response.status, json.loads(raw) if raw else {}
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}
    finally:
        connection.close()


def job_id():
    return f"{random.getrandbits(64):016x}"


def main(play):
    """Run play(record, trouble): True if the rule held. Exit with 0, 1, or 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends what was started
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    record.write(f"disruption: {'on' if trouble else 'off'}")
    try:
        held = play(record, trouble)
    except Exception as error:  # pylint: disable=broad-except
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    record.write("the rule held" if held else "the rule is broken")
    print("the rule held" if held else "the rule is broken")
    sys.exit(0 if held else 1)
