"""Faults and planned work drawn from a seed, in series and overlapping, around real entry daemons.

Checked from what callers and the stand-ins of the platform see: no task runs twice, no target gets
more than its capacity, each accepted job ends and its state never goes back, nothing of a job
starts or runs on after its cancel was acknowledged, no task starts after it has failed as often as
any configuration allows, a job fails only if its runs' true ends are a cause, all entries show the
same state of a job that has ended, no request that was read is cut off around a planned stop, no
process ends by itself.
"""

import argparse
import collections
import http.client
import json
import os
import random
import signal
import sys
import threading
import time

from harness.platform_entries import (BUILD, HOST, KEY, PREFIX, URGENT_PREFIX, Entries,
                                      configure)
from harness.platform_standin import Fleet, Platform

GRACE_S = 6.0  # stop_grace in the entries' settings
LATE_IN_GRACE_S = GRACE_S * 5 / 6  # requests may be cut off after this part of the grace time
READ_S = 0.5  # a request that was sent this long ago has been read
CONTACT_S = 5.0  # after an unplanned disruption of an entry its requests may be cut off
ROUTE_S = 12.0  # a removed route may be answered 404 for so long after it is back: an entry may
# be frozen, or the store refuse its reads, when the configuration that has it is written
CANCEL_S = 3.0  # nothing of a job may start later than this after its cancel was acknowledged
SHOWN_S = 100.0  # a job that has ended is shown for so long, which is below finished_rest
SETTLE_S = 60.0  # time for all jobs to end once all faults have ended
VM_KINDS = [(0.5, 200), (0.5, 200), (0.3, 10), (0.12, 10)]  # (cores, Mbit/s)
ATTEMPTS = 3  # where a configuration does not say
EXPLAINED_EVENTS = ("run_crashed", "task_given_up", "run_lost", "run_ended", "workflow_ended")
RANK = {"queued": 0, "running": 1, "completed": 2, "failed": 2, "cancelled": 2}


class Job:
    def __init__(self, body, prefix=PREFIX):
        self.body, self.prefix = body, prefix
        self.made_at = time.monotonic()
        self.answers = set()  # statuses of all submissions
        self.cancelled = False  # a cancel was sent
        self.cancel_answers = []  # (time, status) of each answer that acknowledges a cancel
        self.state, self.state_at = "queued", 0.0
        self.lock = threading.Lock()

    @property
    def accepted(self):
        return 200 in self.answers


