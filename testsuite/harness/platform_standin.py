"""A stand-in for the users' platform: store, targets and advisor over HTTP, after its documentation.

It records each violation of the invariants that callers rely on: a target assigned more than its
capacity, a task running on two targets, a task started after its end was acknowledged or before the
steps that it depends on, a gang member without the rest of its gang, a team above its limit.
"""

import asyncio
import base64
import dataclasses
import hashlib
import json
import random
import threading
import time
import urllib.parse

STATUS_TEXT = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
               421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}

POLICY_SEED = 1
DRAIN_S = 2.5  # a draining target serves on for so long
SHRINK_ALLOWANCE_S = 5.5  # for starts that were on their way when a target shrank


class NarrowLink:
    """A link of a fixed bandwidth that all answers of one address share."""

    PIECE = 16_000  # bytes; answers that are sent at the same time alternate in pieces

    def __init__(self, mbps):
        self.bytes_per_s = mbps * 125_000
        self.free_at = 0.0

    async def carry(self, size):
        """Wait for as long as an answer of so many bytes takes."""
        while size > 0:
            piece = min(size, self.PIECE)
            size -= piece
            now = time.monotonic()
            self.free_at = max(now, self.free_at) + piece / self.bytes_per_s
            await asyncio.sleep(self.free_at - now)


