"""Stand-in of one worker, after PROTOCOL.md: tasks run under a lease, ends are listed until they are
acknowledged, older fencing tokens are refused. One process is one life of the worker.

    python3 worker_process.py ID ADDRESS ZONE PLATFORM_ADDRESS LOG REGISTERED OPTIONS

REGISTERED is the address that the worker reports. OPTIONS is a JSON object: service, cpu, memMb, stopMs, holdMaxMs, drainMs, workMs (of each task, by
its step or by its job and step), ticketed (whether starts need a ticket), failing (jobs whose tasks
all fail). SIGTERM begins a planned shutdown: the worker reports that it drains, serves on for
drainMs and until nothing runs, and leaves.
"""

import asyncio
import json
import signal
import sys
import time
import urllib.request

from platform_process import HEARTBEAT_S, ticket_of
from wire import serve

TICK_S = 0.01


class Worker:
    def __init__(self, name, address, zone, platform, log, registered, options):
        self.name, self.address, self.zone, self.platform = name, address, zone, platform
        self.registered, self.options = registered, options
        self.log = open(log, "a", buffering=1)
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence, self.until, self.seq, self.last_end = 0, 0, 0, 0
        self.running, self.ends, self.highest = {}, [], {}
        self.changed = asyncio.Event()
        self.draining_since, self.report_due = 0, False

    def note(self, what, **fields):
        self.log.write(json.dumps({"at": time.time(), "worker": self.name, "what": what} | fields)
                       + "\n")

    def clock(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    def work_s(self, task):
        job, _, step, _ = task.split(".")
        work = self.options["workMs"]
        return work.get(f"{job}.{step}", work.get(step, work.get("", 500))) / 1000

    def end(self, task, how):
        entry = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), entry["run"])
        self.last_end += 1
        self.ends.append([self.last_end, task, entry["run"], how, ""])
        self.note("end", task=task, run=entry["run"], how=how)
        self.changed.set()
        self.changed = asyncio.Event()

    def extend(self, deadline):
        if deadline:
            self.until = max(self.until,
                             min(deadline, self.clock() + self.options["holdMaxMs"]))

    def tick(self):
        now = time.monotonic()
        if self.clock() > self.until:
            for task in list(self.running):
                self.end(task, "lapsed")
        for task, entry in list(self.running.items()):
            if entry["stop_at"] and now >= entry["stop_at"]:
                self.end(task, "stopped")
            elif now - entry["since"] >= entry["work_s"]:
                self.end(task, "failed" if task.split(".")[0] in self.options["failing"]
                         else "done")

    def start(self, body):
        task, run = body["task"], body["run"]
        if task in self.running and self.running[task]["run"] == run:
            return 200, None
        if run <= self.highest.get(task, 0) or task in self.running:
            self.extend(body.get("deadlineMs"))
            return 409, "old"
        if body.get("deadlineMs", 0) <= self.clock():
            return 409, "late"
        step = task.rsplit(".", 1)[0]
        if self.options["ticketed"] and body.get("ticket") != ticket_of(self.name, step):
            return 409, "ticket"
        self.extend(body["deadlineMs"])
        self.running[task] = {"run": run, "since": time.monotonic(), "stop_at": 0,
                              "work_s": self.work_s(task)}
        return 200, None

    async def handle(self, method, path, query, headers, body):
        self.tick()
        answer = {"clockMs": self.clock(), "born": self.born}
        if headers.get("expected-instance", self.name) != self.name:
            return 421, answer
        if body.get("fencingToken", 0) < self.fence:
            self.note("refused", path=path, reason="fence")
            return 409, answer | {"reason": "fence"}
        self.fence = body.get("fencingToken", 0)
        if path == "/verbenalever/run-start":
            status, reason = self.start(body)
            self.note("start", task=body["task"], run=body["run"], answer=reason or "started")
            return status, answer | ({"reason": reason} if reason else {})
        if path == "/verbenalever/run-stop":
            task, run = body["task"], body["run"]
            entry = self.running.get(task)
            if entry and entry["run"] == run:
                entry["stop_at"] = (entry["stop_at"] or
                                    time.monotonic() + self.options["stopMs"] / 1000)
            elif not entry:
                self.highest[task] = max(self.highest.get(task, 0), run)
            self.note("stop", task=task, run=run)
            return 200, answer
        if path == "/verbenalever/hold":
            self.extend(body.get("deadlineMs"))
            for number, task, run, how, _ in self.ends:
                if number <= body["ackCursor"]:
                    self.note("end taken note of", task=task, run=run, how=how)
            self.ends = [end for end in self.ends if end[0] > body["ackCursor"]]
            if not self.ends and body.get("waitMs"):
                try:
                    await asyncio.wait_for(self.changed.wait(), body["waitMs"] / 1000)
                except asyncio.TimeoutError:
                    pass
            now = time.monotonic()
            rows = [[task, e["run"], "",
                     min(99, int(100 * (now - e["since"]) / e["work_s"])), 0]
                    for task, e in self.running.items()]
            return 200, {"clockMs": self.clock(), "born": self.born, "running": rows,
                         "ended": self.ends[:500]}
        return 404, answer

    def register(self):
        self.seq += 1
        entry = {"service": self.options["service"], "address": self.registered, "zone": self.zone, "version": "v1",
                 "slots": 8, "coldRemainingMs": 0, "seq": self.seq,
                 "state": "draining" if self.draining_since else "ready",
                 "capacity": {"cpu": self.options["cpu"], "memMb": self.options["memMb"],
                              "gpu": 0},
                 "labels": ["a", f"rack-{self.zone}"], "born": self.born}
        if self.draining_since:
            entry["remainingMs"] = max(0, int(
                self.options["drainMs"] - 1000 * (time.monotonic() - self.draining_since)))
        self.tell("/standin/register", {"id": self.name, "entry": entry})

    def tell(self, path, body):
        request = urllib.request.Request(
            f"http://{self.platform}{path}", method="POST", data=json.dumps(body).encode())
        with urllib.request.urlopen(request, timeout=2):
            pass

    async def run(self):
        self.note("up", born=self.born)
        server = await serve(self.address, self.handle)
        loop, next_beat = asyncio.get_running_loop(), 0
        loop.add_signal_handler(signal.SIGTERM, self.drain)
        while not self.may_leave():
            if time.monotonic() >= next_beat or self.report_due:
                self.report_due = False
                next_beat = time.monotonic() + HEARTBEAT_S
                loop.run_in_executor(None, self.register)
            self.tick()
            await asyncio.sleep(TICK_S)
        self.note("left")
        server.close()
        self.tell("/standin/leave", {"id": self.name})

    def drain(self):
        self.note("draining")
        self.draining_since, self.report_due = time.monotonic(), True

    def may_leave(self):
        return (self.draining_since and not self.running and
                time.monotonic() - self.draining_since > self.options["drainMs"] / 1000 + 0.5)


if __name__ == "__main__":
    asyncio.run(Worker(*sys.argv[1:7], json.loads(sys.argv[7])).run())