class Soak:
    def __init__(self, options, build=BUILD):
        self.options = options
        self.random = random.Random(options.seed)
        self.advised = not options.without_advice
        self.fleet = Fleet(advised=self.advised, work_s=0.3)
        self.fleet.disturbed = True
        self.fleet.late_after_restart = options.late_after_restart
        self.fleet.keeps_orders = options.kept_orders
        self.fleet.random = random.Random(options.seed + 1)
        self.platform = Platform(self.fleet, targets=options.targets)
        self.version = 3
        self.terms = {"advised": self.advised}  # arguments of configure()
        if options.preempting:
            self.terms["preempting"] = True
            self.fleet.crash_after_stop = options.crash_after_stop
        self.fleet.spares_tasks = options.spare_tasks
        self.attempts = [(0.0, ATTEMPTS)]  # (time, attempts) of each configuration
        self.route_back_at = 0.0  # infinite while the route is away
        configure(self.platform, **self.terms)
        self.fleet.advice_known = not options.advice_changes
        self.second_pool = list(self.fleet.targets)[:2] if options.routes else []
        for name in self.second_pool:
            self.fleet.targets[name].service = "other-pool"
        self.began = time.monotonic()
        self.entries = Entries(self.platform, options.entries, build,
                               vms=self.draw_vms())
        self.names = sorted(self.entries.processes)
        self.jobs, self.problems = {}, []
        self.jobs_with_problems = {}  # job -> None, in the order of the problems
        self.went_back = set()  # jobs whose state was seen to go back
        self.terminated = {}  # entry -> time of its last SIGTERM
        self.disturbed_until = {}  # entry -> end of its last unplanned disruption
        self.down = set()  # entries that are being stopped, are away, or are frozen
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.settling = threading.Event()
        self.counts = {}
        self.workers = []

    def answers_without_fault(self):
        """Statuses that callers may get at any time, or now since the route is away."""
        away = time.monotonic() < self.route_back_at + ROUTE_S
        return (0, 429, 503, 504, 404) if away and self.route_back_at else (0, 429, 503, 504)

    def note(self, what):
        with self.lock:
            self.counts[what] = self.counts.get(what, 0) + 1

    def problem(self, text, job=None):
        with self.lock:
            if job is not None:
                self.jobs_with_problems[job] = None
            self.problems.append(f"{time.monotonic() - self.began:.2f} s: {text}")

    def log(self, text):
        if self.options.verbose:
            print(f"{time.monotonic() - self.began:7.2f} {text}", flush=True)

    def draw_vms(self):
        """Returns the settings in which entries differ; none without the option."""
        if not self.options.uneven_vms:
            return ()
        # A generator of its own: what else a seed draws does not depend on the option.
        rng = random.Random(self.options.seed + 2)
        vms = []
        for _ in range(self.options.entries):
            share, mbps = rng.choice(VM_KINDS)
            vms.append({"processor_share": share, "link_mbps": mbps,
                        "store": self.platform.store_behind(mbps)})
        self.log(f"VMs {[(vm['processor_share'], vm['link_mbps']) for vm in vms]}")
        return vms

    def build_of(self, _):
        return BUILD

    # Callers

    def make_job(self, rng, number, lasts):
        """Draw a job and register it at the stand-ins.

        A job that lasts has further steps, so that what goes on after its cancel shows."""
        job = f"{number:016x}"
        first = {"count": rng.randint(1, 3), "cpu": rng.choice([500, 1000, 2000]), "memMb": 100,
                 "estimatedMs": 300, "gang": rng.random() < 0.25}
        steps = [first]
        if rng.random() < 0.4:
            steps.append({"count": rng.randint(1, 2), "cpu": 500, "estimatedMs": 200, "after": [0]})
        if lasts:
            first["gang"] = False
            steps = [first, *({"count": 1, "cpu": 500, "estimatedMs": 1200, "after": [before]}
                              for before in range(4))]
        body = {"spec": "x", "steps": steps}
        task = f"{job}.0.0.0"
        draw = rng.random()
        work_s = 1.2 if lasts else rng.choice([0.05, 0.1, 0.3, 1.0])
        prefix = PREFIX
        if self.options.preempting:
            # A generator of its own: what else a seed draws does not depend on the option.
            own = random.Random(f"{self.options.seed} {job}")
            if own.random() < 0.2:
                prefix = URGENT_PREFIX
                first["cpu"] = own.choice([3000, 4000])
            elif own.random() < 0.3 and not lasts:
                work_s = 3.0

        def register():
            self.fleet.jobs[job] = body
            self.fleet.work_by_job[job] = work_s
            if draw < 0.01:
                self.fleet.failing.add(task)
            elif draw < 0.015 or (self.options.routes and draw > 0.95):
                self.fleet.always_failing.add(task)
            elif draw < 0.025 and self.options.deadly:
                self.fleet.deadly.add(task)
        self.platform.do(register)
        self.jobs[job] = Job(body, prefix)
        return job

    def caller(self, number):
        rng = random.Random(self.options.seed * 1000 + number)
        serial = number << 32
        early = random.Random(self.options.seed * 1000 + number + 500)
        connection = Connection(self, rng)
        own, leaves = [], False
        pending = None  # a job whose acceptance is not known yet
        while not self.stopping.is_set():
            if pending is None and not self.settling.is_set() and rng.random() < 0.1:
                serial += 1
                cancels = early.random() < self.options.early_cancels
                leaves = cancels and early.random() < 0.5  # does not ask for the outcome
                pending = self.make_job(rng, serial, lasts=cancels)
                if cancels:
                    self.spawn(self.cancel_early, pending, random.Random(early.random()))
            if pending is not None:
                job = self.jobs[pending]
                status, _ = connection.call("POST", pending, job.body)
                job.answers.add(status)
                if status == 200:
                    own.append(pending)
                    pending = None
                elif leaves and job.cancel_answers:
                    pending = None
                elif status in (429, 503) and job.answers <= {429, 503} and rng.random() < 0.2:
                    pending = None  # refused for good
                elif status not in self.answers_without_fault():
                    self.problem(f"submission of {pending} answered {status}")
                    pending = None
            elif own and rng.random() < 0.03:
                self.cancel(connection, rng.choice(own[-20:]))
            elif own:
                self.read_state(connection, rng.choice(own[-30:]))
            time.sleep(rng.uniform(0.01, 0.08))

    def cancel(self, connection, name):
        """Returns whether the cancel was acknowledged."""
        self.jobs[name].cancelled = True
        status, _ = connection.call("DELETE", name)
        if status in (200, 410):
            self.jobs[name].cancel_answers.append((time.monotonic(), status))
            return True
        if status not in self.answers_without_fault():
            self.problem(f"cancelling of {name} answered {status}")
        return False

    def cancel_early(self, name, rng):
        """Cancel a job whose submission may have no answer yet, at any entry, until that is
        acknowledged."""
        self.note("early_cancel")
        self.jobs[name].cancelled = True
        time.sleep(rng.choice([0.005, 0.05, 0.3, 2.0]) * rng.uniform(0.5, 1.5))
        connection = Connection(self, rng)
        end = time.monotonic() + SETTLE_S
        while not self.cancel(connection, name):
            if time.monotonic() > end:
                self.problem(f"the cancel of {name} was not acknowledged")
                return
            if connection.connection is not None:
                connection.drop()
            time.sleep(0.1)

    def read_state(self, connection, name):
        job = self.jobs[name]
        sent = time.monotonic()
        status, body = connection.call("GET", name)
        if status == 410 and job.cancelled:
            job.state = "cancelled"  # the cancel may have been stored without the submission
            return job.state
        if status == 410:
            self.problem(f"{name} was accepted and is answered 410", name)
            return None
        if status != 200:
            if status not in self.answers_without_fault():
                self.problem(f"state of {name} answered {status}")
            return None
        state = json.loads(body)["state"]
        with job.lock:
            before = job.state
            if sent > job.state_at and name not in self.went_back and (
                    RANK[state] < RANK[before] or (RANK[before] == 2 and state != before)):
                self.went_back.add(name)
                self.problem(f"state of {name} went from {before} to {state}", name)
            if RANK[state] > RANK[before]:
                job.state, job.state_at = state, time.monotonic()
        return state

    def record_cut(self, entry, sent, what):
        """A connection ended without an answer."""
        now = time.monotonic()
        self.note("cut")
        if now - sent < READ_S or now < self.disturbed_until.get(entry, 0) + CONTACT_S:
            return
        terminated = self.terminated.get(entry, 0)
        if now - terminated > GRACE_S + 1:
            self.problem(f"{entry} cut off {what} without a cause")
        elif now - terminated < LATE_IN_GRACE_S:
            self.problem(f"{entry} cut off {what} {now - terminated:.2f} s after SIGTERM, "
                         f"{now - sent:.2f} s after it was sent")

    # Faults

    def spawn(self, action, *arguments, **named):
        worker = threading.Thread(target=self.guard, args=(action, *arguments), kwargs=named,
                                  daemon=True)
        self.workers.append(worker)
        worker.start()

    def guard(self, action, *arguments, **named):
        try:
            action(*arguments, **named)
        except Exception as error:  # a fault of the case must fail it
            self.problem(f"{action.__name__}: {error!r}")

    def take(self, name):
        with self.lock:
            if name in self.down:
                return False
            self.down.add(name)
            return True

    def give(self, name):
        with self.lock:
            self.down.discard(name)

    def terminate(self, name, pause):
        if not self.take(name):
            return
        self.log(f"TERM {name}")
        process = self.entries.processes[name]
        self.terminated[name] = time.monotonic()
        process.send_signal(signal.SIGTERM)
        try:
            code = process.wait(GRACE_S)
            if code != 0:
                self.problem(f"{name} ended with {code} after SIGTERM")
        except Exception:
            self.disturbed_until[name] = time.monotonic()
            self.problem(f"{name} did not end within its grace time")
            process.kill()
            process.wait()
        time.sleep(pause)
        self.entries.start(name, self.build_of(name))
        self.give(name)

    def kill(self, name, pause):
        if not self.take(name):
            return
        self.log(f"KILL {name}")
        self.disturbed_until[name] = time.monotonic() + pause
        process = self.entries.processes[name]
        process.kill()
        process.wait()
        time.sleep(pause)
        self.entries.start(name, self.build_of(name))
        self.disturbed_until[name] = time.monotonic()
        self.give(name)

    def freeze(self, name, pause):
        if not self.take(name):
            return
        self.log(f"STOP {name} {pause:.1f}")
        self.disturbed_until[name] = time.monotonic() + pause
        process = self.entries.processes[name]
        process.send_signal(signal.SIGSTOP)
        time.sleep(pause)
        process.send_signal(signal.SIGCONT)
        self.disturbed_until[name] = time.monotonic()
        self.give(name)

    def hang_up(self, name):
        if not self.take(name):
            return
        self.log(f"HUP {name}")
        # A process that was just started has the default action for the signal.
        if time.monotonic() - self.entries.started_at[name] > 1:
            self.entries.processes[name].send_signal(signal.SIGHUP)
        self.give(name)

    def reconfigure(self, rng):
        with self.lock:
            self.version += rng.randint(1, 4)
            version = self.version
            terms = dict(self.terms)
            self.attempts.append((time.monotonic(), terms.get("attempts", ATTEMPTS)))
        self.log(f"configuration {version} {terms}")
        configure(self.platform, version=version,
                  extra_keys=[f"key-x{version}"] if rng.random() < 0.5 else [], **terms)

    def change_terms(self, rng, **terms):
        with self.lock:
            self.terms.update(terms)
            self.route_back_at = max(self.route_back_at, time.monotonic())
            if not self.terms.get("with_route", True):
                self.route_back_at = float("inf")
            elif self.route_back_at == float("inf"):
                self.route_back_at = time.monotonic()
        self.reconfigure(rng)

    def draw_terms(self, rng):
        """Draw the terms under which a queue comes back: service, attempts, need of advice."""
        terms = {"service": rng.choice(["pool", "pool", "other-pool"]),
                 "attempts": rng.choice([2, 3, self.fleet.most_attempts])}
        if self.options.advice_changes:
            terms["advised"] = rng.random() < 0.8  # the targets demand tickets all the same
        return terms

    def take_route_away(self, rng):
        self.change_terms(rng, with_route=False)
        time.sleep(rng.choice([0.2, 1, 5]) * rng.uniform(0.5, 1.5))
        self.change_terms(rng, with_route=True, **self.draw_terms(rng))

    def retire_second_pool(self):
        """Send the queue to the first pool and let all targets of the second one leave."""
        self.change_terms(self.random, with_route=True, service="pool", advised=self.advised)
        for name in self.second_pool:
            self.disturb_target("leave", name, 2 * SETTLE_S)

    def set_store(self, attribute, value, pause):
        self.log(f"store {attribute} {value} {pause:.1f}")
        store = self.fleet.store
        self.platform.do(lambda: setattr(store, attribute, value))
        if pause:
            time.sleep(pause)
            self.platform.do(lambda: setattr(store, attribute, type(value)()))

    def set_order_faults(self, share, pause):
        self.log(f"orders lost and late {share:.2f} {pause:.1f}")
        self.platform.do(lambda: setattr(self.fleet, "order_faults", share))
        time.sleep(pause)
        self.platform.do(lambda: setattr(self.fleet, "order_faults", 0.0))

    def disturb_target(self, how, name, pause):
        self.log(f"{how} {name} {pause:.1f}")
        target = self.fleet.targets[name]
        if how == "resize":
            self.platform.do(lambda: target.resize(2000 if target.cpu == 4000 else 4000))
        else:
            self.platform.do(lambda: getattr(target, how)(pause))

    def crash_then_cut(self, name, rng):
        """Restart a target, let it take orders for its former life, and cut it off."""
        down_s, up_s = rng.uniform(0.2, 1), rng.uniform(0.05, 1.5)
        self.disturb_target("crash", name, down_s)
        time.sleep(down_s + up_s)
        self.disturb_target("cut_off", name, rng.uniform(4, 9))

    def reborn_behind_cut(self, name, rng):
        """Cut a target off, whose runs go on until its lease ends, and crash it behind the cut."""
        cut_s, down_s = rng.uniform(0.3, 8), rng.uniform(0.2, 1)
        left_s = rng.choice([0.0, rng.uniform(0, 4)])
        self.disturb_target("cut_off", name, cut_s + left_s)
        time.sleep(cut_s)
        self.log(f"crash {name} behind its cut")
        target = self.fleet.targets[name]

        def crash():
            target.crash(down_s)
            target.cut_off(left_s)
        self.platform.do(crash)

    def inject(self, rng):
        """Start one fault; others may still go on."""
        name = rng.choice(self.names)
        target = rng.choice(sorted(self.fleet.targets))
        kinds = {
            "terminate": (4, lambda: self.spawn(self.terminate, name, rng.uniform(0, 1))),
            "kill": (3, lambda: self.spawn(self.kill, name, rng.uniform(0, 2))),
            "freeze": (3, lambda: self.spawn(self.freeze, name, rng.uniform(0.5, 4))),
            "hang_up": (2, lambda: self.spawn(self.hang_up, name)),
            "roll": (1, lambda: self.spawn(self.roll, rng.uniform(0, 0.5))),
            "reconfigure": (3, lambda: self.spawn(self.reconfigure, random.Random(rng.random()))),
            "store_refuses": (2, lambda: self.spawn(self.set_store, "refusing", True,
                                                    rng.uniform(0.3, 3))),
            "store_loses": (2, lambda: self.spawn(self.set_store, "answers_to_lose",
                                                  rng.randint(1, 3), 0)),
            "store_slow": (2, lambda: self.spawn(self.set_store, "answer_delay_s",
                                                 rng.uniform(0.05, 0.6), rng.uniform(0.5, 2))),
            "orders": (3, lambda: self.spawn(self.set_order_faults, rng.uniform(0.05, 0.3),
                                             rng.uniform(0.5, 3))),
            "crash": (3, lambda: self.spawn(self.disturb_target, "crash", target,
                                            rng.uniform(0.2, 3))),
            "cut_off": (3, lambda: self.spawn(self.disturb_target, "cut_off", target,
                                              rng.uniform(0.5, 8))),
        }
        if self.options.shrink:
            kinds["resize"] = (3, lambda: self.spawn(self.disturb_target, "resize", target, 0))
        if self.options.routes:
            kinds["route_away"] = (3, lambda: self.spawn(self.take_route_away,
                                                         random.Random(rng.random())))
            kinds["queue_moves"] = (3, lambda: self.spawn(
                self.change_terms, random.Random(rng.random()), **self.draw_terms(rng)))
            kinds["leave"] = (2, lambda: self.spawn(self.disturb_target, "leave", target,
                                                    rng.uniform(0.5, 5)))
        if self.options.crash_then_cut:
            kinds["crash_then_cut"] = (3, lambda: self.spawn(self.crash_then_cut, target,
                                                             random.Random(rng.random())))
        if self.options.reborn:
            kinds["reborn"] = (3, lambda: self.spawn(self.reborn_behind_cut, target,
                                                     random.Random(rng.random())))
        if self.options.faults:
            kinds = {kind: kinds[kind] for kind in self.options.faults.split(",")}
        kind = rng.choices(list(kinds), [weight for weight, _ in kinds.values()])[0]
        self.note(kind)
        kinds[kind][1]()

    def roll(self, pause):
        for name in self.names:
            self.terminate(name, pause)

    def watch_processes(self):
        while not self.stopping.is_set():
            for name in self.names:
                with self.lock:
                    code = None if name in self.down else self.entries.processes[name].poll()
                if code is not None:
                    self.problem(f"{name} ended by itself with {code}")
                    self.kill(name, 0)
            time.sleep(0.05)

    # The run

    def run(self):
        self.entries.wait_ready()
        callers = [threading.Thread(target=self.guard, args=(self.caller, number + 1), daemon=True)
                   for number in range(self.options.callers)]
        watcher = threading.Thread(target=self.guard, args=(self.watch_processes,), daemon=True)
        self.began = time.monotonic()
        for thread in [*callers, watcher]:
            thread.start()
        self.play()
        self.settling.set()
        for worker in list(self.workers):
            worker.join(60)
        if self.options.routes:
            self.retire_second_pool()
        self.settle()
        self.stopping.set()
        for thread in [*callers, watcher]:
            thread.join(10)
        self.compare_entries()
        self.check()

    def play(self):
        """Inject faults until the time is over."""
        end = self.began + self.options.seconds
        while (left := end - time.monotonic()) > 0:
            # Series with pauses: faults come alone and overlap.
            wait = self.random.expovariate(self.options.pace) if self.random.random() < 0.8 else 4.0
            time.sleep(min(left, wait))
            if time.monotonic() < end:
                self.inject(self.random)

    def open_jobs(self):
        return [name for name, job in list(self.jobs.items())
                if job.accepted and RANK[job.state] < 2]

    def settle(self):
        self.log("settling")
        connection = Connection(self, random.Random(0))
        end = time.monotonic() + SETTLE_S
        while (left := self.open_jobs()) and time.monotonic() < end:
            for name in left:
                self.read_state(connection, name)
            time.sleep(0.1)
        for name in self.open_jobs()[:5]:
            self.problem(f"{name} has not ended: {self.jobs[name].state}\n" +
                         self.platform.do(lambda n=name: self.fleet.explain(n)))

    def check_cancels(self):
        """Nothing of a job starts later than CANCEL_S after its cancel was acknowledged, or runs
        now."""
        counts = {"starts": 0, "runs": 0}
        running = self.platform.do(lambda: {
            task for target in self.fleet.targets.values() for task in target.running})
        for name, job in self.jobs.items():
            if not job.cancel_answers:
                continue
            acknowledged_at, status = min(job.cancel_answers)
            text = f"its cancel was answered {status} at {acknowledged_at - self.began:.2f} s"
            for task, arrivals in list(self.fleet.orders_of_starts.items()):
                if task.split(".")[0] != name:
                    continue
                late = [at for at in arrivals if at > acknowledged_at + CANCEL_S]
                counts["starts"] += len(late)
                if late:
                    self.problem(f"{task} started {late[-1] - acknowledged_at:.2f} s late: {text}")
                if task in running:
                    counts["runs"] += 1
                    self.problem(f"{task} runs on: {text}")
        for what, count in counts.items():
            if count:
                self.counts[f"cancelled_{what}"] = count

    def compare_entries(self):
        """Ask each entry for the state of each accepted job that has ended."""
        now = time.monotonic()
        names = [name for name, job in self.jobs.items()
                 if job.accepted and RANK[job.state] == 2
                 and (not job.state_at or now - job.state_at < SHOWN_S)]
        shown = {name: {} for name in names}

        def ask(entry):
            connection = Connection(self, random.Random(0), entry)
            for name in names:
                shown[name][entry] = self.state_at_entry(connection, name)
        askers = [threading.Thread(target=self.guard, args=(ask, entry), daemon=True)
                  for entry in self.names]
        for thread in askers:
            thread.start()
        for thread in askers:
            thread.join(SETTLE_S)
        for name, by_entry in shown.items():
            if set(by_entry) != set(self.names):
                self.problem(f"{name}: only {sorted(by_entry)} were asked", name)
            elif set(by_entry.values()) != {self.jobs[name].state}:
                self.problem(f"{name} was last seen {self.jobs[name].state} and is shown as "
                             f"{by_entry}", name)
        print(f"seed {self.options.seed}: {len(names)} jobs asked for at {len(self.names)} entries",
              flush=True)

    def state_at_entry(self, connection, name):
        """Returns what the connection's entry shows of a job."""
        end = time.monotonic() + CONTACT_S
        while True:
            status, body = connection.call("GET", name)
            if status == 200:
                return json.loads(body)["state"]
            if status == 410 and self.jobs[name].cancelled:
                return "cancelled"
            if status not in (0, 429, 503, 504) or time.monotonic() > end:
                return f"status {status}"
            time.sleep(0.05)

    def least_attempts(self, job):
        """The smallest number of attempts in force since the job was made."""
        since = job.made_at - ROUTE_S  # an entry may not have the newest configuration yet
        before = [attempts for at, attempts in self.attempts if at <= since][-1:]
        return min(before + [attempts for at, attempts in self.attempts if at > since])

    def check_failed(self, name):
        """A job is shown as failed only if a task failed too often or crashed two targets."""
        fleet, job = self.fleet, self.jobs[name]
        has_cause = fleet.has_cause_to_fail(name, self.least_attempts(job))
        if not any(task.split(".")[0] == name for task in fleet.always_failing | fleet.deadly):
            self.problem(f"{name} failed without cause" +
                         (", though two targets crashed under it" if has_cause else ""), name)
        elif not has_cause:
            self.problem(f"{name} failed, and no task failed {self.least_attempts(job)} times or "
                         f"was on two targets that crashed", name)

    def print_counted_crashes(self):
        """Print how the runs ended that coordinators counted as crashed under their task.

        Not a check: a coordinator can't know how a run ended whose end was not listed."""
        counts = collections.Counter()
        for line in self.entries.lines("run_crashed"):
            task = f"{line['workflow']}.0.{line['step']}.{line['index']}"
            hows = [end.how for end in self.fleet.run_ends.get(task, [])
                    if (end.run, end.target) == (line["run"], line["target"])] or ["never ran"]
            how = f"{hows[-1]}, {'confirmed' if line['confirmed'] else 'unconfirmed'}"
            counts[how] += 1
            if hows[-1] != "died":
                self.log(f"{line['process']} counted a crash of {task} run {line['run']} on "
                         f"{line['target']}: {how}")
        print(f"seed {self.options.seed}: crashes counted {dict(sorted(counts.items()))}",
              flush=True)

    def explain_problems(self):
        """Returns the ends of the runs of jobs with problems, and what entries logged of them."""
        parts = []
        for name in list(self.jobs_with_problems)[:12]:
            parts.append(self.fleet.describe_ends(name))
            for path in sorted(self.entries.folder.glob("*.log")):
                parts += [f"  {line}" for line in path.read_text(errors="replace").splitlines()
                          if f'"workflow":"{name}"' in line and
                          any(f'"event":"{event}"' in line for event in EXPLAINED_EVENTS)]
        return parts

    def check(self):
        fleet = self.fleet
        self.check_cancels()
        started = {task.split(".")[0] for task, rows in list(fleet.starts.items())
                   if any(how == "started" for _, _, how in rows)}
        ends = {}
        for name, job in self.jobs.items():
            tasks = [f"{name}.0.{number}.{index}"
                     for number, step in enumerate(job.body["steps"])
                     for index in range(step["count"])]
            if job.accepted:
                ends[job.state] = ends.get(job.state, 0) + 1
            if job.answers and job.answers <= {429, 503} and name in started:
                self.problem(f"{name} was refused and ran")
            if job.state == "completed":
                missing = [task for task in tasks if task not in fleet.done]
                gangs = {number for number, step in enumerate(job.body["steps"])
                         if step.get("gang")}
                missing = [task for task in missing if int(task.split(".")[2]) not in gangs]
                if missing:
                    self.problem(f"{name} is shown as completed without the end of {missing}", name)
            if job.state == "cancelled" and not job.cancelled:
                self.problem(f"{name} is cancelled without cause", name)
            if job.state == "failed":
                self.check_failed(name)
        for task, count in fleet.deadly_starts.items():
            if count > 5:
                self.problem(f"{task} was started {count} times and ended each target")
        self.problems += [f"target: {text}" for text in fleet.violations]
        ended = collections.Counter(end.how for runs in list(fleet.run_ends.values())
                                    for end in runs)
        print(f"seed {self.options.seed}: {len(self.jobs)} jobs, ended {ends}, "
              f"faults and cuts {dict(sorted(self.counts.items()))}, "
              f"runs ended {dict(sorted(ended.items()))}, "
              f"crashes after stops {fleet.crashes_after_stop}", flush=True)
        self.print_counted_crashes()
        assert ends.get("completed", 0) > 0, "no job was completed"
        assert not self.problems, "\n".join([f"{len(self.problems)} problems", *self.problems[:12],
                                             *self.explain_problems()])