class Store:
    """The key-value store, with the faults that the platform's store can show."""

    def __init__(self):
        self.items = {}  # key -> (value, revision, lease)
        self.history = []  # (revision, event)
        self.revision = 1
        self.leases = {}  # id -> end
        self.changed = asyncio.Event()
        self.refusing = False  # 503 to all
        self.answers_to_lose = 0
        self.answer_delay_s = 0
        self.page_items, self.page_bytes = 50, 1 << 20  # the values of a page end at either

    def _record_event(self, event):
        self.history.append((event["revision"], event))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        self.write(key, value, lease)

    def write(self, key, value, lease):
        self.items[key] = (value, self.revision, lease)
        self._record_event(self.item(key))

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self.delete(key)

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self._record_event({"key": key, "revision": self.revision, "removed": True})

    def item(self, key):
        value, revision, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "created": revision, "lease": lease}

    def expire(self):
        now = time.monotonic()
        for lease in [lease for lease, end in self.leases.items() if end < now]:
            del self.leases[lease]
            self.revision += 1
            for key in [key for key, entry in self.items.items() if entry[2] == lease]:
                self.delete(key)

    def transact(self, body):
        for condition in body.get("expected", []):
            entry = self.items.get(condition["key"])
            if (entry[1] if entry else 0) != condition["revision"]:
                keys = [c["key"] for c in body["expected"] if c["key"] in self.items]
                return 412, {"items": [self.item(key) for key in keys]}
        entries = sum(len(body.get(part, [])) for part in ("expected", "puts", "deletes"))
        assert entries <= 32, "a transaction of more than 32 entries"
        for put in body.get("puts", []):
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for put in body.get("puts", []):
            self.write(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}

    async def handle(self, method, path, query, body):
        if self.answer_delay_s:
            await asyncio.sleep(self.answer_delay_s)
        if self.refusing:
            return 503, {}
        name = path.removeprefix("/verbenalever/")
        if name == "kv-txn":
            answer = self.transact(body)
            if self.answers_to_lose > 0:
                self.answers_to_lose -= 1
                return None
            return answer
        if name == "kv-key":
            key = query["key"]
            return (200, self.item(key)) if key in self.items else (404, {})
        if name == "kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"]) and k > query.get("after", ""))
            page, size = [], 0
            for key in keys[:self.page_items]:
                size += len(self.items[key][0])
                if page and size > self.page_bytes:
                    break
                page.append(key)
            return 200, {"items": [self.item(key) for key in page],
                         "hasMore": len(keys) > len(page), "currentRev": self.revision}
        if name == "kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["waitMs"]))
        if name == "kv-lease":
            lease = self.revision * 1000 + len(self.leases) + 1
            self.leases[lease] = time.monotonic() + body["ttlMs"] / 1000
            return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        if name.startswith("kv-keep/"):
            lease = int(name.split("/")[1])
            if lease not in self.leases:
                return 404, {}
            self.leases[lease] = time.monotonic() + 1.2
            return 200, {"ttlMs": 1200}
        if name.startswith("kv-lease-end/"):
            lease = int(name.split("/")[1])
            if self.leases.pop(lease, None) is None:
                return 404, {}
            self.revision += 1
            for key in [key for key, entry in self.items.items() if entry[2] == lease]:
                self.delete(key)
            return 200, {}
        return 404, {}

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [event for revision, event in self.history
                      if revision > after and event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


@dataclasses.dataclass
class RunEnd:
    """How a run ended in truth, which its target may never have told."""

    run: int
    target: str
    born: int  # life of the target
    how: str  # as listed, or "died": it ran when its target crashed
    at: float
    listed: bool = False  # sent in an answer, which may have been lost

    def __str__(self):
        unlisted = " unlisted" if self.how != "died" and not self.listed else ""
        return f"run {self.run} {self.how}{unlisted} on {self.target}/{self.born}"


class Target:
    """One worker: runs tasks under leases, lists their ends, refuses older fencing tokens."""

    def __init__(self, fleet, name, cpu):
        self.fleet, self.name, self.cpu = fleet, name, cpu
        self.changed = asyncio.Event()
        self.silent_until, self.larger_until, self.down_until = 0, 0, 0
        self.larger_cpu = cpu  # before it shrank
        self.service = "pool"
        self.draining_since, self.away_s = 0, 0
        self.running, self.ends = {}, []
        self.begin_life()

    def begin_life(self):
        self.born = int(time.time() * 1000)
        self.fence, self.until, self.ends, self.running = 0, 0, [], {}
        self.stopped, self.last_end = {}, 0
        self.truth = {}  # number of an end -> RunEnd
        self.began = time.monotonic()
        self.has_listed = False
        self.listed_up_to = 0  # highest number of an end that was sent in an answer
        self.lapsed_ends = set()  # numbers of ends that were listed when the lease lapsed

    def crash(self, silent_s, deadly=False):
        """Lose everything, be silent, and come back under the same name."""
        self.expire_lease()
        if self.fleet.spares_tasks and not deadly and any(
                map(self.fleet.was_crashed_under, self.running)):
            return
        for task, entry in self.running.items():
            self.remember_end(task, entry["run"], "died")
        self.begin_life()
        self.silent_until = self.down_until = time.monotonic() + silent_s

    def is_down(self):
        return time.monotonic() < self.down_until

    def cut_off(self, silent_s):
        """Neither receive nor answer calls; what runs goes on."""
        self.silent_until = max(self.silent_until, time.monotonic() + silent_s)

    def leave(self, away_s):
        """Drain, let all runs end, leave, and come back after away_s as a new life."""
        if not self.draining_since:
            self.draining_since, self.away_s = time.monotonic(), away_s

    def has_left(self):
        """Whether a draining target leaves now."""
        drained = self.draining_since and time.monotonic() - self.draining_since > DRAIN_S
        if not drained or self.running:
            return False
        self.draining_since = 0
        return True

    def resize(self, cpu):
        now = time.monotonic()
        self.larger_cpu = max(self.cpu, self.larger_cpu if now < self.larger_until else 0)
        self.larger_until = now + SHRINK_ALLOWANCE_S
        self.cpu = cpu

    def is_silent(self):
        return time.monotonic() < self.silent_until

    def capacity_limit(self):
        return max(self.cpu, self.larger_cpu if time.monotonic() < self.larger_until else 0)

    def clock(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    def remember_end(self, task, run, how):
        end = RunEnd(run, self.name, self.born, how, time.monotonic())
        self.fleet.run_ends.setdefault(task, []).append(end)
        return end

    def end(self, task, how):
        run = self.running.pop(task)["run"]
        self.stopped[task] = run
        self.last_end += 1
        self.truth[self.last_end] = self.remember_end(task, run, how)
        self.ends.append([self.last_end, task, run, how, ""])
        if how == "done":
            self.fleet.done.setdefault(task, self)
            self.fleet.done_at[self.born, self.name, self.last_end] = time.monotonic()
        self.changed.set()
        self.changed = asyncio.Event()

    def percent(self, entry):
        if not entry["begun"]:
            return 0
        return min(99, int(100 * (time.monotonic() - entry["begun"]) / entry["work_s"]))

    def expire_lease(self):
        if self.clock() <= self.until:
            return
        self.lapsed_ends.update(end[0] for end in self.ends)
        for task in list(self.running):
            self.end(task, "lapsed")

    def tick(self):
        now = time.monotonic()
        self.expire_lease()
        for task, entry in list(self.running.items()):
            gang = entry["gang"]
            if gang and not self.fleet.is_gang_complete(task, entry):
                if now - entry["since"] > 3:
                    if not self.fleet.disturbed:
                        self.fleet.record_violation(f"member of an incomplete gang: {task}")
                    self.end(task, "alone")
                continue
            if gang and entry["begun"] and self.fleet.lacks_member(task, entry["run"]):
                self.end(task, "broken")
                continue
            entry["begun"] = entry["begun"] or now
            if now - entry["begun"] >= entry["work_s"]:
                self.end(task, "failed" if self.fleet.fails(task, entry["run"]) else "done")

    def start(self, body):
        task, run = body["task"], body["run"]
        if body["fencingToken"] < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = body["fencingToken"]
        if task in self.running and self.running[task]["run"] == run:
            return 200, {"clockMs": self.clock()}
        if run <= self.stopped.get(task, 0):
            return 409, {"clockMs": self.clock(), "reason": "old"}
        if body["deadlineMs"] < self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        self.until = max(self.until, min(body["deadlineMs"], self.clock() + 6000))
        if self.fleet.advised:
            step_name = task.rsplit(".", 1)[0]
            if self.fleet.advice_known and not body.get("ticket"):
                self.fleet.record_violation(f"{task} was sent to {self.name} without a ticket")
            if body.get("ticket") not in self.fleet.valid_tickets(self, step_name):
                return 409, {"clockMs": self.clock(), "reason": "ticket"}
            if not self.fleet.policy_allows(task.split(".")[0], self.name):
                self.fleet.record_violation(f"{task} started on {self.name}, which is denied")
        step = self.fleet.check_start(self, task, run)
        arrived = body.get("arrived", time.monotonic())
        self.fleet.orders_of_starts.setdefault(task, []).append(arrived)
        self.running[task] = {"run": run, "since": time.monotonic(), "begun": 0,
                              "gang": step.get("gang", False), "cpu": step["cpu"],
                              "work_s": self.fleet.work_time(task)}
        used = sum(entry["cpu"] for entry in self.running.values())
        if used > self.capacity_limit():
            self.fleet.record_violation(f"{self.name} was assigned {used} cpu of {self.cpu}")
        if task in self.fleet.deadly:
            self.fleet.deadly_starts[task] = self.fleet.deadly_starts.get(task, 0) + 1
            self.crash(self.fleet.random.uniform(1, 3), deadly=True)
            return None
        return 200, {"clockMs": self.clock()}

    async def receive(self, path, body):
        """Handle a call as a link with faults passes it on: at once, late, or without an answer."""
        born, faults = self.born, self.fleet.order_faults
        body["arrived"] = time.monotonic()  # an order may be carried out later
        may_be_late = self.has_listed or self.fleet.late_after_restart
        # What is kept reaches the next life too, and so does what is sent to it as the former one.
        if self.fleet.keeps_orders and faults and self.fleet.random.random() < faults:
            return await self.keep(path, body)
        if faults and may_be_late and self.fleet.random.random() < faults:
            await asyncio.sleep(self.fleet.random.uniform(*self.fleet.lateness_s))
        if self.is_silent() or self.born != born:
            return None
        self.expire_lease()
        answer = await self.handle(path, body)
        is_lost = faults and self.fleet.random.random() < faults
        if is_lost or self.is_silent() or self.born != born:
            return None
        if answer is not None:
            for number, *_ in answer[1].get("ended", ()):
                self.truth[number].listed = True
        return answer

    async def crash_soon(self):
        """Crash after a stop whose end may have been listed or not."""
        born = self.born
        await asyncio.sleep(self.fleet.random.choice([0, 0.02, 0.2]) * self.fleet.random.random())
        if self.born == born:
            self.fleet.crashes_after_stop += 1
            self.crash(self.fleet.random.uniform(0.2, 3))

    async def keep(self, path, body):
        """Carry an order out seconds later, in whatever life and behind any cut, without answer."""
        async def carry_out():
            await asyncio.sleep(self.fleet.random.uniform(*self.fleet.kept_s))
            while self.is_down():
                await asyncio.sleep(0.1)
            if path == "/verbenalever/hold":
                body["waitMs"] = 0
            self.expire_lease()
            await self.handle(path, body)
        if not self.is_silent():
            asyncio.get_running_loop().create_task(carry_out())
        return None

    async def handle(self, path, body):
        if path == "/verbenalever/run-start":
            answer = self.start(body)
            how = answer[1].get("reason", "started") if answer else "crashed"
            self.fleet.starts.setdefault(body["task"], []).append((self.name, body["run"], how))
            return answer
        if body["fencingToken"] < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = body["fencingToken"]
        if path == "/verbenalever/run-stop":
            self.stopped[body["task"]] = max(self.stopped.get(body["task"], 0), body["run"])
            if body["task"] in self.running:
                self.end(body["task"], "stopped")
                chance = self.fleet.crash_after_stop
                if chance and self.fleet.random.random() < chance:
                    asyncio.get_running_loop().create_task(self.crash_soon())
            return 200, {"clockMs": self.clock()}
        if body.get("deadlineMs"):
            self.until = max(self.until, min(body["deadlineMs"], self.clock() + 6000))
        for number, task, _, how, _ in self.ends:
            if number <= body["ackCursor"] and number > self.listed_up_to:
                self.fleet.record_violation(f"{self.name} was told to forget the end of {task}, "
                                            f"which it had not listed in this life")
            # An end that the lease did not outlast is not taken note of.
            noted = number <= body["ackCursor"] and number not in self.lapsed_ends
            if noted and how == "failed":
                self.fleet.failed_ends[task] = self.fleet.failed_ends.get(task, 0) + 1
            if noted and how == "done":
                self.fleet.acknowledge(task, self.fleet.done_at[self.born, self.name, number])
        self.ends = [end for end in self.ends if end[0] > body["ackCursor"]]
        if not self.ends and body.get("waitMs"):
            try:
                await asyncio.wait_for(self.changed.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        rows = [[task, entry["run"], "", self.percent(entry)]
                for task, entry in self.running.items()]
        self.listed_up_to, self.has_listed = self.last_end, True
        return 200, {"clockMs": self.clock(), "born": self.born, "running": rows,
                     "ended": self.ends}


class Fleet:
    """All targets, the store and the advisor, and the invariants across targets."""

    def __init__(self, advised=True, work_s=0.1, failing=()):
        self.advised, self.work_s, self.failing = advised, work_s, set(failing)
        self.work_by_job = {}  # seconds, where it differs from work_s
        self.always_failing, self.deadly, self.deadly_starts = set(), set(), {}
        self.order_faults = 0.0  # probability that a call is late, and that its answer is lost
        self.late_after_restart = False  # also calls for the life before, before the first list
        self.lateness_s = (0.1, 2.0)
        self.keeps_orders, self.kept_s = False, (2.0, 12.0)  # also behind a cut, by the next life
        self.tickets = {}  # ticket -> end of its validity
        self.advice_known = False  # all configurations say that the queue needs advice
        self.failed_ends = {}  # task -> ends as failed that were taken note of
        self.most_attempts = 4  # that any configuration allows
        self.random = random.Random(POLICY_SEED)
        self.done_at, self.started_at = {}, {}
        self.disturbed = False  # with faults of targets or links a gang may be incomplete
        self.violations, self.done, self.acknowledged, self.jobs = [], {}, set(), {}
        self.targets = {}
        self.verdicts = {}  # step -> {target: granted}, as answered
        self.orders_of_starts = {}  # task -> times at which the orders of its starts arrived
        self.run_ends = {}  # task -> [RunEnd], of all runs
        self.spares_tasks = False  # no target crashes under a task that one has crashed under
        self.crash_after_stop = 0.0  # probability that a target crashes soon after a stop
        self.crashes_after_stop = 0
        self.starts = {}  # task -> [(target, run, "started" or the reason of the refusal)]
        self.store = None
        self.addresses = {}

    def record_violation(self, text):
        self.violations.append(text)

    def fails(self, task, run):
        return (task in self.failing and run == 1) or task in self.always_failing

    def work_time(self, task):
        return self.work_by_job.get(task.split(".")[0], self.work_s)

    def acknowledge(self, task, done_at):
        self.acknowledged.add(task)
        if self.started_at.get(task, 0) > done_at:
            self.record_violation(f"{task} started after an end that was acknowledged later")

    def is_gang_complete(self, task, entry):
        step = task.rsplit(".", 1)[0]
        _, spec = self.step_of(task)
        members = sum(1 for target in self.targets.values()
                      for name, other in target.running.items()
                      if name.rsplit(".", 1)[0] == step and other["run"] == entry["run"])
        return members == spec["count"] or entry["begun"]

    def lacks_member(self, task, run):
        """Whether a member of a gang at work neither runs nor has ended as done."""
        step = task.rsplit(".", 1)[0]
        members = {name for target in self.targets.values()
                   for name, entry in target.running.items() if entry["run"] == run}
        names = [f"{step}.{index}" for index in range(self.step_of(task)[1]["count"])]
        return any(name not in members and name not in self.done for name in names)

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job], self.jobs[job]["steps"][int(step)]

    def check_start(self, target, task, run):
        job, step = self.step_of(task)
        self.started_at[task] = time.monotonic()
        for other in self.targets.values():
            other.expire_lease()
            if task in other.running:
                self.record_violation(f"{task} runs on {other.name} and {target.name}")
        if task in self.acknowledged:
            self.record_violation(f"{task} started again after an acknowledged end")
        if self.failed_ends.get(task, 0) >= self.most_attempts:
            self.record_violation(f"{task} started after {self.failed_ends[task]} failed runs")
        name = task.split(".")[0]
        for earlier in step.get("after", []):
            before = job["steps"][earlier]
            ended = [f"{name}.0.{earlier}.{index}" in self.done for index in range(before["count"])]
            # One end of a gang represents all of its members.
            if not (any(ended) if before.get("gang") else all(ended)):
                self.record_violation(f"{task} started before the steps that it depends on")
        return step

    def policy_allows(self, job, target):
        """The queue's policy: six of ten targets, and in each service enough for the widest step.

        It depends on the names only, so that each run and each question gets the same verdict.
        """
        def mark(name):
            text = f"{POLICY_SEED}:{job}:{name}".encode()
            return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")

        if mark(target) % 10 < 6:
            return True
        widest = max(step["count"] for step in self.jobs[job]["steps"])
        service = self.targets[target].service
        return target in sorted((name for name, other in self.targets.items()
                                 if other.service == service), key=mark)[:widest]

    def valid_tickets(self, target, step_name):
        """Tickets count in the life for which they were issued, and for two seconds."""
        ticket = f"{target.name}:{target.born}:{step_name}"
        return [ticket] if time.monotonic() < self.tickets.get(ticket, 0) else []

    def issue_ticket(self, name, step_name):
        ticket = f"{name}:{self.targets[name].born}:{step_name}"
        self.tickets[ticket] = time.monotonic() + 2.0
        return ticket

    async def advise(self, body):
        await asyncio.sleep(0.005 + 0.0002 * len(body["workers"]))
        job = body["step"].split(".")[0]
        allowed = [w for w in body["workers"] if self.policy_allows(job, w)]
        for target in body["workers"]:
            self.verdicts.setdefault(body["step"], {})[target] = target in allowed
        return 200, {"granted": [[w, self.issue_ticket(w, body["step"])]
                                 for w in allowed if w in self.targets], "validMs": 2000}

    def was_crashed_under(self, task):
        return any(end.how == "died" for end in self.run_ends.get(task, []))

    def has_cause_to_fail(self, job, attempts):
        """Whether a task of the job failed as often as that, or two targets crashed under it."""
        for number, step in enumerate(self.jobs[job]["steps"]):
            failed_in_step = set()
            for index in range(step["count"]):
                ends = self.run_ends.get(f"{job}.0.{number}.{index}", [])
                failed = {end.run for end in ends if end.how == "failed" and end.listed}
                # A gang fails with its first member that does.
                failed_in_step |= failed
                if len(failed_in_step if step.get("gang") else failed) >= attempts:
                    return True
                if len({(end.target, end.born) for end in ends if end.how == "died"}) >= 2:
                    return True
        return False

    def describe_ends(self, job):
        """Returns the true ends of the runs of a job's tasks, for the message of a failed case."""
        lines = [f"ends of {job}:"]
        for number, step in enumerate(self.jobs[job]["steps"]):
            for index in range(step["count"]):
                task = f"{job}.0.{number}.{index}"
                kind = [name for name, tasks in (("fails once", self.failing),
                                                 ("always fails", self.always_failing),
                                                 ("deadly", self.deadly)) if task in tasks]
                kind += ["gang"] if step.get("gang") else []
                ends = "; ".join(map(str, self.run_ends.get(task, []))) or "no run"
                lines.append(f"  {task} {kind}: {ends}")
        return "\n".join(lines)

    def explain(self, job):
        """Returns what the stand-ins know of a job, for the message of a failed case."""
        lines = []
        for number, step in enumerate(self.jobs[job]["steps"]):
            name = f"{job}.0.{number}"
            verdicts = self.verdicts.get(name, {})
            granted = sorted(target for target, allowed in verdicts.items() if allowed)
            denied = sorted(target for target, allowed in verdicts.items() if not allowed)
            lines.append(f"{name}: {json.dumps(step)}, granted {granted}, denied {denied}, "
                         f"not asked {sorted(set(self.targets) - set(verdicts))}")
            for index in range(step["count"]):
                task = f"{name}.{index}"
                running = [target.name for target in self.targets.values()
                           if task in target.running]
                lines.append(f"  {task}: runs on {running}, done {task in self.done}, "
                             f"acknowledged {task in self.acknowledged}, "
                             f"last starts {self.starts.get(task, [])[-3:]}")
        return "\n".join(lines)


class Platform:
    """Serves a fleet on loopback addresses in its own thread."""

    def __init__(self, fleet, targets=6, cpu=4000):
        self.fleet = fleet
        self.reported_at = {}  # store key of a target -> time of its last report
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.run(self._start(targets, cpu))

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    def do(self, action):
        async def wrapped():
            return action()
        return self.run(wrapped())

    async def _start(self, targets, cpu):
        fleet = self.fleet
        fleet.store = Store()
        self.store_address = await self._serve(
            lambda m, p, q, b: fleet.store.handle(m, p, q, b))
        self.advice_address = await self._serve(lambda m, p, q, b: fleet.advise(b))
        for number in range(targets):
            target = Target(fleet, f"i-{number}", cpu)
            fleet.targets[target.name] = target
            fleet.addresses[target.name] = await self._serve(
                lambda m, p, q, b, t=target: t.receive(p, b))
        self.loop.create_task(self._tick())

    async def _tick(self):
        beat = 0
        while True:
            self.fleet.store.expire()
            for target in self.fleet.targets.values():
                target.tick()
                if target.has_left():
                    target.crash(target.away_s)
                    self.fleet.store.remove(f"servers/{target.name}")
            beat += 1
            if beat % 50 == 1:
                for target in self.fleet.targets.values():
                    self._report(target, beat)
            await asyncio.sleep(0.02)

    def _report(self, target, beat):
        key = f"servers/{target.name}"
        if self.fleet.store.refusing:
            return
        if target.is_silent():
            # The entry expires after three missed heartbeats.
            if time.monotonic() - self.reported_at.get(key, 0) > 3:
                self.fleet.store.remove(key)
            return
        self.reported_at[key] = time.monotonic()
        draining = {"state": "draining", "remainingMs": 0} if target.draining_since else {
            "state": "ready"}
        self.fleet.store.put(key, json.dumps({
            "service": target.service, "address": self.fleet.addresses[target.name], "zone": "z1",
            "version": "v1", "slots": 8, **draining,
            "capacity": {"cpu": target.cpu, "memMb": 64000, "gpu": 0}, "labels": ["a"],
            "born": target.born, "seq": beat}).encode())

    def store_behind(self, mbps):
        """Returns a further address of the store, whose answers share a narrow link."""
        return self.run(self._serve(lambda m, p, q, b: self.fleet.store.handle(m, p, q, b),
                                    NarrowLink(mbps)))

    async def _serve(self, handler, link=None):
        async def connection(reader, writer):
            try:
                while True:
                    request = await reader.readline()
                    if not request:
                        break
                    method, target, _ = request.decode().split(" ", 2)
                    length = 0
                    while (line := (await reader.readline()).strip()):
                        name, _, value = line.decode().partition(":")
                        if name.lower() == "content-length":
                            length = int(value)
                    raw = await reader.readexactly(length) if length else b""
                    path, _, query = target.partition("?")
                    answer = await handler(method, path, dict(urllib.parse.parse_qsl(query)),
                                           json.loads(raw) if raw else None)
                    if answer is None:  # lost reply: the connection stays open without a response
                        await reader.read()
                        break
                    status, body = answer
                    text = json.dumps(body).encode()
                    if link:
                        await link.carry(len(text))
                    writer.write(f"HTTP/1.1 {status} {STATUS_TEXT[status]}\r\n"
                                 f"Content-Type: application/json\r\n"
                                 f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                    await writer.drain()
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(connection, "127.0.0.1", 0)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