class Connection:
    """A caller's connection, used until its entry closes it; then another entry is chosen,
    unless one is given."""

    def __init__(self, soak, rng, entry=None):
        self.soak, self.rng, self.only = soak, rng, entry
        self.entry, self.connection = entry, None

    def call(self, method, job, body=None, timeout=4.0):
        if self.connection is None:
            # An entry is used for as long as it accepts connections, also while it drains.
            if self.only is None and (self.entry is None or self.rng.random() < 0.2):
                self.entry = self.rng.choice(self.soak.names)
            host, port = self.soak.entries.addresses[self.entry]["callers"].split(":")
            self.connection = http.client.HTTPConnection(host, int(port), timeout=timeout + 1)
        headers = {"Host": HOST, "Authorization": "Bearer " + KEY,
                   "Time-Remaining": str(int(timeout * 1000))}
        sent = time.monotonic()
        try:
            self.connection.request(method, self.soak.jobs[job].prefix + job, headers=headers,
                                    body=None if body is None else json.dumps(body))
        except OSError:
            self.drop()
            return 0, b""
        sent = time.monotonic()
        try:
            response = self.connection.getresponse()
            answer = response.status, response.read()
            if response.will_close:
                self.connection.close()
                self.connection = None
            return answer
        except TimeoutError:
            self.soak.note("timeout")
        except (OSError, http.client.HTTPException):
            self.soak.record_cut(self.entry, sent, f"{method} {job}")
        self.drop()
        return 0, b""

    def drop(self):
        self.connection.close()
        self.connection, self.entry = None, self.only


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int,
                        default=int(os.environ.get("VERBENALEVER_SOAK_SEED", "1")))
    parser.add_argument("--seconds", type=float,
                        default=float(os.environ.get("VERBENALEVER_SOAK_SECONDS", "60")))
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--targets", type=int, default=8)
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--deadly", action="store_true",
                        help="some tasks crash each target that starts them")
    parser.add_argument("--uneven-vms", action="store_true",
                        help="entries have processor shares and links drawn by the seed")
    parser.add_argument("--late-after-restart", action="store_true",
                        help="a target may carry out late what its life before was sent")
    parser.add_argument("--crash-then-cut", action="store_true",
                        help="targets restart under their names and are cut off soon after")
    parser.add_argument("--kept-orders", action="store_true",
                        help="targets carry out some orders 2 to 12 s late, also in their next life")
    parser.add_argument("--routes", action="store_true",
                        help="routes go and come back, queues move between pools, targets leave")
    parser.add_argument("--advice-changes", action="store_true",
                        help="with --routes: queues also come back without need of advice")
    parser.add_argument("--without-advice", action="store_true",
                        help="starts need no tickets, whose expiry would void orders that are kept")
    parser.add_argument("--shrink", action="store_true",
                        help="the capacity of targets shrinks and grows")
    parser.add_argument("--reborn", action="store_true",
                        help="targets that are cut off run on, crash and start again unseen")
    parser.add_argument("--preempting", action="store_true",
                        help="urgent jobs preempt others, and targets crash soon after stops")
    parser.add_argument("--crash-after-stop", type=float, default=0.3,
                        help="with --preempting: probability that a stop is followed by a crash")
    parser.add_argument("--spare-tasks", action="store_true",
                        help="no target crashes under a task that one has crashed under, but by "
                        "a deadly task")
    parser.add_argument("--early-cancels", type=float, default=0.15,
                        help="share of jobs that are cancelled while they are submitted")
    parser.add_argument("--faults", default="", help="only these kinds, separated by commas")
    parser.add_argument("--pace", type=float, default=1.2, help="faults a second")
    parser.add_argument("--verbose", action="store_true", help="print each fault")
    return parser.parse_args()


def main():
    soak = Soak(parse_options())
    try:
        soak.run()
        soak.entries.keep_folder = False
    finally:
        soak.entries.close()


if __name__ == "__main__":
    sys.exit(main())
